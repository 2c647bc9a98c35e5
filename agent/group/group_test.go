package group

import (
	"context"
	"fmt"
	"io"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"baywall.example/agent/engine"
	"baywall.example/agent/mapswitch"
	"baywall.example/core/expertmap"
	"baywall.example/core/link"
	"baywall.example/core/resource"
	"baywall.example/core/timeline"
	"baywall.example/core/vm"
	"baywall.example/core/wire"
)

// agents holds the agents of a group's ranks, connected over the loopback interface. It
// also provides the group to them.
type agents struct {
	group   *resource.Group
	all     []*agent
	engines *ranks
	// unknown holds the ranks that received changes to a map that they did not have.
	unknown sync.Map
	// requestHold handles the agents' requests to other VMs to hold a step; nil = there are
	// no such VMs.
	requestHold func(rank int, step uint64)
}

// agent is the agent of one rank.
type agent struct {
	world   *agents
	set     *Set
	pool    *link.Pool
	address string
	traffic atomic.Int64
	// ignoresRelays makes the agent leave orders that it has to forward unanswered.
	ignoresRelays atomic.Bool
	// relayFailureCount counts the log lines about ranks that did not forward orders in
	// time.
	relayFailureCount atomic.Int64
}

// Run counts log lines. It implements zerolog.Hook.
func (a *agent) Run(_ *zerolog.Event, _ zerolog.Level, message string) {
	if message == "rank does not pass orders on" {
		a.relayFailureCount.Add(1)
	}
}

func (a *agents) Groups() map[string]*resource.Group {
	return map[string]*resource.Group{"g": a.group}
}

func (a *agents) Intent(service string) resource.Intent {
	i := resource.Intent{Service: service}
	i.Provision()
	i.PeriodMS, i.MoveCost = 20, 0.001
	return i
}

func (a *agents) Find(id vm.ID) vm.VM {
	for r, one := range a.group.Ranks {
		if one == id {
			return vm.VM{ID: id, Link: a.all[r].address, Role: vm.RoleBackend}
		}
	}
	return vm.VM{}
}

func (a *agents) LearnShape(expertmap.Shape) {}

// ServeStream serves the orders of another agent.
func (a *agent) ServeStream(ctx context.Context, _ *link.Link, s *link.Stream, call *wire.Call) {
	relay := call.GetSwitchRelay()
	if a.ignoresRelays.Load() && len(relay.GetTargets()) > 1 {
		<-ctx.Done()
		return
	}
	_ = a.set.Relay(ctx, relay, func(r *wire.SwitchRelayReply) error {
		for _, one := range r.GetReplies() {
			if one.GetReply().GetBaseUnknown() {
				a.world.unknown.Store(one.GetRank(), true)
			}
		}
		return s.SendReply(&wire.Reply{Body: &wire.Reply_SwitchRelay{SwitchRelay: r}})
	})
}

// newAgents returns the connected agents of a group and starts them.
func newAgents(t *testing.T, shape expertmap.Shape, timing Timing) *agents {
	t.Helper()
	return newAgentsWith(t, shape, timing, &agents{engines: newRanks(shape)})
}

func newAgentsWith(t *testing.T, shape expertmap.Shape, timing Timing, world *agents) *agents {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	world.group = &resource.Group{Service: "s", Layers: shape.Layers, Experts: shape.Experts, SlotsPerRank: shape.Slots, MaxNewTotal: 8}
	for r := range shape.Ranks {
		id := vm.ID(fmt.Sprintf("vm-of-the-rank-%d", r))
		world.group.Ranks = append(world.group.Ranks, id)
		world.all = append(world.all, world.newAgent(t, id, r, timing))
	}
	t.Cleanup(func() {
		cancel()
		for _, a := range world.all {
			a.pool.Close()
		}
	})
	go world.engines.run(ctx)
	for _, a := range world.all {
		go a.set.Run(ctx)
	}
	return world
}

