package mapswitch

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"baywall.example/agent/engine"
	"baywall.example/core/expertmap"
)

var start = time.Unix(1_700_000_000, 0)

// answerAll makes every rank accept the orders, in the given state.
func answerAll(c *Coordinator, orders []Outgoing, s engine.ExpertState, now time.Time) []Outgoing {
	var next []Outgoing
	for _, o := range orders {
		next = append(next, c.Receive(o.Rank, o.Order, Reply{OK: true, State: s, Fence: c.Fence(), Incarnation: 1}, now)...)
	}
	return next
}

func idleCoordinator(t *testing.T, timing Timing) *Coordinator {
	t.Helper()
	c := NewCoordinator(2, NextFence(0, 0, 1, start), timing, start)
	answerAll(c, c.Tick(start), engine.ExpertState{Step: 1, Epoch: 1}, start)
	if c.Stage() != StageIdle {
		t.Fatalf("stage %s", c.Stage())
	}
	return c
}

// A switch to a map for an outdated demand would delay the switch for the present one.
func TestAProposalReplacesOneThatIsOnlyPrepared(t *testing.T) {
	is := is.New(t)
	c := idleCoordinator(t, Timing{})
	is.True(c.Propose(expertmap.Map{}, start))
	first := c.Tick(start)
	is.True(c.Propose(expertmap.Map{}, start))
	second := c.Tick(start)
	is.True(second[0].Order.Version > first[0].Order.Version)
	is.Equal(len(answerAll(c, first, engine.ExpertState{Epoch: 1, Loaded: first[0].Order.Version}, start)), 0)
	is.Equal(c.Stage(), StagePreparing) // answers to the first proposal do not count
	answerAll(c, second, engine.ExpertState{Epoch: 1, Loaded: second[0].Order.Version}, start)
	is.Equal(c.Stage(), StageHolding)
	is.True(!c.Propose(expertmap.Map{}, start)) // a rank may hold its step
}

// The lead depends on the present length of a step: where steps are long, one more step
// means a long time on the old map.
func TestTheLeadFollowsTheLengthOfAStep(t *testing.T) {
	cases := []struct {
		name      string
		length    time.Duration
		leadSteps uint64
	}{
		{"short steps", 40 * time.Millisecond, 3},
		{"usual steps", 60 * time.Millisecond, 2},
		{"long steps", 160 * time.Millisecond, 1},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			c := idleCoordinator(t, Timing{LeadSteps: 1, MaxLeadSteps: 8})
			c.leadEstimator.switchDuration = 60 * time.Millisecond
			for step := range 10 {
				c.Observe(uint64(step+1), false, start.Add(time.Duration(step)*test.length))
			}
			is.Equal(c.leadSteps(), test.leadSteps)
		})
	}
}

// slowLoader is an engine whose loading ends when done is closed.
type slowLoader struct {
	simEngine
	done chan struct{}
}

func (e *slowLoader) Order(ctx context.Context, o engine.Order) (engine.ExpertState, error) {
	if o.Kind == engine.OrderLoad {
		return e.state(), nil
	}
	return e.simEngine.Order(ctx, o)
}

func (e *slowLoader) Loaded(_ context.Context, version uint64) (engine.ExpertState, error) {
	<-e.done
	e.loaded = version
	return e.state(), nil
}

// A new coordinator must not wait for the copies that its predecessor ordered. The
// predecessor's order is superseded by the time the copies are complete.
func TestAMemberHandlesOrdersWhileItLoads(t *testing.T) {
	is := is.New(t)
	e := &slowLoader{simEngine: simEngine{world: &world{step: 1}}, done: make(chan struct{})}
	m := NewMember(e, 1)
	m.Recovered()
	read := func(fence uint64) Reply { return m.Handle(t.Context(), Order{Phase: PhaseRead, Fence: fence}) }
	is.True(read(1).OK)
	loaded := make(chan Reply)
	go func() {
		loaded <- m.Handle(t.Context(), Order{Phase: PhasePrepare, Fence: 1, Incarnation: 1, Version: 7})
	}()
	is.True(read(2).OK)
	close(e.done)
	is.True((<-loaded).Superseded)
}

// An order with changes to a map that the rank's agent does not have is sent again at
// once. That happens where one proposal replaced another: some ranks have the first map,
// others the second.
func TestAnIncompleteOrderIsSentAgainAtOnce(t *testing.T) {
	is := is.New(t)
	c := idleCoordinator(t, Timing{})
	is.True(c.Propose(expertmap.Map{}, start))
	orders := c.Tick(start)
	is.Equal(len(orders), 2)
	again := c.Receive(1, orders[1].Order, Reply{BaseUnknown: true, Fence: c.Fence()}, start.Add(time.Millisecond))
	is.Equal(len(again), 1)
	is.Equal(again[0].Rank, 1)
	is.True(again[0].Resent)
	refused := c.Receive(0, orders[0].Order, Reply{Reason: "busy", Fence: c.Fence()}, start.Add(time.Millisecond))
	is.Equal(len(refused), 0)
}
