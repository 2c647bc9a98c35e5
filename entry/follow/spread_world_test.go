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
	// hop is the time of a message between two VMs or to the store, and back half of it.
	hop = 4 * time.Millisecond
	// serveTime is the time in which the store or a gateway answers.
	serveTime = 6 * time.Millisecond
)

// simStore is a store in simulated time.
type simStore struct {
	era, revision uint64
	items         map[string]source.Item
	events        []source.Event
	dropped       uint64
	changed       chan struct{}
	deaf          bool // watches that wait hear nothing
	mute          bool // new ones hear nothing either
	cut           chan struct{}
	away          bool
}

func newSimStore() *simStore {
	s := &simStore{era: 1, items: make(map[string]source.Item), changed: make(chan struct{}), cut: make(chan struct{})}
	for i := range 20 {
		s.put(fmt.Sprintf("key-%d", i))
	}
	return s
}

func (s *simStore) put(key string) source.Position {
	s.revision++
	at := source.Position{Era: s.era, Revision: s.revision}
	s.items[key] = source.Item{Key: key, Position: at}
	s.events = append(s.events, source.Event{Item: s.items[key]})
	if !s.deaf {
		close(s.changed)
		s.changed = make(chan struct{})
	}
	return at
}

// drop forgets the history and cuts the watches.
func (s *simStore) drop() {
	s.events, s.dropped, s.deaf, s.mute = nil, s.revision, false, false
	close(s.cut)
	s.cut = make(chan struct{})
}

// back brings the store back from a copy without the latest changes.
func (s *simStore) back(lost uint64) {
	s.revision -= lost
	s.era++
	s.away = false
	for key, i := range s.items {
		if i.Revision > s.revision {
			delete(s.items, key)
		}
	}
	s.events = nil
	close(s.cut)
	s.cut = make(chan struct{})
}

// how a gateway reaches the store.
type reach int

const (
	reaches reach = iota
	isRefused
	isSilent
)

// simGateway is what a gateway does about the store and the other gateways.
type simGateway struct {
	fleet    *simFleet
	index    int
	table    *cluster.Table
	rnd      *rand.Rand
	follower *source.Follower
	exchange *Exchange
	election *Election
	reach    reach
	frozen   bool
	isolated bool
	resting  bool
	leads    bool
	active   bool
	listed   bool
	changed  source.Position
	retained uint64
	has      source.Position // change of the watched key that was delivered
	hadAt    time.Time
	calls    int
}

// simFleet is a fleet in simulated time.
type simFleet struct {
	mu       sync.Mutex // guards all that is not the followers' own
	store    *simStore
	gateways []*simGateway
	within   time.Duration
	at       map[string]*simGateway
	asked    source.Position // the change that is waited for
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
		g.table.Attend()
		g.follower = &source.Follower{
			Store: g, Log: zerolog.Nop(), Within: within, Deliver: g.deliver,
			Others: g.others, Duty: g.decideDuty,
		}
		f.gateways = append(f.gateways, g)
		f.at[address(i)] = g
	}
	for _, g := range f.gateways {
		go g.follower.Run(ctx)
		go g.beat(ctx)
		go g.look(ctx)
	}
	return f
}

func (g *simGateway) name() string { return fmt.Sprintf("vm%d", g.index) }
func (g *simGateway) zone() string { return fmt.Sprintf("z%d", g.index%3) }

// get reads and set writes what the fleet's lock guards.
func get[T any](f *simFleet, v *T) T {
	f.mu.Lock()
	defer f.mu.Unlock()
	return *v
}

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

// thaw waits until the gateway is not frozen.
func (g *simGateway) thaw(ctx context.Context) {
	for get(g.fleet, &g.frozen) && wait.Sleep(ctx, 10*time.Millisecond) {
	}
}

func (g *simGateway) decideDuty() source.Duty {
	g.fleet.mu.Lock()
	defer g.fleet.mu.Unlock()
	duty := g.election.Decide(g.table.Live(), g.standing(), clock.Now())
	g.leads, g.resting = duty == source.DutyLead, duty == source.DutyRest
	return duty
}

// standing returns what the gateway knows, under the fleet's lock.
func (g *simGateway) standing() Standing {
	return Standing{
		Changed: g.changed, Retained: g.retained, Listed: g.listed, Resting: g.resting, Active: g.active,
		Failing: g.follower.Failing(),
	}
}

func (g *simGateway) deliver(u source.Update) {
	g.fleet.mu.Lock()
	defer g.fleet.mu.Unlock()
	g.listed, g.changed = true, u.Changed
	if at := u.Items[watchedKey].Position; at.After(g.has) {
		g.has = at
	}
	if g.hadAt.IsZero() && g.fleet.asked != (source.Position{}) && !g.fleet.asked.After(g.has) {
		g.hadAt = clock.Now()
	}
}

