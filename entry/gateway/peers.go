package gateway

import (
	"context"
	"math/rand/v2"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"baywall.example/core/clock"
	"baywall.example/core/cluster"
	"baywall.example/core/link"
	"baywall.example/core/rendezvous"
	"baywall.example/core/source"
	"baywall.example/core/timeline"
	"baywall.example/core/vm"
	"baywall.example/core/wait"
	"baywall.example/core/wire"
	"baywall.example/core/zone"
)

// A gateway that does not reach the store, or that the store turns away, takes
// configuration and backend servers from another gateway that knows of a newer
// change. Heartbeats tell who does.

const (
	// pullTimeout bounds the exchange with another gateway.
	pullTimeout = 2 * time.Second
	// watchersPerZone is how many gateways of an availability zone follow the
	// store, as each call has its price and the store's rate is shared; the others
	// take what these hear.
	watchersPerZone = 1
	// smallFleet is up to how many gateways all of them follow the store: it can
	// bear their calls, and no change takes a second way.
	smallFleet = 12
	// shortestMeeting and longestMeeting bound the random time for which a gateway that
	// has just started waits to meet one that knows the state of the store already: when
	// a fleet of 150 starts, some of them list the backend servers in place of all.
	shortestMeeting, longestMeeting = 80 * time.Millisecond, 280 * time.Millisecond
	// askedAfter is when a gateway that has not got the state from another one asks the
	// store itself.
	askedAfter = 1500 * time.Millisecond
	// restLook is how often a gateway that does not follow the store itself looks
	// whether others know more.
	restLook = 100 * time.Millisecond
	// linkIdle is how long an unused link to another gateway is kept.
	linkIdle = 10 * time.Second
)

// watcherKey is what the order of those who follow the store is drawn for.
const watcherKey = "store-watch"

// peering exchanges states of the store with other gateways.
type peering struct {
	gateway  *Gateway
	local    *link.Local
	pool     *link.Pool
	mu       sync.Mutex
	exchange *exchange   // under mu
	resting  atomic.Bool // others follow the store for this one
	leads    atomic.Bool // this one is to follow it
	packed   packer
	// asked counts the gateways asked for suspects since askedSince, under mu.
	asked      int
	askedSince time.Time
	began      time.Time
	meeting    time.Duration // for which others are looked for at first
}

func newPeering(g *Gateway) *peering {
	host, _, _ := net.SplitHostPort(g.settings.Listen.Peers) // validated
	p := &peering{
		gateway: g, exchange: newExchange(g.settings.Follow.Within), began: clock.Now(),
		meeting: shortestMeeting + rand.N(longestMeeting-shortestMeeting),
	}
	p.local = &link.Local{
		VM: vm.ID(g.settings.VM), Incarnation: g.incarnation, Role: vm.RoleEntry, Zone: zone.ID(g.settings.Zone), BindIP: host,
		Clock: &timeline.Clock{}, Log: g.log, Revisions: func() (config, vms uint64) { return g.catalog.Version(), g.knows().changed.Revision },
	}
	p.leads.Store(true)
	p.pool = link.NewPool(p.local, nil, nil, nil)
	return p
}

// rests reports whether the gateway leaves the store to others.
func (p *peering) rests() bool {
	now := clock.Now()
	age := now.Sub(p.began)
	listed := p.gateway.listed.Load()
	if !listed && age < p.meeting && len(p.gateway.settings.Seeds) > 0 {
		return true
	}
	live := p.gateway.node.Live()
	var zone watchable
	zone.add(p.gateway.settings.VM, p.gateway.activity.is())
	fresh := false
	for _, peer := range live {
		fresh = fresh || now.Sub(peer.StoreHeard) < p.gateway.follower.Staleness()
		if peer.Zone == p.gateway.settings.Zone {
			zone.add(string(peer.VM), peer.Active)
		}
	}
	leads := len(live)+1 <= smallFleet || slices.Contains(zone.watchers(), p.gateway.settings.VM)
	p.leads.Store(leads)
	rest := fresh && !leads
	if !listed && age > askedAfter {
		rest = false
	}
	if p.resting.Swap(rest) != rest {
		p.gateway.log.Info().Bool("resting", rest).Int("gateways", len(live)+1).Bool("fresh", fresh).Msg("following of the store changed")
	}
	return rest
}

// watchable are the ids of an availability zone's gateways.
type watchable struct{ active, standby []string }

