package mapswitch

import (
	"context"
	"errors"
	"time"

	"baywall.example/agent/engine"
	"baywall.example/core/expertmap"
	"baywall.example/core/vm"
)

var errEngine = errors.New("engine refused the order")

// simEngine simulates one rank's engine: it follows the rules of the engine stand-in,
// without time.
type simEngine struct {
	world    *world
	fenced   bool
	fence    uint64
	active   uint64
	loaded   uint64
	hold     uint64
	activate uint64
	// capture, if set, collects orders as still in flight instead of carrying them out.
	capture *[]engine.Order
}

func (e *simEngine) Experts(context.Context) (engine.ExpertState, error) { return e.state(), nil }

func (e *simEngine) Observe(context.Context, bool) (engine.ExpertState, error) { return e.state(), nil }

func (e *simEngine) Loaded(_ context.Context, version uint64) (engine.ExpertState, error) {
	if e.loaded != version {
		return e.state(), errEngine
	}
	return e.state(), nil
}

func (e *simEngine) state() engine.ExpertState {
	return engine.ExpertState{Fence: e.fence, Step: e.world.step, Active: e.active, Loaded: e.loaded, Hold: e.hold, Activate: e.activate}
}

func (e *simEngine) Order(_ context.Context, o engine.Order) (engine.ExpertState, error) {
	if e.capture != nil {
		*e.capture = append(*e.capture, o)
		return engine.ExpertState{}, errEngine
	}
	return e.do(o)
}

func (e *simEngine) do(o engine.Order) (engine.ExpertState, error) {
	if e.fenced && o.Fence < e.fence {
		return e.state(), errEngine
	}
	e.fence = max(e.fence, o.Fence)
	ok := false
	switch o.Kind {
	case engine.OrderLoad:
		if ok = e.hold == 0 && e.activate == 0; ok {
			e.loaded = o.Version
		}
	case engine.OrderHold:
		if ok = o.Step > e.world.step && e.loaded == o.Version; ok {
			e.hold = o.Step
		}
	case engine.OrderActivate:
		if ok = o.Step >= e.world.step && e.loaded == o.Version; ok {
			e.activate = o.Step
		}
	case engine.OrderRelease:
		if ok = true; e.hold == o.Step {
			e.hold = 0
		}
	}
	if !ok {
		return e.state(), errEngine
	}
	return e.state(), nil
}

// simRank is one rank: its engine and the agent's member that controls it.
type simRank struct {
	engine      *simEngine
	member      *Member
	incarnation vm.Incarnation
	skew        time.Duration  // of the VM's clock
	late        []engine.Order // of earlier incarnations, still in flight
	recovering  bool
}

type orderMessage struct {
	coord *simCoordinator
	rank  int
	order Order
}

type replyMessage struct {
	orderMessage
	reply Reply
}

type simCoordinator struct {
	*Coordinator
	rank int
}

// bugs are deliberately injected bugs that the checks have to find.
type bugs struct {
	releaseBeforeAllArmed bool // one rank counts as armed without being ordered to
	releaseOnRecover      bool // a new coordinator releases the steps that it finds held
	skipFence             bool // members accept orders of superseded coordinators
}

// world simulates a group of ranks with coordinators and a network. The choose function
// decides what happens next.
type world struct {
	bugs    bugs
	choose  func(n int) int
	now     time.Time
	step    uint64
	ranks   []*simRank
	coords  []*simCoordinator
	orders  []orderMessage
	replies []replyMessage
	plans   int
	mixed   bool
}

func newWorld(ranks int, fenced bool, b bugs, choose func(int) int) *world {
	w := &world{bugs: b, choose: choose, now: time.Unix(1_700_000_000, 0), step: 1}
	for range ranks {
		skew := time.Duration(choose(5)) * 100 * time.Millisecond
		r := &simRank{skew: skew, engine: &simEngine{world: w, fenced: fenced, active: 1}, incarnation: 1}
		r.member = NewMember(r.engine, 1)
		r.member.Recovered()
		w.ranks = append(w.ranks, r)
	}
	w.lead(0)
	return w
}

// timing has a short lead, so that switches fit into short schedules.
var timing = Timing{LeadSteps: 3, Prepare: 2 * time.Second, Resend: 100 * time.Millisecond}

func (w *world) lead(rank int) {
	w.now = w.now.Add(time.Millisecond) // no two coordinators start in the same millisecond
	highest := w.ranks[rank].member.Promised()
	for _, c := range w.coords {
		if c.rank == rank {
			highest = max(highest, c.HighestFence())
		}
	}
	fence := NextFence(highest, rank, w.ranks[rank].incarnation, w.now.Add(w.ranks[rank].skew))
	w.coords = append(w.coords, &simCoordinator{NewCoordinator(len(w.ranks), fence, timing, w.now), rank})
}

// action is an event that can happen next.
type action func()

// actions lists what can happen next; the first entries belong to a run without faults.
func (w *world) actions() []action {
	out := []action{w.tick}
	if len(w.orders) > 0 {
		out = append(out, func() { w.deliverOrder(0, false) })
	}
	if len(w.replies) > 0 {
		out = append(out, func() { w.deliverReply(0) })
	}
	out = append(out, w.advance)
	for i, r := range w.ranks {
		if len(r.late) > 0 {
			out = append(out, func() { w.deliverLate(i) })
		} else if r.recovering {
			out = append(out, func() { w.recovered(i) })
		}
	}
	return out
}

