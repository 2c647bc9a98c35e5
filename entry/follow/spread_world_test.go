package follow

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"baywall.example/core/clock"
	"baywall.example/core/cluster"
	"baywall.example/core/source"
	"baywall.example/core/vm"
	"baywall.example/core/wait"
)

const (
	// hop is the delay added to a call between two VMs or to the store. A one-way message
	// takes half of it.
	hop = 4 * time.Millisecond
	// serveTime is the time that the store or a gateway takes to answer.
	serveTime = 6 * time.Millisecond
)

// simStore simulates the store.
type simStore struct {
	term, revision uint64
	items          map[string]source.Item
	events         []source.Event
	dropped        uint64
	changed        chan struct{}
	stalled        bool // waiting watches get no events
	stalledNew     bool // new watches get no events either
	cut            chan struct{}
	refusing       bool // the store refuses all calls
}

func newSimStore() *simStore {
	s := &simStore{term: 1, items: make(map[string]source.Item), changed: make(chan struct{}), cut: make(chan struct{})}
	for i := range 20 {
		s.put(fmt.Sprintf("key-%d", i))
	}
	return s
}

func (s *simStore) put(key string) source.Position {
	s.revision++
	at := source.Position{Term: s.term, Revision: s.revision}
	s.items[key] = source.Item{Key: key, Position: at}
	s.events = append(s.events, source.Event{Item: s.items[key]})
	if !s.stalled {
		close(s.changed)
		s.changed = make(chan struct{})
	}
	return at
}

// drop discards the history and cuts the watches.
func (s *simStore) drop() {
	s.events, s.dropped, s.stalled, s.stalledNew = nil, s.revision, false, false
	close(s.cut)
	s.cut = make(chan struct{})
}

// restore restores the store from a copy that lacks the latest changes.
func (s *simStore) restore(lost uint64) {
	s.revision -= lost
	s.term++
	s.refusing = false
	for key, i := range s.items {
		if i.Revision > s.revision {
			delete(s.items, key)
		}
	}
	s.events = nil
	close(s.cut)
	s.cut = make(chan struct{})
}

// access is how a gateway reaches the store.
type access int

const (
	accessOK access = iota
	accessRefused
	accessTimesOut
)

// simGateway simulates the part of a gateway that deals with the store and with other
// gateways.
type simGateway struct {
	fleet       *simFleet
	index       int
	table       *cluster.Table
	rnd         *rand.Rand
	follower    *source.Follower
	exchange    *Exchange
	election    *Election
	access      access
	frozen      bool
	isolated    bool
	passive     bool
	leads       bool
	active      bool
	listed      bool
	changed     source.Position
	retained    uint64
	delivered   source.Position // latest delivered change of the watched key
	deliveredAt time.Time
	calls       int
}

// simFleet simulates a fleet.
type simFleet struct {
	mu       sync.Mutex // guards everything except the state inside the followers
	store    *simStore
	gateways []*simGateway
	within   time.Duration
	at       map[string]*simGateway
	awaited  source.Position // the awaited change
}

func newSimFleet(ctx context.Context, n int, within time.Duration, seed uint64) *simFleet {
	f := &simFleet{store: newSimStore(), within: within, at: make(map[string]*simGateway)}
	address := func(i int) string { return fmt.Sprintf("10.0.%d.%d:1", i/200, i%200) }
	for i := range n {
		g := &simGateway{
			fleet: f, index: i, rnd: rand.New(rand.NewPCG(seed, uint64(i))), exchange: NewExchange(fmt.Sprintf("z%d", i%3), within),
			active: n <= smallFleet || i%10 == 0 || i < 6,
		}
		g.election = NewElection(g.name(), g.zone(), within, true, false, clock.Now())
		g.table = cluster.NewTable(address(i), []string{address(0), address(1), address(2)}, cluster.DefaultPerPeer)
		g.table.EnableMonitoring()
		g.follower = &source.Follower{
			Store: g, Log: zerolog.Nop(), Within: within, Deliver: g.deliver,
			Others: g.others, Role: g.decideRole,
		}
		f.gateways = append(f.gateways, g)
		f.at[address(i)] = g
	}
	for _, g := range f.gateways {
		go g.follower.Run(ctx)
		go g.sendHeartbeats(ctx)
		go g.runChecks(ctx)
	}
	return f
}