func (g *simGateway) self() cluster.Self {
	return cluster.Self{
		VM: vm.ID(g.name()), Incarnation: 1, Zone: g.zone(), Address: fmt.Sprintf("10.0.%d.%d:1", g.index/200, g.index%200), Front: "f",
		Ready: g.listed, StoreChanged: g.changed, StoreHeard: g.follower.Heard(), StoreFailing: g.follower.Failing(), Retained: g.retained,
		Activity: cluster.Activity{Active: g.active},
	}
}

// beat sends heartbeats as cluster.Node does.
func (g *simGateway) beat(ctx context.Context) {
	tick := 20 * time.Millisecond
	if !g.active {
		tick *= 5
	}
	for wait.Sleep(ctx, tick) {
		g.thaw(ctx)
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

// look looks at the others as peering does.
func (g *simGateway) look(ctx context.Context) {
	for n := 0; wait.Sleep(ctx, RestLook); n++ {
		g.thaw(ctx)
		if n%int(LookInterval/RestLook) == 0 {
			g.follower.Recheck()
		} else if !get(g.fleet, &g.resting) {
			continue
		}
		retained := g.follower.Retained()
		g.fleet.mu.Lock()
		g.retained = retained
		step := g.exchange.Look(g.standing(), g.table.Live(), clock.Now())
		g.fleet.mu.Unlock()
		if step.Nudge != (source.Position{}) {
			g.follower.Nudge(step.Nudge)
		}
		if step.Pull != nil {
			go g.pull(ctx, *step.Pull)
		}
	}
}

// pull asks another gateway.
func (g *simGateway) pull(ctx context.Context, from cluster.Peer) {
	defer func() {
		g.fleet.mu.Lock()
		defer g.fleet.mu.Unlock()
		g.exchange.Ended(from.VM)
	}()
	to := g.fleet.at[from.Address]
	time.Sleep(hop + serveTime)
	if get(g.fleet, &to.frozen) || get(g.fleet, &to.isolated) || get(g.fleet, &g.isolated) {
		wait.Sleep(ctx, PullTimeout)
		return
	}
	state := to.follower.Since(g.at(), false)
	time.Sleep(hop)
	g.thaw(ctx)
	g.follower.Offer(state)
}

func (g *simGateway) at() source.Position { return g.follower.Since(source.Position{}, false).Position }

// call is the way of a call to the store.
func (g *simGateway) call(ctx context.Context) error {
	wait.Sleep(ctx, hop)
	g.thaw(ctx)
	g.fleet.mu.Lock()
	g.calls++
	silent := g.isolated || g.reach == isSilent
	refused := g.reach == isRefused || g.fleet.store.away
	g.fleet.mu.Unlock()
	if silent {
		<-ctx.Done()
	}
	if silent || refused {
		return source.ErrUnavailable
	}
	return nil
}

// List answers as the store does.
func (g *simGateway) List(ctx context.Context, _ string, _ source.Freshness) ([]source.Item, source.Position, error) {
	if err := g.call(ctx); err != nil {
		return nil, source.Position{}, err
	}
	g.fleet.mu.Lock()
	s := g.fleet.store
	at := source.Position{Era: s.era, Revision: s.revision}
	var out []source.Item
	for _, i := range s.items {
		i.Era = s.era
		out = append(out, i)
	}
	g.fleet.mu.Unlock()
	wait.Sleep(ctx, serveTime)
	return out, at, nil
}

// answer is what the store answers to a watch at once, or for what that waits.
type answer struct {
	events       []source.Event
	at           source.Position
	gone         bool
	changed, cut chan struct{}
}

func (s *simStore) answer(after source.Position, first bool) answer {
	out := answer{
		at: source.Position{Era: s.era, Revision: s.revision}, gone: after.Revision < s.dropped || after.Revision > s.revision,
		changed: s.changed, cut: s.cut,
	}
	if s.deaf && (!first || s.mute) {
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

// Watch answers as the store does.
func (g *simGateway) Watch(ctx context.Context, _ string, after source.Position, period time.Duration) ([]source.Event, source.Position, error) {
	if err := g.call(ctx); err != nil {
		return nil, source.Position{}, err
	}
	timer := time.NewTimer(period)
	defer timer.Stop()
	for first := true; ; first = false {
		g.fleet.mu.Lock()
		now := g.fleet.store.answer(after, first)
		silent := g.isolated || g.reach == isSilent
		g.fleet.mu.Unlock()
		switch {
		case silent:
			<-ctx.Done()
			return nil, source.Position{}, source.ErrUnavailable
		case now.gone:
			return nil, source.Position{}, source.ErrHistoryLost
		case len(now.events) > 0:
			wait.Sleep(ctx, serveTime)
			g.thaw(ctx)
			return now.events, now.at, nil
		}
		select {
		case <-now.changed:
		case <-now.cut:
			g.thaw(ctx)
			return nil, source.Position{}, source.ErrUnavailable
		case <-timer.C:
			g.thaw(ctx)
			return nil, now.at, nil
		case <-ctx.Done():
			return nil, source.Position{}, source.ErrUnavailable
		}
	}
}