// faults lists the faults that can occur.
func (w *world) faults() []action {
	rank := func() int { return w.choose(len(w.ranks)) }
	out := []action{
		func() { w.restart(rank()) },
		func() { w.lead(rank()) },
		func() { w.coords = w.coords[:0]; w.lead(rank()) },
		w.replan,
	}
	if len(w.orders) > 0 {
		out = append(out,
			func() { w.deliverOrder(w.choose(len(w.orders)), false) },
			func() { w.deliverOrder(0, true) },
			func() { w.orders = w.orders[1:] },
			w.crashWhileOrdering,
		)
	}
	if len(w.replies) > 0 {
		out = append(out,
			func() { w.deliverReply(w.choose(len(w.replies))) },
			func() { w.replies = w.replies[1:] },
		)
	}
	return out
}

const maxPlans = 2

func (w *world) tick() {
	w.now = w.now.Add(60 * time.Millisecond)
	for _, c := range w.coords {
		if c.Stage() == StageIdle && w.plans < maxPlans {
			w.plans++
			c.Propose(expertmap.Map{}, w.now)
		}
		w.send(c, c.Tick(w.now))
	}
}

// replan proposes another map while one is being prepared, as after a change of demand.
func (w *world) replan() {
	for _, c := range w.coords {
		if c.Stage() == StagePreparing {
			c.Propose(expertmap.Map{}, w.now)
		}
	}
}

func (w *world) send(c *simCoordinator, out []Outgoing) {
	for _, o := range out {
		w.orders = append(w.orders, orderMessage{c, o.Rank, o.Order})
	}
}

func (w *world) deliverOrder(i int, keep bool) {
	m := w.orders[i]
	if !keep {
		w.orders = append(w.orders[:i:i], w.orders[i+1:]...)
	}
	if w.bugs.releaseBeforeAllArmed && m.order.Phase == PhaseCommit && m.rank == len(w.ranks)-1 {
		w.replies = append(w.replies, replyMessage{m, Reply{OK: true, Fence: m.order.Fence, Incarnation: m.order.Incarnation}})
		return
	}
	r := w.ranks[m.rank]
	order := m.order
	if w.bugs.releaseOnRecover && order.Phase == PhaseRead && r.engine.activate == 0 {
		r.engine.hold = 0
	}
	if w.bugs.skipFence && order.Phase != PhaseRead {
		order.Fence, order.Incarnation = r.member.Promised(), r.incarnation
	}
	w.replies = append(w.replies, replyMessage{m, r.member.Handle(context.Background(), order)})
}

func (w *world) deliverReply(i int) {
	m := w.replies[i]
	w.replies = append(w.replies[:i:i], w.replies[i+1:]...)
	w.send(m.coord, m.coord.Receive(m.rank, m.order, m.reply, w.now))
}

// crashWhileOrdering restarts an agent whose order to its engine is in flight.
func (w *world) crashWhileOrdering() {
	m := w.orders[0]
	w.orders = w.orders[1:]
	r := w.ranks[m.rank]
	r.engine.capture = &r.late
	r.member.Handle(context.Background(), m.order)
	r.engine.capture = nil
	w.restart(m.rank)
}

func (w *world) restart(rank int) {
	r := w.ranks[rank]
	r.incarnation++
	r.member = NewMember(r.engine, r.incarnation)
	r.recovering = true
}

func (w *world) recovered(rank int) {
	w.ranks[rank].recovering = false
	w.ranks[rank].member.Recovered()
}

func (w *world) deliverLate(rank int) {
	r := w.ranks[rank]
	o := r.late[0]
	r.late = r.late[1:]
	_, _ = r.engine.do(o)
}

// advance runs one step of the group, unless a rank holds it.
func (w *world) advance() {
	for _, r := range w.ranks {
		if r.engine.hold == w.step {
			return
		}
	}
	for _, r := range w.ranks {
		if r.engine.activate == w.step {
			r.engine.active, r.engine.activate, r.engine.loaded = r.engine.loaded, 0, 0
		}
		w.mixed = w.mixed || r.engine.active != w.ranks[0].engine.active
	}
	w.step++
}

// settle ends all faults and runs only the latest coordinator. It reports whether the
// coordinator became idle with no rank holding a step.
func (w *world) settle() bool {
	w.orders, w.replies = nil, nil
	for i, r := range w.ranks {
		for len(r.late) > 0 {
			w.deliverLate(i)
		}
		w.recovered(i)
	}
	last := w.coords[len(w.coords)-1]
	w.coords = []*simCoordinator{last}
	w.plans = maxPlans
	const rounds = 60
	for range rounds {
		if w.coords[0].Stage() == StageSuperseded {
			w.coords = append([]*simCoordinator{}, w.coords[0])
			w.lead(w.coords[0].rank)
			w.coords = w.coords[1:]
		}
		w.tick()
		for len(w.orders) > 0 {
			w.deliverOrder(0, false)
		}
		for len(w.replies) > 0 {
			w.deliverReply(0)
		}
		w.advance()
	}
	return w.coords[0].Stage() == StageIdle && w.noneHeld()
}

func (w *world) noneHeld() bool {
	for _, r := range w.ranks {
		if r.engine.hold != 0 {
			return false
		}
	}
	return true
}