func (a *agents) newAgent(t *testing.T, id vm.ID, r int, timing Timing) *agent {
	t.Helper()
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	out := &agent{world: a, address: ln.Addr().String()}
	local := &link.Local{
		VM: id, Incarnation: 1, Role: vm.RoleBackend, Clock: &timeline.Clock{}, Log: zerolog.Nop(),
		Traffic: &out.traffic, Revisions: func() (config, vms uint64) { return 0, 0 },
	}
	out.pool = link.NewPool(local, out, nil, nil)
	env := Environment{
		VM: id, Incarnation: 1, Engine: a.engines.all[r], Pool: out.pool, Directory: a,
		Recorder: timeline.NewRecorder(id, 100, zerolog.Nop()), Log: zerolog.New(io.Discard).Hook(out), Timing: timing,
	}
	if a.requestHold != nil {
		env.RequestHold = func(rank vm.VM, _, step uint64) { a.requestHold(slices.Index(a.group.Ranks, rank.ID), step) }
	}
	out.set = NewSet(env)
	go func() { _ = link.Accept(ln, local, nil, out) }()
	return out
}

// testTiming has short times for tests.
var testTiming = Timing{
	SkipRecoveryWait: true, ElectionTimeout: 800 * time.Millisecond, FirstElectionTimeout: 50 * time.Millisecond, Stagger: 400 * time.Millisecond,
	Tick: 10 * time.Millisecond, Poll: 100 * time.Millisecond, PollOnStep: true, CountsWeight: 0.2,
	Switch: mapswitch.Timing{Resend: 300 * time.Millisecond, LeadSteps: 4, MaxLeadSteps: 40},
}

// largeGroup is a group whose coordinator cannot call all ranks itself.
var largeGroup = expertmap.Shape{Ranks: 40, Slots: 3, Layers: 4, Experts: 80}

func await(t *testing.T, what string, limit time.Duration, ok func() bool) {
	t.Helper()
	for until := time.Now().Add(limit); !ok(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(until) {
			t.Fatalf("not within %s: %s", limit, what)
		}
	}
}

func TestALargeGroupFollowsItsDemand(t *testing.T) {
	is := is.New(t)
	timing := testTiming
	timing.Switch.Resend = 10 * time.Second // a resent order goes directly to its rank
	world := newAgents(t, largeGroup, timing)
	before := world.engines.skew()
	await(t, "first map in use", 20*time.Second, func() bool { least, _ := world.engines.versions(); return least > 0 })
	await(t, "even spread", 20*time.Second, func() bool { return world.engines.skew() < 1.35 })
	world.engines.shift(largeGroup.Experts / 2)
	is.True(world.engines.skew() > 1.35)
	await(t, "even spread of the new demand", 20*time.Second, func() bool { return world.engines.skew() < 1.35 })
	is.True(before > 1.35)
	is.Equal(world.engines.mixedSteps(), 0)
	// The other ranks are reached through relays. Exceptions are the ranks that replaced
	// a relay, and those that were sent a whole map because they did not have the
	// previous one.
	maxLinks := maxDirectCalls + int(world.all[0].relayFailureCount.Load())
	world.unknown.Range(func(any, any) bool {
		maxLinks++
		return true
	})
	is.True(len(world.all[0].pool.Links()) <= maxLinks)
}

// Orders that a relay fails to forward are resent without it.
func TestGroupSwitchesWhenRelaysForwardNothing(t *testing.T) {
	is := is.New(t)
	world := newAgents(t, largeGroup, testTiming)
	for _, chunk := range chunks(largeGroup.Ranks, 0)[:5] {
		world.all[chunk[0]].ignoresRelays.Store(true)
	}
	await(t, "first map in use", 30*time.Second, func() bool { least, _ := world.engines.versions(); return least > 0 })
	is.Equal(world.engines.mixedSteps(), 0)
}

// Polls use at most a tenth of the coordinator's link, also where links are slow.
func TestPollsStayWithinTheirShareOfTheLink(t *testing.T) {
	is := is.New(t)
	timing := testTiming
	timing.Link = 300_000 // bytes per second: a tenth is less than all counts take
	timing.MinGain = 1e9
	world := newAgents(t, largeGroup, timing)
	coordinator := &world.all[0].traffic
	await(t, "polls", 10*time.Second, func() bool { return coordinator.Load() > 100_000 })
	const window = 3 * time.Second
	before := coordinator.Load()
	time.Sleep(window)
	perSec := float64(coordinator.Load()-before) / window.Seconds()
	t.Logf("%.0f bytes a second", perSec)
	is.True(perSec <= 1.2*controlShare*timing.Link)
	is.True(perSec > 0)
}

// smallGroup is a group whose coordinator calls all ranks itself.
var smallGroup = expertmap.Shape{Ranks: 6, Slots: 4, Layers: 2, Experts: 16}