func (g *simGateway) name() string { return fmt.Sprintf("vm%d", g.index) }
func (g *simGateway) zone() string { return fmt.Sprintf("z%d", g.index%3) }

// get reads a value that the fleet's lock guards.
func get[T any](f *simFleet, v *T) T {
	f.mu.Lock()
	defer f.mu.Unlock()
	return *v
}

// set writes a value that the fleet's lock guards.
func set[T any](f *simFleet, v *T, to T) {
	f.mu.Lock()
	defer f.mu.Unlock()
	*v = to
}

func (g *simGateway) others() int {
	g.fleet.mu.Lock()
	defer g.fleet.mu.Unlock()
	return Followers(g.zone(), g.table.Live()) - 1
}

// waitUnfrozen waits until the gateway is no longer frozen.
func (g *simGateway) waitUnfrozen(ctx context.Context) {
	for get(g.fleet, &g.frozen) && wait.Sleep(ctx, 10*time.Millisecond) {
	}
}

func (g *simGateway) decideRole() source.Role {
	g.fleet.mu.Lock()
	defer g.fleet.mu.Unlock()
	role := g.election.Decide(g.table.Live(), g.state(), clock.Now())
	g.leads, g.passive = role == source.RoleLead, role == source.RolePassive
	return role
}

// state returns the gateway's state with regard to the store. The caller holds the fleet's
// lock.
func (g *simGateway) state() State {
	return State{
		Changed: g.changed, Retained: g.retained, Listed: g.listed, Passive: g.passive, Active: g.active,
		Failing: g.follower.Failing(),
	}
}

func (g *simGateway) deliver(u source.Update) {
	g.fleet.mu.Lock()
	defer g.fleet.mu.Unlock()
	g.listed, g.changed = true, u.Changed
	if at := u.Items[watchedKey].Position; at.After(g.delivered) {
		g.delivered = at
	}
	if g.deliveredAt.IsZero() && g.fleet.awaited != (source.Position{}) && !g.fleet.awaited.After(g.delivered) {
		g.deliveredAt = clock.Now()
	}
}

func (g *simGateway) self() cluster.Self {
	return cluster.Self{
		VM: vm.ID(g.name()), Incarnation: 1, Zone: g.zone(), Address: fmt.Sprintf("10.0.%d.%d:1", g.index/200, g.index%200), Front: "f",
		Ready: g.listed, StoreChanged: g.changed, LastStoreAnswer: g.follower.LastAnswer(), StoreFailing: g.follower.Failing(), Retained: g.retained,
		Activity: cluster.Activity{Active: g.active},
	}
}

// sendHeartbeats sends heartbeats as cluster.Node does.
func (g *simGateway) sendHeartbeats(ctx context.Context) {
	tick := 20 * time.Millisecond
	if !g.active {
		tick *= 5
	}
	for wait.Sleep(ctx, tick) {
		g.waitUnfrozen(ctx)
		g.fleet.mu.Lock()
		out, _ := g.table.Tick(g.self(), g.rnd, clock.Now())
		g.fleet.mu.Unlock()
		for _, d := range out {
			to := g.fleet.at[d.Address]
			if to == nil || get(g.fleet, &g.isolated) || get(g.fleet, &to.isolated) {
				continue
			}
			time.AfterFunc(hop/2, func() {
				g.fleet.mu.Lock()
				defer g.fleet.mu.Unlock()
				if !to.frozen {
					to.table.Receive(d.Heartbeat, clock.Now())
				}
			})
		}
	}
}

// runChecks checks the other gateways as gateway.peering does.
func (g *simGateway) runChecks(ctx context.Context) {
	for n := 0; wait.Sleep(ctx, NonFollowerCheckInterval); n++ {
		g.waitUnfrozen(ctx)
		if n%int(CheckInterval/NonFollowerCheckInterval) == 0 {
			g.follower.Recheck()
		} else if !get(g.fleet, &g.passive) {
			continue
		}
		retained := g.follower.Retained()
		g.fleet.mu.Lock()
		g.retained = retained
		step := g.exchange.Check(g.state(), g.table.Live(), clock.Now())
		g.fleet.mu.Unlock()
		if step.Nudge != (source.Position{}) {
			g.follower.Nudge(step.Nudge)
		}
		if step.Pull != nil {
			go g.pull(ctx, *step.Pull)
		}
	}
}

