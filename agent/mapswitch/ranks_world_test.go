package mapswitch_test

import (
	"context"
	"slices"
	"time"

	"github.com/rs/zerolog"

	"baywall.example/agent/mapswitch"
	"baywall.example/agent/rank"
	"baywall.example/core/expertmap"
)

// conditions are what a run allows in addition to the usual faults.
type conditions struct {
	slowCopies  bool // a rank reports a prepared version some choices after the order
	keepsCopies bool // in some runs, a rank reports a prepared version until the copy of the next one is complete
	equalStarts bool // coordinators of several ranks may start in the same millisecond
	clocksApart bool // wall clocks differ, some by 10 s, and may step back
	idle        bool // the group makes no steps for some time
	lateOrders  bool // late orders stay in flight for long, and prepare orders may leave the sequence number unchanged
	restarts    bool // all agents may restart at once
	twoHolds    bool // in some runs, a second hold replaces the first one instead of being refused
}

// rankBugs are deliberately injected bugs that the checks have to find.
type rankBugs struct {
	lostIsDone       bool // an order without an answer counts as carried out
	skipFence        bool // members accept orders of superseded coordinators
	releaseUnarmed   bool // one rank counts as armed without being ordered to
	commitUnheld     bool // the step counts as held without any rank holding it
	releaseOnRecover bool // a new coordinator releases the steps that it finds held
}

type rankOrder struct {
	coord *rankCoordinator
	rank  int
	order mapswitch.Order
}

type rankReply struct {
	rankOrder
	reply mapswitch.Reply
}

type rankCoordinator struct {
	*mapswitch.Coordinator
	rank int
}

// rankWorld simulates a group of such ranks with coordinators and a network. The choose
// function decides what happens next.
type rankWorld struct {
	bugs          rankBugs
	allow         conditions
	holdReplaces  bool // a second hold replaces the first one
	keepsPrepared bool // a prepared version remains until the copy of the next one is complete
	inactive      bool // the group makes no steps
	maxPlans      int
	trace         func(format string, args ...any)
	choose        func(n int) int
	lossyOrders   bool
	lossyReports  bool
	now           time.Time
	step, epoch   uint64
	ranks         []*simRank
	coords        []*rankCoordinator
	orders        []rankOrder
	externalHolds []rankOrder // orders to hold that were passed to VMs without ranks
	replies       []rankReply
	plans         int
	mixed         bool
}

func newRankWorld(ranks int, b rankBugs, allow conditions, choose func(int) int) *rankWorld {
	w := &rankWorld{bugs: b, allow: allow, choose: choose, now: time.Unix(1_700_000_000, 0), step: 1, epoch: 1, maxPlans: rankPlans}
	if allow != (conditions{}) {
		w.maxPlans = 2 * rankPlans
	}
	w.holdReplaces = allow.twoHolds && choose(2) == 0
	w.keepsPrepared = allow.keepsCopies && choose(2) == 0
	for i := range ranks {
		w.ranks = append(w.ranks, &simRank{world: w, index: i})
		w.restart(i)
		if allow.clocksApart {
			w.setClock(i)
		}
	}
	w.lead(0)
	return w
}

// note adds a line to the trace, if there is one.
func (w *rankWorld) note(format string, args ...any) {
	if w.trace != nil {
		w.trace(format, args...)
	}
}

// setClock sets a VM's wall clock, forward or back.
func (w *rankWorld) setClock(i int) {
	w.ranks[i].skew = time.Duration(w.choose(3)-1) * 10 * time.Second
	w.note("rank %d: clock differs by %s", i, w.ranks[i].skew)
}

// lossOneIn is the inverse probability that an order or a report is lost while such
// faults last.
const lossOneIn = 3

func (w *rankWorld) lose(lossy bool) bool { return lossy && w.choose(lossOneIn) == 0 }

// restart replaces a rank's agent, whose orders may still be in flight.
func (w *rankWorld) restart(i int) {
	r := w.ranks[i]
	w.note("rank %d: agent starts", i)
	r.incarnation++
	r.member = mapswitch.NewMember(newTestEngine(r, r), r.incarnation)
	r.member.Recovered()
}

// newTestEngine returns a rank's engine that uses the API, which is the rank itself or wraps it.
func newTestEngine(api rank.API, r *simRank) choosingEngine {
	shape := func() rank.Shape { return rank.Shape{Layers: 1, Experts: len(r.world.ranks), Slots: 1} }
	return choosingEngine{rank.NewEngine(api, shape, zerolog.Nop()), r}
}

func (w *rankWorld) lead(i int) {
	if !w.allow.equalStarts || w.ranks[i].led.Equal(w.now) || w.choose(2) == 0 {
		w.now = w.now.Add(time.Millisecond)
	}
	w.ranks[i].led = w.now
	highest := uint64(0)
	for _, c := range w.coords {
		if c.rank == i {
			highest = max(highest, c.HighestFence())
		}
	}
	fence := mapswitch.NextFence(max(highest, w.ranks[i].member.Promised()), i, w.ranks[i].incarnation, w.now.Add(w.ranks[i].skew))
	w.note("rank %d: coordinates with fence %d", i, fence)
	timing := mapswitch.Timing{LeadSteps: 3, Prepare: 2 * time.Second, Resend: 100 * time.Millisecond, LoadWhileHeld: true}
	w.coords = append(w.coords, &rankCoordinator{mapswitch.NewCoordinator(len(w.ranks), fence, timing, w.now), i})
}