// The VM that sends the order to hold may freeze right after it. The order is therefore
// sent by a VM without a rank, to a rank that is not the coordinator's, and no rank's
// agent sends one.
func TestHoldIsOrderedByVMWithoutRank(t *testing.T) {
	is := is.New(t)
	world := &agents{engines: newRanks(smallGroup)}
	var held atomic.Int64 // holds requested of the coordinator's own rank
	world.requestHold = func(rank int, step uint64) {
		if rank == 0 {
			held.Add(1)
		}
		_, _ = world.engines.all[rank].Order(t.Context(), engine.Order{Kind: engine.OrderHold, Step: step})
	}
	newAgentsWith(t, smallGroup, testTiming, world)
	await(t, "first map in use", 20*time.Second, func() bool { least, _ := world.engines.versions(); return least > 0 })
	is.Equal(world.engines.agentHoldCount(), 0)
	is.Equal(held.Load(), int64(0))
	is.Equal(world.engines.mixedSteps(), 0)
}

// If no other VM sends the order to hold, the rank's own agent does.
func TestAgentHoldsItsRankIfNoOtherVMDoes(t *testing.T) {
	is := is.New(t)
	world := &agents{engines: newRanks(smallGroup)}
	world.requestHold = func(int, uint64) {}
	newAgentsWith(t, smallGroup, testTiming, world)
	await(t, "first map in use", 20*time.Second, func() bool { least, _ := world.engines.versions(); return least > 0 })
	is.True(world.engines.agentHoldCount() > 0)
	is.Equal(world.engines.mixedSteps(), 0)
}

// All ranks see at the same moment that their group was re-formed, long after their
// latest contact with its coordinator. They must not all start to coordinate, but in rank
// order.
func TestRanksCoordinateAReformedGroupInRankOrder(t *testing.T) {
	is := is.New(t)
	timing := Timing{ElectionTimeout: 600 * time.Millisecond, FirstElectionTimeout: 100 * time.Millisecond, Stagger: 150 * time.Millisecond, NonSuccessorStagger: 25 * time.Millisecond}
	var sets []*Set
	for r := range 8 {
		sets = append(sets, NewSet(Environment{VM: vm.ID(fmt.Sprint(r)), Timing: timing}))
	}
	now := time.Unix(1000, 0)
	before, after := &resource.Group{}, &resource.Group{}
	for r, s := range sets {
		s.contacted["g"] = contact{at: now, contacted: true, spec: before}
		is.True(!s.electionDue("g", before, r, now))
	}
	now = now.Add(2 * time.Second)
	formed := now
	is.True(!sets[0].electionDue("g", after, 0, now))
	for r, s := range sets[1:] {
		is.True(!s.electionDue("g", after, r+1, now))
	}
	now = formed.Add(101 * time.Millisecond)
	is.True(sets[0].electionDue("g", after, 0, now))
	for r, s := range sets[1:] {
		is.True(!s.electionDue("g", after, r+1, now))
	}
	sets[5].resumeCoordination("g") // it coordinated the group before
	is.True(sets[5].electionDue("g", after, 5, now))
}

// A rank that has seen its group being formed knows that nobody coordinates it yet.
func TestRankZeroCoordinatesAtOnceAfterItSawTheGroupForm(t *testing.T) {
	is := is.New(t)
	timing := Timing{ElectionTimeout: 600 * time.Millisecond, FirstElectionTimeout: 100 * time.Millisecond, Stagger: 150 * time.Millisecond}
	g := &resource.Group{}
	s := NewSet(Environment{VM: "a", Timing: timing})
	is.True(!s.electionDue("g", g, 0, time.Now())) // just started: it waits for a coordinator first
	s.Formed("g")
	soon := time.Now().Add(time.Millisecond)
	is.True(s.electionDue("g", g, 0, soon))
	is.True(!s.electionDue("g", g, 1, soon))
}

// A coordinator plans the first map of a re-formed group before any of its passes has
// been counted.
func TestCoordinatorRetainsTheDemandOfItsGroup(t *testing.T) {
	is := is.New(t)
	s := NewSet(Environment{VM: "a"})
	now := time.Unix(1000, 0)
	first := s.demandOf("g", smallGroup, now)
	is.True(first.estimate.Empty())
	counts := expertmap.NewCounts(smallGroup)
	counts[0][3] = 5
	first.estimate.Add(counts)
	is.True(!s.demandOf("g", smallGroup, now).estimate.Empty())
	is.True(s.demandOf("other", smallGroup, now).estimate.Empty())
	is.True(s.demandOf("g", largeGroup, now).estimate.Empty()) // engines of another shape
}
