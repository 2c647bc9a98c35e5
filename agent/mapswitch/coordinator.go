package mapswitch

import (
	"time"

	"baywall.example/agent/engine"
	"baywall.example/core/expertmap"
	"baywall.example/core/settings"
	"baywall.example/core/vm"
)

// Stage is a state of a Coordinator.
type Stage int

// Stages of a Coordinator.
const (
	StageReading Stage = iota + 1
	StageIdle          // every rank runs the same map and none is armed
	StagePreparing
	StageHolding    // the lock holder is ordered to hold a step
	StageCommitting // every rank is ordered to use the new map from that step on
	StageReleasing  // the group may begin the step
	StageSuperseded // another coordinator has a larger fencing number; start over
	StageHeld       // ranks hold a step that belongs to no switch; a map has to be proposed
)

// String returns the stage's name.
func (s Stage) String() string {
	return [...]string{"", "reading", "idle", "preparing", "holding", "committing", "releasing", "superseded", "held"}[s]
}

// Timing holds the timeouts and lead times of a Coordinator. Zero fields get the
// defaults.
type Timing struct {
	// Prepare is how long loading may take before the switch is abandoned. Default 30s.
	Prepare time.Duration
	// Resend is the time after which an unanswered order is sent again. Default 200ms.
	Resend time.Duration
	// LeadSteps is the minimum number of steps between the most advanced rank and the step
	// of the switch. The actual number grows to what the latest switch would have needed
	// to keep the group from waiting. Default 40.
	LeadSteps uint64
	// MaxLeadSteps is the upper bound of the actual number. Default twice LeadSteps.
	MaxLeadSteps uint64
	// LoadWhileHeld is set where engines load experts also while they hold a step. A held
	// step is then released only at the end of a switch, see StageHeld.
	LoadWhileHeld bool
}

// Defaults of Timing.
const (
	DefaultPrepare   = 30 * time.Second
	DefaultResend    = 200 * time.Millisecond
	DefaultLeadSteps = 40
)

func (t *Timing) provision() {
	t.Prepare = settings.Or(t.Prepare, DefaultPrepare)
	t.Resend = settings.Or(t.Resend, DefaultResend)
	t.LeadSteps = settings.Or(t.LeadSteps, DefaultLeadSteps)
	t.MaxLeadSteps = settings.Or(t.MaxLeadSteps, 2*t.LeadSteps)
}

// Outgoing is an order to one rank.
type Outgoing struct {
	Rank   int
	Order  Order
	Resent bool // the order was sent before in this stage and not accepted
}

// Coordinator drives the ranks of one group. It is not safe for concurrent use: its owner
// passes it proposals, replies and ticks one at a time and sends the orders that it
// returns.
type Coordinator struct {
	timing        Timing
	fence         uint64
	highestFence  uint64
	stage         Stage
	since         time.Time // when the stage was entered
	ranks         []rankState
	target        expertmap.Map
	step          uint64
	lockHolder    int    // the rank that holds the step of a switch
	maxHeldStep   uint64 // the latest step that any rank is known to have held
	unarmedStep   uint64 // step that ranks hold and none is armed for, 0 = none
	epoch         uint64 // of the group, as all ranks reported it when they were read
	counter       uint64 // largest counter of a version seen on any rank, or assigned
	leadEstimator leadEstimator
	held          time.Time // when ranks were first seen to hold a step without a switch in progress
	// committed is the version of the latest switch, 0 = none yet.
	committed uint64
}

type rankState struct {
	incarnation vm.Incarnation
	state       engine.ExpertState
	done        bool // answered the order of this stage
	sent        time.Time
	tried       bool // the order of this stage was sent
}

// NewCoordinator returns a coordinator with the fencing number. It begins by reading all
// ranks.
func NewCoordinator(ranks int, fence uint64, timing Timing, now time.Time) *Coordinator {
	timing.provision()
	c := &Coordinator{
		timing: timing, fence: fence, highestFence: fence, counter: firstVersionCounter(fence),
		lockHolder: lockHolderOf(fence, ranks), ranks: make([]rankState, ranks),
	}
	c.enter(StageReading, now)
	return c
}

// lockHolderOf returns the rank that holds steps for the fence's coordinator. It is not
// the coordinator's own rank, so that the group can continue when the coordinator's VM
// freezes.
func lockHolderOf(fence uint64, ranks int) int {
	return (fenceRank(fence) + 1) % ranks
}

