package mapswitch_test

import (
	"context"
	"errors"
	"time"

	"github.com/rs/zerolog"

	"baywall.example/agent/mapswitch"
	"baywall.example/agent/rank"
	"baywall.example/core/expertmap"
	"baywall.example/core/vm"
)

// errNoAnswer is the error of a lost order or report.
var errNoAnswer = errors.New("no answer")

// simRank simulates one rank on a platform without fencing numbers: orders may be left
// unanswered and carried out late, any number of orders may leave the sequence number
// unchanged, and ranks do not compare maps. It implements rank.API.
type simRank struct {
	world       *rankWorld
	index       int
	sequence    uint64
	inUse       content
	prepared    content
	maxPrepared uint64 // the highest version that it has prepared
	armed       rank.Arming
	held        uint64
	late        []rank.Order

	member      *mapswitch.Member
	incarnation vm.Incarnation
}

// content is a map version together with what the map places: two maps of the same
// version may differ.
type content struct {
	version uint64
	expert  int32
}

func (r *simRank) Report(context.Context) (rank.Report, error) {
	if r.world.lose(r.world.lossyReports) {
		return rank.Report{}, errNoAnswer
	}
	w := r.world
	return rank.Report{
		Group: "g", Epoch: w.epoch, Rank: r.index, Size: len(w.ranks), Open: true, Sequence: r.sequence, Slowdown: 1,
		Step: w.step, Map: r.inUse.version, Prepared: r.prepared.version, Armed: r.armed, Held: r.held,
	}, nil
}

func (r *simRank) Counts(context.Context) (rank.Counts, error) { return rank.Counts{}, nil }

func (r *simRank) Placement(context.Context) (rank.Placement, error) { return rank.Placement{}, nil }

// Order carries out an order or leaves it unanswered; an unanswered order is done, lost
// or delayed.
func (r *simRank) Order(_ context.Context, o rank.Order) (rank.Result, error) {
	if !r.world.lose(r.world.lossyOrders) {
		return r.do(o), nil
	}
	switch r.world.choose(3) {
	case 0:
		r.do(o)
	case 1:
		r.late = append(r.late, o)
	}
	if r.world.bugs.lostIsDone {
		return rank.ResultDone, nil
	}
	return 0, errNoAnswer
}

func (r *simRank) do(o rank.Order) rank.Result {
	if o.Epoch != r.world.epoch || o.Sequence != r.sequence && !o.AnySequence {
		return rank.ResultRefused
	}
	ok := false
	switch o.Kind {
	case rank.OrderPrepare:
		ok = r.prepare(o)
	case rank.OrderArm:
		ok = o.Version == r.prepared.version && o.Step > r.world.step
		if ok {
			r.armed = rank.Arming{Version: o.Version, Step: o.Step}
		}
	case rank.OrderHold:
		ok = r.held == o.Step || r.held == 0 && o.Step > r.world.step
		if ok {
			r.held = o.Step
		}
	case rank.OrderRelease:
		if ok = r.held == o.Step; ok {
			r.held = 0
		}
	}
	if !ok {
		return rank.ResultRefused
	}
	return rank.ResultDone
}

func (r *simRank) prepare(o rank.Order) bool {
	if o.Version <= r.maxPrepared || r.armed.Version != 0 {
		return false
	}
	r.maxPrepared = o.Version
	r.prepared = content{o.Version, o.Map[0][r.index][0]}
	r.sequence++ // it copies an expert
	return true
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

func newRankWorld(ranks int, b rankBugs, choose func(int) int) *rankWorld {
	w := &rankWorld{bugs: b, choose: choose, now: time.Unix(1_700_000_000, 0), step: 1, epoch: 1}
	for i := range ranks {
		w.ranks = append(w.ranks, &simRank{world: w, index: i})
		w.restart(i)
	}
	w.lead(0)
	return w
}

// lossOneIn is the inverse probability that an order or a report is lost while such
// faults last.
const lossOneIn = 3

func (w *rankWorld) lose(lossy bool) bool { return lossy && w.choose(lossOneIn) == 0 }

// restart replaces a rank's agent, whose orders may still be in flight.
func (w *rankWorld) restart(i int) {
	r := w.ranks[i]
	r.incarnation++
	shape := func() rank.Shape { return rank.Shape{Layers: 1, Experts: len(w.ranks), Slots: 1} }
	r.member = mapswitch.NewMember(rank.NewEngine(r, shape, zerolog.Nop()), r.incarnation)
	r.member.Recovered()
}

func (w *rankWorld) lead(i int) {
	w.now = w.now.Add(time.Millisecond) // no two coordinators start in the same millisecond
	highest := uint64(0)
	for _, c := range w.coords {
		if c.rank == i {
			highest = max(highest, c.HighestFence())
		}
	}
	fence := mapswitch.NextFence(max(highest, w.ranks[i].member.Promised()), i, w.now)
	timing := mapswitch.Timing{LeadSteps: 3, Prepare: 2 * time.Second, Resend: 100 * time.Millisecond}
	w.coords = append(w.coords, &rankCoordinator{mapswitch.NewCoordinator(len(w.ranks), fence, timing, w.now), i})
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
		if len(r.late) > 0 {
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
		if c.Stage() == mapswitch.StageIdle && w.plans < rankPlans && w.settled(c) {
			w.plans++
			c.Propose(w.plan(), w.now)
		}
		w.send(c, c.Tick(w.now))
	}
}

// replan proposes another map while one is being prepared, as after a change of demand.
func (w *rankWorld) replan() {
	for _, c := range w.coords {
		if c.Stage() == mapswitch.StagePreparing {
			w.plans++
			c.Propose(w.plan(), w.now)
		}
	}
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
func (w *rankWorld) plan() expertmap.Map {
	row := make([]int32, len(w.ranks))
	for i := range row {
		row[i] = int32(w.plans)
	}
	return expertmap.Map{Layers: [][]int32{row}}
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
	w.replies = append(w.replies, rankReply{m, w.handle(m)})
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

func (r *simRank) carryOutLate() {
	i := r.world.choose(len(r.late))
	o := r.late[i]
	r.late = append(r.late[:i:i], r.late[i+1:]...)
	r.do(o)
}

// reformGroup simulates the crash of one rank: the group begins a new epoch with the
// initial map, and the crashed rank has lost its state.
func (w *rankWorld) reformGroup() {
	w.epoch++
	for _, r := range w.ranks {
		r.inUse, r.prepared, r.armed, r.held = content{}, content{}, rank.Arming{}, 0
	}
	crashed := w.ranks[w.choose(len(w.ranks))]
	crashed.maxPrepared, crashed.sequence = 0, 0
}

// advance begins the next step of the group, unless a rank holds it.
func (w *rankWorld) advance() {
	next := w.step + 1
	for _, r := range w.ranks {
		if r.held == next {
			return
		}
	}
	w.step = next
	for _, r := range w.ranks {
		if r.armed.Version != 0 && r.armed.Step == next {
			r.inUse, r.prepared, r.armed = r.prepared, content{}, rank.Arming{}
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
	w.lossyOrders, w.lossyReports = false, false
	w.plans = rankPlans
	for _, r := range w.ranks {
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
