package server

import (
	"context"
	"time"

	"github.com/rotisserie/eris"

	"baywall.example/core/clock"
	"baywall.example/core/link"
	"baywall.example/core/rendezvous"
	"baywall.example/core/resource"
	"baywall.example/core/vm"
	"baywall.example/core/wire"
	"baywall.example/entry/limits"
)

// shareNetwork connects the limiter to the fleet. It implements limits.Network.
type shareNetwork struct {
	server *Server
}

// Listed implements limits.Network.
func (n *shareNetwork) Listed() int { return n.server.fleet.Snapshot().Listed }

// Fleet implements limits.Network.
func (n *shareNetwork) Fleet(team string) limits.Fleet {
	s := n.server.fleet.Snapshot()
	out := limits.Fleet{Listed: s.Listed, Reachable: len(s.Usable), GrantorSince: s.AwakeSince}
	if n.grantorsAmong(s.Usable, team)[0] != n.server.local.VM {
		out.GrantorSince = clock.Now() // another VM is the grantor
		return out
	}
	for _, set := range s.RecentSets {
		if set.Ended.After(out.GrantorSince) && n.grantorsAmong(set.Usable, team)[0] != n.server.local.VM {
			out.GrantorSince = set.Ended
		}
	}
	return out
}

// Grantors implements limits.Network.
func (n *shareNetwork) Grantors(team string) [2]vm.ID {
	return n.grantorsAmong(n.server.fleet.Snapshot().Usable, team)
}

// grantorsAmong returns the first two of the VMs in rendezvous order for the
// team. This VM fills the places if there are fewer than two.
func (n *shareNetwork) grantorsAmong(usable []vm.VM, team string) [2]vm.ID {
	key := rendezvous.Hash("team/" + team)
	best := [2]vm.ID{n.server.local.VM, n.server.local.VM}
	var weights [2]uint64
	for _, v := range usable {
		w := rendezvous.Weight(rendezvous.Hash(string(v.ID)), key)
		switch {
		case w > weights[0]:
			best[0], best[1] = v.ID, best[0]
			weights[0], weights[1] = w, weights[0]
		case w > weights[1]:
			best[1], weights[1] = v.ID, w
		}
	}
	return best
}

// Team implements limits.Network.
func (n *shareNetwork) Team(name string) (resource.Team, bool) {
	t := n.server.config.View().Team(name)
	if t == nil {
		return resource.Team{}, false
	}
	return *t, true
}

// RequestLeases implements limits.Network.
func (n *shareNetwork) RequestLeases(ctx context.Context, grantor vm.ID, requests []limits.TeamLeaseRequest) ([]limits.TeamGrant, error) {
	if grantor == n.server.local.VM {
		return n.server.limiter.Grant(requests), nil
	}
	v, ok := n.server.vms.List().Find(grantor)
	if !ok {
		return nil, eris.Wrapf(link.ErrUnreachable, "%s", grantor)
	}
	l, err := n.server.peers.Get(ctx, v)
	if err != nil {
		return nil, err
	}
	reply, err := l.Call(ctx, &wire.Call{Body: &wire.Call_Shares{Shares: shareRequestsToWire(requests)}})
	if err != nil {
		return nil, err
	}
	return grantsFromWire(reply.GetShares()), nil
}

func shareRequestsToWire(requests []limits.TeamLeaseRequest) *wire.ShareRequests {
	out := &wire.ShareRequests{}
	for _, r := range requests {
		out.Requests = append(out.Requests, &wire.ShareRequest{
			Team: r.Team, Demand: int64(r.Demand), HeldSequence: r.HeldSequence,
			HeldShare: int64(r.Held), HeldMs: roundUp(r.HeldFor),
		})
	}
	return out
}

// roundUp returns d in milliseconds, rounded up.
func roundUp(d time.Duration) int64 { return int64((d + time.Millisecond - 1) / time.Millisecond) }

func shareRequestsFromWire(from vm.ID, w *wire.ShareRequests) []limits.TeamLeaseRequest {
	out := make([]limits.TeamLeaseRequest, 0, len(w.GetRequests()))
	for _, r := range w.GetRequests() {
		out = append(out, limits.TeamLeaseRequest{Team: r.GetTeam(), LeaseRequest: limits.LeaseRequest{
			From: from, Demand: int(r.GetDemand()), HeldSequence: r.GetHeldSequence(),
			Held: int(r.GetHeldShare()), HeldFor: time.Duration(r.GetHeldMs()) * time.Millisecond,
		}})
	}
	return out
}

func grantsToWire(grants []limits.TeamGrant) *wire.ShareGrants {
	out := &wire.ShareGrants{}
	for _, g := range grants {
		out.Grants = append(out.Grants, &wire.ShareGrant{
			Team: g.Team, Sequence: g.Sequence, Share: int64(g.Share), DurationMs: g.Duration.Milliseconds(),
		})
	}
	return out
}

func grantsFromWire(w *wire.ShareGrants) []limits.TeamGrant {
	out := make([]limits.TeamGrant, 0, len(w.GetGrants()))
	for _, g := range w.GetGrants() {
		out = append(out, limits.TeamGrant{Team: g.GetTeam(), Grant: limits.Grant{
			Sequence: g.GetSequence(), Share: int(g.GetShare()), Duration: time.Duration(g.GetDurationMs()) * time.Millisecond,
		}})
	}
	return out
}