// Stage returns the coordinator's current stage.
func (c *Coordinator) Stage() Stage { return c.stage }

// Fence returns the coordinator's fencing number.
func (c *Coordinator) Fence() uint64 { return c.fence }

// HighestFence returns the largest fencing number seen.
func (c *Coordinator) HighestFence() uint64 { return c.highestFence }

// Step returns the step of the latest switch.
func (c *Coordinator) Step() uint64 { return c.step }

// Epoch returns the group's epoch as all ranks reported it when they were read.
func (c *Coordinator) Epoch() uint64 { return c.epoch }

// Target returns the map of the latest switch. It has no layers if an earlier coordinator
// began that switch.
func (c *Coordinator) Target() expertmap.Map { return c.target }

// InEffect reports whether a rank that uses the version has made the latest switch. Until
// all ranks have, no other switch can be prepared.
func (c *Coordinator) InEffect(active uint64) bool {
	return c.committed == 0 || active >= c.committed
}

// Stopped reports whether ranks hold a step that belongs to no switch. The group makes no
// passes until a switch to a proposed map has taken that step.
func (c *Coordinator) Stopped() bool { return c.unarmedStep != 0 }

// Pending returns the ranks that have not answered in this stage.
func (c *Coordinator) Pending() []int {
	var out []int
	for i := range c.ranks {
		if !c.ranks[i].done {
			out = append(out, i)
		}
	}
	return out
}

// States returns the state that each rank reported last.
func (c *Coordinator) States() []engine.ExpertState {
	out := make([]engine.ExpertState, len(c.ranks))
	for i, r := range c.ranks {
		out[i] = r.state
	}
	return out
}

func (c *Coordinator) enter(s Stage, now time.Time) {
	c.stage, c.since = s, now
	for i := range c.ranks {
		c.ranks[i].done = !c.hasOrderFor(i)
		c.ranks[i].sent = time.Time{}
		c.ranks[i].tried = false
	}
}

// hasOrderFor reports whether the stage has an order for the rank.
func (c *Coordinator) hasOrderFor(rank int) bool {
	switch c.stage {
	case StageHolding:
		return rank == c.lockHolder
	case StageReleasing:
		return c.ranks[rank].state.Hold != 0 || rank == c.lockHolder && c.target.Version != 0
	default:
		return true
	}
}

// postpone delays the stage's first orders by the resend interval.
func (c *Coordinator) postpone(now time.Time) {
	for i := range c.ranks {
		c.ranks[i].sent = now
	}
}

// Propose starts a switch to the map and sets the map's version. A switch that is still
// being prepared is abandoned for it, as no rank holds its step yet. Where ranks hold a step
// that belongs to no switch, this switch takes that step. It returns false in any other
// stage.
func (c *Coordinator) Propose(m expertmap.Map, now time.Time) bool {
	if c.stage != StageIdle && c.stage != StagePreparing && c.stage != StageHeld {
		return false
	}
	c.counter++
	m.Version = NewVersion(c.counter, m)
	c.target = m
	c.enter(StagePreparing, now)
	return true
}

// Tick applies timeouts and returns the orders that are due.
func (c *Coordinator) Tick(now time.Time) []Outgoing {
	if c.stage == StagePreparing && now.Sub(c.since) > c.timing.Prepare {
		c.abandon(now)
	}
	return c.due(now)
}

// abandonedStep is how much the counters of the next coordinator's versions exceed that of a
// map which some rank did not prepare: one minute. The rank may have had a larger version
// than it reports, from a coordinator whose clock was ahead.
const abandonedStep = uint64(time.Minute/time.Millisecond) / versionUnit

// abandon ends a switch that some rank does not prepare. The coordinator starts over with a
// larger fencing number, so that all ranks are read again and promise to refuse the abandoned
// version.
func (c *Coordinator) abandon(now time.Time) {
	c.highestFence = max(c.highestFence, fenceOf(c.counter+abandonedStep))
	c.enter(StageSuperseded, now)
}

func (c *Coordinator) due(now time.Time) []Outgoing {
	if c.stage == StageIdle || c.stage == StageSuperseded || c.stage == StageHeld {
		return nil
	}
	var out []Outgoing
	for i := range c.ranks {
		r := &c.ranks[i]
		if r.done || !r.sent.IsZero() && now.Sub(r.sent) < c.resend() {
			continue
		}
		out = append(out, Outgoing{Rank: i, Order: c.order(i), Resent: r.tried})
		r.sent, r.tried = now, true
	}
	return out
}

