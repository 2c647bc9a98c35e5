package gateway

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"baywall.example/core/clock"
	"baywall.example/core/cluster"
	"baywall.example/core/link"
	"baywall.example/core/source"
	"baywall.example/core/timeline"
	"baywall.example/core/vm"
	"baywall.example/core/wait"
	"baywall.example/core/wire"
	"baywall.example/core/zone"
	"baywall.example/entry/follow"
)

// A gateway that cannot reach the store, or is refused by it, takes the configuration and
// the backend servers from another gateway that knows of a newer change. Heartbeats say
// which gateways do.

// linkIdle is how long an unused link to another gateway is kept open.
const linkIdle = 10 * time.Second

// peering exchanges store state with other gateways.
type peering struct {
	gateway  *Gateway
	local    *link.Local
	pool     *link.Pool
	mu       sync.Mutex
	exchange *follow.Exchange // under mu
	passive  atomic.Bool      // other gateways follow the store on behalf of this one
	election *follow.Election
	lastRole atomic.Int32 // source.Role of the latest decision
	encoder  packer
	// suspectPulls counts the gateways from which suspects were pulled since
	// suspectPullsSince, under mu.
	suspectPulls      int
	suspectPullsSince time.Time
}

func newPeering(g *Gateway) *peering {
	host, _, _ := net.SplitHostPort(g.settings.Listen.Peers) // validated
	p := &peering{
		gateway: g, exchange: follow.NewExchange(g.settings.Zone, g.settings.Follow.minPropagation()),
		election: follow.NewElection(g.settings.VM, g.settings.Zone, g.settings.Follow.minPropagation(), len(g.settings.Seeds) > 0, g.settings.Bootstrap, clock.Now()),
	}
	p.local = &link.Local{
		VM: vm.ID(g.settings.VM), Incarnation: g.incarnation, Role: vm.RoleEntry, Zone: zone.ID(g.settings.Zone), BindIP: host,
		Clock: &timeline.Clock{}, Log: g.log, Revisions: func() (config, vms uint64) { return g.catalog.Version(), g.applied().changed.Revision },
	}
	p.pool = link.NewPool(p.local, nil, nil, nil)
	return p
}

// followState returns what this gateway knows of the store's state.
func (g *Gateway) followState() follow.State {
	return follow.State{
		Changed: g.applied().changed, Catalog: g.catalog.Version(), Retained: g.follower.Retained(), Listed: g.listed.Load(),
		Passive: g.peering.passive.Load(), Active: g.activity.isActive(), Failing: g.follower.Failing(),
	}
}

// decideRole returns the gateway's role in following the store.
func (p *peering) decideRole() source.Role {
	g := p.gateway
	live := g.node.Live()
	next := p.election.Decide(live, g.followState(), clock.Now())
	p.passive.Store(next == source.RolePassive)
	if before := source.Role(p.lastRole.Swap(int32(next))); before != next {
		g.log.Info().Stringer("duty", next).Stringer("before", before).Int("gateways", len(live)+1).Msg("following of the store changed")
	}
	return next
}

// followers returns the number of other gateways that follow the store.
func (g *Gateway) followers() int { return follow.Followers(g.settings.Zone, g.node.Live()) - 1 }

// run compares with other gateways at short intervals while they follow the store on behalf
// of this one.
func (p *peering) run(ctx context.Context) {
	for wait.Sleep(ctx, follow.NonFollowerCheckInterval) {
		if p.passive.Load() {
			p.reconcile(ctx)
		}
	}
}

// reconcile compares what other gateways know with what this one knows, and acts on
// differences.
func (p *peering) reconcile(ctx context.Context) {
	g := p.gateway
	own, live := g.followState(), g.node.Live()
	p.mu.Lock()
	step := p.exchange.Check(own, live, clock.Now())
	p.mu.Unlock()
	if step.Nudge != (source.Position{}) {
		g.follower.Nudge(step.Nudge)
	}
	if step.Pull != nil {
		g.run.Go(func() { p.pull(ctx, *step.Pull) })
	}
}

// pull fetches the state that another gateway knows and hands it to the follower.
func (p *peering) pull(ctx context.Context, from cluster.Peer) {
	state, err := p.fetch(ctx, from)
	p.mu.Lock()
	p.exchange.PullEnded(from.VM)
	p.mu.Unlock()
	log := p.gateway.log.Info()
	if err != nil {
		log = p.gateway.log.Warn().Err(err)
	}
	own := p.gateway.applied()
	log.Str("peer", string(from.VM)).Uint64("era", state.Term).Uint64("revision", state.Revision).
		Uint64("known_era", own.changed.Term).Uint64("known", own.changed.Revision).
		Uint64("version", from.CatalogVersion).Uint64("in_force", p.gateway.catalog.Version()).
		Int("kept", len(state.RetainedItems)).Msg("state asked from another gateway")
	if err == nil && state.Changed != (source.Position{}) {
		state.From = string(from.VM)
		p.gateway.follower.Offer(state)
	}
}

func (p *peering) fetch(ctx context.Context, from cluster.Peer) (source.State, error) {
	ctx, cancel := context.WithTimeout(ctx, follow.PullTimeout)
	defer cancel()
	at := p.gateway.applied().at
	pull := &wire.SourcePull{Era: at.Term, After: at.Revision, Removals: from.Retained != p.gateway.follower.Retained()}
	reply, err := p.call(ctx, from, &wire.Call{Body: &wire.Call_Source{Source: pull}})
	if err != nil {
		return source.State{}, err
	}
	return stateFromWire(reply.GetSource(), clock.Now())
}

// call sends a call to another gateway and returns its reply.
func (p *peering) call(ctx context.Context, to cluster.Peer, call *wire.Call) (*wire.Reply, error) {
	conn, err := p.pool.Get(ctx, vm.VM{ID: to.VM, Link: to.Address, Role: vm.RoleEntry})
	if err != nil {
		return nil, err
	}
	reply, err := conn.Call(ctx, call)
	if err != nil {
		p.pool.Retain(func(id vm.ID) bool { return id != to.VM }) // the link may be dead
	}
	return reply, err
}

// ServeStream answers a call of another gateway.
func (p *peering) ServeStream(_ context.Context, from *link.Link, s *link.Stream, call *wire.Call) {
	reply := &wire.Reply{}
	switch {
	case call.GetSource() != nil:
		pull := call.GetSource()
		state := p.gateway.follower.Since(source.Position{Term: pull.GetEra(), Revision: pull.GetAfter()}, pull.GetRemovals())
		reply.Body = &wire.Reply_Source{Source: p.encoder.reply(state, clock.Now())}
	case call.GetSuspects() != nil:
		reply.Body = &wire.Reply_Suspects{Suspects: &wire.Suspects{Suspects: p.gateway.suspects.FullReport(clock.Now())}}
	case call.GetPermit() != nil:
		reply.Body = &wire.Reply_Permit{Permit: p.gateway.limits.grantPermit(call.GetPermit())}
	case call.GetRetry() != nil:
		reply.Body = &wire.Reply_Retry{Retry: p.gateway.grantRetry(call.GetRetry())}
	default:
		p.gateway.log.Warn().Str("peer", string(from.Remote)).Msg("unexpected call")
		return
	}
	if err := s.SendReply(reply); err != nil {
		p.gateway.log.Info().Err(err).Str("peer", string(from.Remote)).Msg("reply to another gateway could not be sent")
	}
}