func (w *rankWorld) restartAll() {
	for i := range w.ranks {
		w.restart(i)
	}
	w.coords = w.coords[:0]
	w.lead(w.choose(len(w.ranks)))
}

// actions lists what can happen next; the first entries belong to a run without faults.
func (w *rankWorld) actions() []func() {
	out := []func(){w.tick}
	if len(w.orders) > 0 {
		out = append(out, func() { w.deliverOrder(0, false) })
	}
	if len(w.replies) > 0 {
		out = append(out, func() { w.deliverReply(0) })
	}
	if len(w.externalHolds) > 0 {
		out = append(out, func() { w.holdExternally(w.choose(len(w.externalHolds)), false) })
	}
	out = append(out, w.advance)
	for _, r := range w.ranks {
		if len(r.late) > 0 && !w.allow.lateOrders {
			out = append(out, r.carryOutLate)
		}
		if r.copying.version != 0 {
			out = append(out, r.copied)
		}
	}
	return out
}

// act makes one choice.
func (w *rankWorld) act() {
	list := w.actions()
	if w.choose(rankFaultOneIn) == 0 {
		list = append(w.faults(), w.furtherFaults()...)
	}
	list[w.choose(len(list))]()
}

// furtherFaults lists the faults that the run's conditions add.
func (w *rankWorld) furtherFaults() (out []func()) {
	if w.allow.clocksApart {
		out = append(out, func() { w.setClock(w.choose(len(w.ranks))) })
	}
	if w.allow.restarts {
		out = append(out, w.restartAll)
	}
	if w.allow.idle {
		out = append(out, func() { w.inactive = !w.inactive; w.note("group is idle: %t", w.inactive) })
	}
	for _, r := range w.ranks {
		if len(r.late) > 0 && w.allow.lateOrders {
			out = append(out, r.carryOutLate)
		}
	}
	return out
}