// loadResend is the factor by which the resend interval of an order to load experts is
// longer than that of others: the answer comes only when the copies are complete, and the
// order is the largest of all.
const loadResend = 4

func (c *Coordinator) resend() time.Duration {
	if c.stage == StagePreparing {
		return loadResend * c.timing.Resend
	}
	return c.timing.Resend
}

func (c *Coordinator) order(rank int) Order {
	o := Order{Fence: c.fence, Incarnation: c.ranks[rank].incarnation, Version: c.target.Version, Step: c.step, Epoch: c.epoch}
	switch c.stage {
	case StageReading:
		o.Phase, o.Incarnation, o.Epoch = PhaseRead, 0, 0
	case StagePreparing:
		o.Phase, o.Map = PhasePrepare, c.target
	case StageHolding:
		o.Phase = PhaseHold
	case StageCommitting:
		o.Phase = PhaseCommit
	default:
		o.Phase = PhaseRelease
	}
	return o
}

// phase returns the phase whose replies are accepted in the present stage.
func (c *Coordinator) phase() Phase {
	switch c.stage {
	case StageReading:
		return PhaseRead
	case StagePreparing:
		return PhasePrepare
	case StageHolding:
		return PhaseHold
	case StageCommitting:
		return PhaseCommit
	case StageReleasing:
		return PhaseRelease
	default:
		return 0
	}
}

// Receive processes a rank's reply to an order and returns the orders that are due.
func (c *Coordinator) Receive(rank int, to Order, r Reply, now time.Time) []Outgoing {
	c.highestFence = max(c.highestFence, r.Fence)
	if to.Fence != c.fence || to.Phase != c.phase() || c.late(to) {
		return nil
	}
	if r.Superseded {
		c.enter(StageSuperseded, now)
		return nil
	}
	if !r.OK {
		if r.BaseUnknown {
			c.ranks[rank].sent = time.Time{} // resend with the whole map at once instead of 0.6 s later
		}
		c.handleRefusal(r, now)
		return c.due(now)
	}
	c.ranks[rank].incarnation = r.Incarnation
	c.ranks[rank].state = r.State
	c.ranks[rank].done = true
	if len(c.Pending()) == 0 {
		c.advance(now)
	}
	return c.due(now)
}

// late reports whether a reply belongs to an earlier switch of this coordinator.
func (c *Coordinator) late(to Order) bool {
	switch to.Phase {
	case PhaseRead:
		return false
	case PhasePrepare:
		return to.Version != c.target.Version
	default:
		return to.Version != c.target.Version || to.Step != c.step
	}
}

// advance moves on from a stage in which every rank has answered.
func (c *Coordinator) advance(now time.Time) {
	switch c.stage {
	case StageReading:
		c.recover(now)
	case StagePreparing:
		if c.unarmedStep != 0 {
			c.commitAt(c.unarmedStep, now)
			return
		}
		c.hold(c.latestStep()+c.leadSteps(), now)
	case StageHolding:
		c.enter(StageCommitting, now)
	case StageCommitting:
		c.committed = c.target.Version
		c.leadEstimator.switchEnded(now)
		c.enter(StageReleasing, now)
	case StageReleasing:
		c.enter(StageIdle, now)
	}
}

// hold begins to hold a step, one that no rank has held before: an order to release a
// step that was held before may still be in flight to the rank that held it.
func (c *Coordinator) hold(step uint64, now time.Time) {
	c.step = max(step, c.maxHeldStep+1)
	c.maxHeldStep = c.step
	c.leadEstimator.switchStarted(c.latestStep(), now)
	c.enter(StageHolding, now)
}

// commitAt orders all ranks to use the target from a step on that is held.
func (c *Coordinator) commitAt(step uint64, now time.Time) {
	c.step, c.unarmedStep = step, 0
	c.maxHeldStep = max(c.maxHeldStep, step)
	c.enter(StageCommitting, now)
}