// pull requests the state of another gateway and offers it to the follower.
func (g *simGateway) pull(ctx context.Context, from cluster.Peer) {
	defer func() {
		g.fleet.mu.Lock()
		defer g.fleet.mu.Unlock()
		g.exchange.PullEnded(from.VM)
	}()
	to := g.fleet.at[from.Address]
	time.Sleep(hop + serveTime)
	if get(g.fleet, &to.frozen) || get(g.fleet, &to.isolated) || get(g.fleet, &g.isolated) {
		wait.Sleep(ctx, PullTimeout)
		return
	}
	state := to.follower.Since(g.at(), false)
	time.Sleep(hop)
	g.waitUnfrozen(ctx)
	g.follower.Offer(state)
}

func (g *simGateway) at() source.Position { return g.follower.Since(source.Position{}, false).Position }

// call simulates the transport of a call to the store.
func (g *simGateway) call(ctx context.Context) error {
	wait.Sleep(ctx, hop)
	g.waitUnfrozen(ctx)
	g.fleet.mu.Lock()
	g.calls++
	silent := g.isolated || g.access == accessTimesOut
	refused := g.access == accessRefused || g.fleet.store.refusing
	g.fleet.mu.Unlock()
	if silent {
		<-ctx.Done()
	}
	if silent || refused {
		return source.ErrUnavailable
	}
	return nil
}

// List implements source.Store.
func (g *simGateway) List(ctx context.Context, _ string, _ source.Freshness) ([]source.Item, source.Position, error) {
	if err := g.call(ctx); err != nil {
		return nil, source.Position{}, err
	}
	g.fleet.mu.Lock()
	s := g.fleet.store
	at := source.Position{Term: s.term, Revision: s.revision}
	var out []source.Item
	for _, i := range s.items {
		i.Term = s.term
		out = append(out, i)
	}
	g.fleet.mu.Unlock()
	wait.Sleep(ctx, serveTime)
	return out, at, nil
}

// answer is the store's immediate answer to a watch, or the channels on which the watch waits.
type answer struct {
	events       []source.Event
	at           source.Position
	gone         bool
	changed, cut chan struct{}
}

func (s *simStore) answer(after source.Position, first bool) answer {
	out := answer{
		at: source.Position{Term: s.term, Revision: s.revision}, gone: after.Revision < s.dropped || after.Revision > s.revision,
		changed: s.changed, cut: s.cut,
	}
	if s.stalled && (!first || s.stalledNew) {
		out.at.Revision = min(s.revision, after.Revision)
		return out
	}
	for _, e := range s.events {
		if e.Revision > after.Revision {
			out.events = append(out.events, e)
		}
	}
	return out
}

// Watch implements source.Store.
func (g *simGateway) Watch(ctx context.Context, _ string, after source.Position, period time.Duration) ([]source.Event, source.Position, error) {
	if err := g.call(ctx); err != nil {
		return nil, source.Position{}, err
	}
	timer := time.NewTimer(period)
	defer timer.Stop()
	for first := true; ; first = false {
		g.fleet.mu.Lock()
		now := g.fleet.store.answer(after, first)
		silent := g.isolated || g.access == accessTimesOut
		g.fleet.mu.Unlock()
		switch {
		case silent:
			<-ctx.Done()
			return nil, source.Position{}, source.ErrUnavailable
		case now.gone:
			return nil, source.Position{}, source.ErrHistoryLost
		case len(now.events) > 0:
			wait.Sleep(ctx, serveTime)
			g.waitUnfrozen(ctx)
			return now.events, now.at, nil
		}
		select {
		case <-now.changed:
		case <-now.cut:
			g.waitUnfrozen(ctx)
			return nil, source.Position{}, source.ErrUnavailable
		case <-timer.C:
			g.waitUnfrozen(ctx)
			return nil, now.at, nil
		case <-ctx.Done():
			return nil, source.Position{}, source.ErrUnavailable
		}
	}
}