// faults lists the faults that can occur.
func (w *rankWorld) faults() []func() {
	any := func() int { return w.choose(len(w.ranks)) }
	out := []func(){
		func() { w.restart(any()) },
		func() { w.lead(any()) },
		func() { w.coords = w.coords[:0]; w.lead(any()) },
		func() { w.lossyOrders = !w.lossyOrders },
		func() { w.lossyReports = !w.lossyReports },
		w.reformGroup,
		w.replan,
	}
	if len(w.externalHolds) > 0 {
		out = append(out, func() { w.holdExternally(0, true) }, func() { w.externalHolds = w.externalHolds[1:] })
	}
	if len(w.orders) > 0 {
		out = append(out,
			func() { w.deliverOrder(w.choose(len(w.orders)), false) },
			func() { w.deliverOrder(0, true) },
			func() { w.orders = w.orders[1:] },
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

const rankPlans = 3

func (w *rankWorld) tick() {
	w.now = w.now.Add(60 * time.Millisecond)
	for _, c := range w.coords {
		if c.Stage() == mapswitch.StageIdle && w.plans < w.maxPlans && w.settled(c) {
			w.propose(c)
		}
		if c.Stage() == mapswitch.StageHeld {
			c.Propose(mapOf(w.ranks[0].inUse.expert, len(w.ranks)), w.now)
		}
		w.send(c, c.Tick(w.now))
	}
}

// replan proposes another map while one is being prepared, as after a change of demand.
func (w *rankWorld) replan() {
	for _, c := range w.coords {
		if c.Stage() == mapswitch.StagePreparing && !c.Stopped() {
			w.propose(c)
		}
	}
}

func (w *rankWorld) propose(c *rankCoordinator) {
	w.plans++
	w.note("rank %d: proposes map %d", c.rank, w.plans)
	c.Propose(w.plan(), w.now)
}

// settled reports whether the coordinator's latest switch is in effect on all ranks.
func (w *rankWorld) settled(c *rankCoordinator) bool {
	for _, r := range w.ranks {
		if !c.InEffect(r.inUse.version) {
			return false
		}
	}
	return true
}

// plan returns a map whose content differs from that of any other plan.
func (w *rankWorld) plan() expertmap.Map { return mapOf(int32(w.plans), len(w.ranks)) }

// mapOf returns a map that places one expert on all ranks.
func mapOf(expert int32, ranks int) expertmap.Map {
	return expertmap.Map{Layers: [][]int32{slices.Repeat([]int32{expert}, ranks)}}
}

func (w *rankWorld) send(c *rankCoordinator, out []mapswitch.Outgoing) {
	for _, o := range out {
		m := rankOrder{c, o.Rank, o.Order}
		if o.Order.Phase == mapswitch.PhaseHold && !o.Resent {
			w.externalHolds = append(w.externalHolds, m)
		}
		w.orders = append(w.orders, m)
	}
}

// holdExternally lets a VM without a rank send an order to hold directly to the engine,
// after an arbitrary delay.
func (w *rankWorld) holdExternally(i int, keep bool) {
	m := w.externalHolds[i]
	if !keep {
		w.externalHolds = append(w.externalHolds[:i:i], w.externalHolds[i+1:]...)
	}
	r := w.ranks[m.rank]
	_, _ = r.Order(context.Background(), rank.Order{Kind: rank.OrderHold, Epoch: m.order.Epoch, Step: m.order.Step, AnySequence: true})
}

func (w *rankWorld) deliverOrder(i int, keep bool) {
	m := w.orders[i]
	if !keep {
		w.orders = append(w.orders[:i:i], w.orders[i+1:]...)
	}
	incarnation := w.ranks[m.rank].incarnation
	reply := w.handle(m)
	w.note("rank %d: %s by rank %d with fence %d, version %d, step %d: %t %s", m.rank, m.order.Phase, m.coord.rank, m.order.Fence, m.order.Version, m.order.Step, reply.OK, reply.Reason)
	if w.ranks[m.rank].incarnation == incarnation { // otherwise the agent ended before it replied
		w.replies = append(w.replies, rankReply{m, reply})
	}
}

func (w *rankWorld) handle(m rankOrder) mapswitch.Reply {
	r := w.ranks[m.rank]
	order := m.order
	if w.bugs.releaseUnarmed && order.Phase == mapswitch.PhaseCommit && m.rank == len(w.ranks)-1 ||
		w.bugs.commitUnheld && order.Phase == mapswitch.PhaseHold {
		return mapswitch.Reply{OK: true, Fence: order.Fence, Incarnation: order.Incarnation}
	}
	if w.bugs.skipFence && order.Phase != mapswitch.PhaseRead {
		order.Fence, order.Incarnation = r.member.Promised(), r.incarnation
	}
	if w.bugs.releaseOnRecover && order.Phase == mapswitch.PhaseRead && r.held != 0 && r.armed.Version == 0 {
		r.held = 0
	}
	return r.member.Handle(context.Background(), order)
}

func (w *rankWorld) deliverReply(i int) {
	m := w.replies[i]
	w.replies = append(w.replies[:i:i], w.replies[i+1:]...)
	w.send(m.coord, m.coord.Receive(m.rank, m.order, m.reply, w.now))
}

// reformGroup simulates the crash of one rank: the group begins a new epoch with the
// initial map, and the crashed rank has lost its state.
func (w *rankWorld) reformGroup() {
	w.epoch++
	for _, r := range w.ranks {
		r.inUse, r.prepared, r.copying, r.armed, r.held = content{}, content{}, content{}, rank.Arming{}, 0
	}
	crashed := w.ranks[w.choose(len(w.ranks))]
	w.note("rank %d: crashes, epoch %d", crashed.index, w.epoch)
	crashed.maxPrepared, crashed.sequence = 0, 0
}

// advance begins the next step of the group, unless a rank holds it.
func (w *rankWorld) advance() {
	if w.inactive {
		return
	}
	next := w.step + 1
	for _, r := range w.ranks {
		if r.held == next {
			return
		}
	}
	w.step = next
	for _, r := range w.ranks {
		if r.armed.Version != 0 && r.armed.Step == next {
			r.inUse, r.armed = r.arming, rank.Arming{}
			if r.prepared == r.arming {
				r.prepared = content{}
			}
			w.note("rank %d: uses version %d from step %d on, with map %d", r.index, r.inUse.version, next, r.inUse.expert)
		}
	}
	for _, r := range w.ranks {
		w.mixed = w.mixed || r.inUse != w.ranks[0].inUse
	}
}

// settle ends all faults and runs only the latest coordinator, from its present stage. It
// reports whether the coordinator became idle with no rank holding a step.
func (w *rankWorld) settle() bool {
	w.orders, w.replies = nil, nil
	for len(w.externalHolds) > 0 {
		w.holdExternally(0, false)
	}
	w.lossyOrders, w.lossyReports, w.inactive = false, false, false
	w.allow = conditions{}
	w.plans = w.maxPlans
	for _, r := range w.ranks {
		if r.copying.version != 0 {
			r.copied()
		}
		for len(r.late) > 0 {
			r.carryOutLate()
		}
	}
	w.coords = w.coords[len(w.coords)-1:]
	const rounds = 80
	for range rounds {
		if w.coords[0].Stage() == mapswitch.StageSuperseded {
			w.lead(w.coords[0].rank)
			w.coords = w.coords[1:]
		}
		w.coords[0].Observe(w.step, !w.noneHeld(), w.now)
		w.tick()
		for len(w.orders) > 0 {
			w.deliverOrder(0, false)
		}
		for len(w.replies) > 0 {
			w.deliverReply(0)
		}
		w.advance()
	}
	return w.coords[0].Stage() == mapswitch.StageIdle && w.noneHeld()
}

func (w *rankWorld) noneHeld() bool {
	for _, r := range w.ranks {
		if r.held != 0 {
			return false
		}
	}
	return true
}