// handleRefusal handles a refused order.
func (c *Coordinator) handleRefusal(r Reply, now time.Time) {
	if r.State.Epoch != c.epoch {
		return
	}
	switch c.stage {
	case StageHolding:
		c.handleRefusedHold(r.State, now)
	case StageCommitting:
		if r.State.Step > c.step {
			c.enter(StageReading, now) // the step was not held
		}
	}
}

// handleRefusedHold handles a refused order to hold. It is refused if the lock holder holds
// another step, as an earlier coordinator ordered: the switch takes that step. It is also
// refused if its step has begun; no rank holds that step then, nor ever will, so a later
// step can be chosen.
func (c *Coordinator) handleRefusedHold(s engine.ExpertState, now time.Time) {
	switch {
	case s.Hold != 0 && s.Loaded == c.target.Version:
		c.commitAt(s.Hold, now)
	case s.Step >= c.step:
		c.hold(s.Step+2*c.leadSteps(), now)
	}
}

// leadSteps returns the number of steps between the most advanced rank and the next
// switch.
func (c *Coordinator) leadSteps() uint64 {
	return min(c.timing.MaxLeadSteps, max(c.timing.LeadSteps, c.leadEstimator.steps()))
}

// heldWaitLimit is how long ranks may be seen to hold a step while no switch is in
// progress: the observation may be older than the end of the latest switch.
const heldWaitLimit = 300 * time.Millisecond

// Observe records the step that the group has begun and whether any rank was seen to hold
// a step. If a rank holds one for longer than the end of a switch explains, for example
// after an order that was carried out late, the group is stopped. The coordinator then
// reads all ranks again to finish what it finds.
func (c *Coordinator) Observe(step uint64, held bool, now time.Time) {
	c.leadEstimator.observe(step, now)
	noHoldExpected := c.stage == StageIdle || c.stage == StagePreparing && c.unarmedStep == 0
	switch {
	case !held || !noHoldExpected:
		c.held = time.Time{}
	case c.held.IsZero():
		c.held = now
	case now.Sub(c.held) >= heldWaitLimit:
		c.held = time.Time{}
		c.enter(StageReading, now)
	}
}

// recover finishes a switch that an earlier coordinator may have begun.
func (c *Coordinator) recover(now time.Time) {
	c.epoch = c.ranks[0].state.Epoch
	for _, r := range c.ranks {
		if r.state.Epoch != c.epoch {
			c.enter(StageReading, now) // the group is being re-formed
			c.postpone(now)
			return
		}
	}
	c.unarmedStep = 0
	for _, r := range c.ranks {
		c.counter = max(c.counter, versionCounter(r.state.Active), versionCounter(r.state.Loaded))
	}
	for _, r := range c.ranks {
		if r.state.Activate != 0 {
			c.target = expertmap.Map{Version: r.state.Loaded}
			c.commitAt(r.state.Activate, now)
			return
		}
	}
	c.recoverHold(now)
}

// recoverHold continues where ranks hold a step and none is armed. Ranks are armed only
// after a rank holds the step, and all have loaded the version before that. So if all
// have loaded the same version, the earlier coordinator may have begun to arm ranks for
// it, and this one arms them all: the step cannot begin meanwhile. Otherwise no rank has
// been or will be armed. The step still is not released: an order to release it that is
// carried out late could release it once more, while a later coordinator relies on it.
func (c *Coordinator) recoverHold(now time.Time) {
	held := uint64(0)
	loaded := c.ranks[0].state.Loaded
	for _, r := range c.ranks {
		c.maxHeldStep = max(c.maxHeldStep, r.state.Hold)
		if r.state.Hold != 0 && held != 0 && r.state.Hold != held && c.timing.LoadWhileHeld {
			loaded = 0 // ranks may have been ordered to use the version from either step on
		}
		if r.state.Hold != 0 && (held == 0 || r.state.Hold < held) {
			held = r.state.Hold
		}
		if r.state.Loaded != loaded {
			loaded = 0
		}
	}
	c.target = expertmap.Map{Version: loaded}
	switch {
	case held == 0:
		c.enter(StageIdle, now)
	case loaded != 0:
		c.commitAt(held, now)
	case c.timing.LoadWhileHeld:
		c.unarmedStep = held
		c.enter(StageHeld, now)
	default:
		c.enter(StageReleasing, now)
	}
}

func (c *Coordinator) latestStep() uint64 {
	step := uint64(0)
	for _, r := range c.ranks {
		step = max(step, r.state.Step)
	}
	return step
}
