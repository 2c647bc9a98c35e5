package gateway

import (
	"context"
	"net/http"
	"time"

	"github.com/rotisserie/eris"

	"baywall.example/core/clock"
	"baywall.example/core/cluster"
	"baywall.example/core/notice"
	"baywall.example/core/ratelimit"
	"baywall.example/core/rendezvous"
	"baywall.example/core/source"
	"baywall.example/core/vm"
	"baywall.example/core/wire"
	"baywall.example/entry/balance"
	"baywall.example/entry/upstream"
)

// A backend server may name the number of requests per second that it accepts from all
// gateways together. Package ratelimit decides which gateway may send to it, and package
// admission which requests wait for a permit (permitqueue.go). This file supplies them with the
// observed state and carries out their decisions.

// errPermit means that another gateway gave no usable reply to a permit request.
var errPermit = eris.New("gateway: permit request not answered")

// limits enforces the limits that backend servers name. It implements ratelimit.Network and
// balance.Limits.
type limits struct {
	*ratelimit.Gate
	table *ratelimit.Table
	g     *Gateway
	// coldSeen holds, by id, the position of the entry from which a cold server was last
	// recorded. A server is cold for a time counted from when its entry was first read.
	coldSeen map[string]source.Position
}

func newLimits(g *Gateway) *limits {
	l := &limits{g: g}
	l.table = ratelimit.NewTable(func(key ratelimit.Key) string { return g.registry.IDOf(key) }, g.log)
	l.Gate = ratelimit.NewGate(l.table, l)
	return l
}

// Limited implements balance.Limits.
func (l *limits) Limited() int { return l.table.Limited() }

// Grantor implements ratelimit.Network. The grantor is the first active gateway in
// rendezvous order.
func (l *limits) Grantor(server ratelimit.Key) (id vm.ID, own, known bool) {
	peer, own := l.grantor(server)
	switch {
	case own:
		return vm.ID(l.g.settings.VM), true, true
	case peer != nil:
		return peer.VM, false, true
	default:
		return "", false, false
	}
}

func (l *limits) grantor(server ratelimit.Key) (peer *cluster.Peer, own bool) {
	weight := func(id string) uint64 { return rendezvous.Weight(rendezvous.Hash(id), uint64(server)) }
	best := uint64(0)
	if l.g.activity.isActive() && !l.g.leaving.Load() {
		own, best = true, weight(l.g.settings.VM)
	}
	for _, p := range l.g.node.Live() {
		if w := weight(string(p.VM)); p.Active && (peer == nil && !own || w > best) {
			peer, own, best = &p, false, w
		}
	}
	return peer, own
}

// ReachableFraction implements ratelimit.Network.
func (l *limits) ReachableFraction() float64 {
	return ratelimit.ReachableFraction(l.g.node.Reached(), l.g.node.ReachedSeeds(), clock.Since(l.g.began))
}

// RequestPermit implements ratelimit.Network.
func (l *limits) RequestPermit(ctx context.Context, grantor vm.ID, s ratelimit.Observation) (ratelimit.Grant, error) {
	peer, _ := l.grantor(s.Server)
	if peer == nil || peer.VM != grantor {
		return ratelimit.Grant{}, eris.Wrapf(errPermit, "%s no longer grants permits", grantor)
	}
	reply, err := l.g.peering.call(ctx, *peer, &wire.Call{Body: &wire.Call_Permit{Permit: s.PermitRequestToWire(clock.Now())}})
	if err != nil {
		l.g.log.Warn().Err(err).Str("peer", string(grantor)).Uint64("server_incarnation", uint64(s.Server)).Msg("permit not asked")
		return ratelimit.Grant{}, err
	}
	return ratelimit.GrantFromWire(reply.GetPermit()), nil
}

// grantPermit answers a permit request of another gateway.
func (l *limits) grantPermit(req *wire.PermitAsk) *wire.PermitReply {
	s, ok := ratelimit.ObservationFromWire(req.GetLimit(), clock.Now())
	if !ok {
		l.g.log.Warn().Uint64("server_incarnation", req.GetLimit().GetServer()).Msg("permit request could not be decoded")
		return nil
	}
	return l.Grant(s).ToWire()
}

// receiveReports takes in the limits that another gateway reports.
func (l *limits) receiveReports(from vm.ID, reported []*wire.ServerLimit) {
	now := clock.Now()
	for _, server := range l.table.ReceiveLimits(from, reported, now) {
		l.g.registry.LimitEnded(server, now)
	}
}

// recordAnswer records what a server's answer says about its limits. The request was sent
// at the given time. An answer that names no limit lifts the limit only if it is certain
// that this server gave it.
func (l *limits) recordAnswer(server *balance.Server, answer *upstream.Answer, reported notice.Notice, sent, now time.Time) {
	l.imposeCold(server.Info, reported.Cold, now)
	own := answer.Header.Get(l.g.headers.RequestID) != "" && answer.Header.Get(l.g.headers.NotRun) == "" &&
		answer.Status < http.StatusInternalServerError
	if answer.Status == http.StatusMisdirectedRequest || reported.Limit.Kind == ratelimit.LimitNone && !own {
		return
	}
	if l.table.Record(server.Limit(), reported.Limit, sent, now) {
		l.g.registry.LimitEnded(server.Limit(), now)
	}
}

// maintain removes the limits that no longer apply.
func (l *limits) maintain(now time.Time) {
	for _, server := range l.table.Lift(now) {
		l.g.registry.LimitEnded(server, now)
	}
	l.table.Expire(func(key ratelimit.Key) bool { return l.g.registry.IDOf(key) != "" }, now)
	l.Gate.Expire(now)
}

// limitOf returns the limit of a server, to be logged with a request to it.
func (l *limits) limitOf(server *balance.Server) *ratelimit.KnownLimit {
	for _, key := range server.Limits() {
		if limit, ok := l.table.Get(key); ok {
			return &limit
		}
	}
	return nil
}