func (w *watchable) add(id string, active bool) {
	if active {
		w.active = append(w.active, id)
		return
	}
	w.standby = append(w.standby, id)
}

// watchers returns those that follow the store: active ones first, as the others hear
// these most often.
func (w *watchable) watchers() []string {
	name := func(id string) string { return id }
	order := slices.Concat(rendezvous.Order(w.active, watcherKey, name), rendezvous.Order(w.standby, watcherKey, name))
	return order[:min(len(order), watchersPerZone)]
}

// followers returns how many other gateways follow the store.
func (g *Gateway) followers() int {
	live := g.node.Live()
	if len(live) < smallFleet {
		return len(live)
	}
	zones := map[string]int{g.settings.Zone: 1}
	for _, p := range live {
		zones[p.Zone]++
	}
	sum := 0
	for _, n := range zones {
		sum += min(n, watchersPerZone)
	}
	return sum - 1
}

// run looks often while others follow the store for this gateway.
func (p *peering) run(ctx context.Context) {
	for wait.Sleep(ctx, restLook) {
		if p.resting.Load() {
			p.look(ctx)
		}
	}
}

// look compares what others know with what this gateway knows, and acts on it.
func (p *peering) look(ctx context.Context) {
	g := p.gateway
	own := standing{
		changed: g.knows().changed, catalog: g.catalog.Version(), retained: g.follower.Retained(),
		listed: g.listed.Load(), resting: p.resting.Load(),
	}
	p.mu.Lock()
	step := p.exchange.look(own, g.node.Live(), clock.Now())
	p.mu.Unlock()
	if step.nudge != (source.Position{}) {
		g.follower.Nudge(step.nudge)
	}
	if step.pull != nil {
		g.run.Go(func() { p.pull(ctx, *step.pull) })
	}
}

// pull takes the state that another gateway knows.
func (p *peering) pull(ctx context.Context, from cluster.Peer) {
	state, err := p.fetch(ctx, from)
	p.mu.Lock()
	p.exchange.ended(from.VM)
	p.mu.Unlock()
	log := p.gateway.log.Info()
	if err != nil {
		log = p.gateway.log.Warn().Err(err)
	}
	own := p.gateway.knows()
	log.Str("peer", string(from.VM)).Uint64("era", state.Era).Uint64("revision", state.Revision).
		Uint64("known_era", own.changed.Era).Uint64("known", own.changed.Revision).
		Uint64("version", from.CatalogVersion).Uint64("in_force", p.gateway.catalog.Version()).
		Int("kept", len(state.Kept)).Msg("state asked from another gateway")
	if err == nil && state.Changed != (source.Position{}) {
		state.From = string(from.VM)
		p.gateway.follower.Offer(state)
	}
}

func (p *peering) fetch(ctx context.Context, from cluster.Peer) (source.State, error) {
	ctx, cancel := context.WithTimeout(ctx, pullTimeout)
	defer cancel()
	conn, err := p.pool.Get(ctx, vm.VM{ID: from.VM, Link: from.Address, Role: vm.RoleEntry})
	if err != nil {
		return source.State{}, err
	}
	at := p.gateway.knows().at
	pull := &wire.SourcePull{Era: at.Era, After: at.Revision}
	reply, err := conn.Call(ctx, &wire.Call{Body: &wire.Call_Source{Source: pull}})
	if err != nil {
		p.pool.Retain(func(id vm.ID) bool { return id != from.VM }) // the link may have gone silent
		return source.State{}, err
	}
	return stateFromWire(reply.GetSource(), clock.Now())
}

// ServeStream answers another gateway.
func (p *peering) ServeStream(_ context.Context, from *link.Link, s *link.Stream, call *wire.Call) {
	reply := &wire.Reply{}
	switch {
	case call.GetSource() != nil:
		pull := call.GetSource()
		state := p.gateway.follower.Since(source.Position{Era: pull.GetEra(), Revision: pull.GetAfter()})
		reply.Body = &wire.Reply_Source{Source: p.packed.reply(state, clock.Now())}
	case call.GetSuspects() != nil:
		reply.Body = &wire.Reply_Suspects{Suspects: &wire.Suspects{Suspects: p.gateway.suspects.All(clock.Now())}}
	default:
		p.gateway.log.Warn().Str("peer", string(from.Remote)).Msg("unexpected call")
		return
	}
	if err := s.SendReply(reply); err != nil {
		p.gateway.log.Info().Err(err).Str("peer", string(from.Remote)).Msg("answer to another gateway not sent")
	}
}
