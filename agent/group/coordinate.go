package group

import (
	"context"
	"fmt"
	"time"

	"baywall.example/agent/mapswitch"
	"baywall.example/core/clock"
	"baywall.example/core/expertmap"
	"baywall.example/core/resource"
	"baywall.example/core/timeline"
)

// leadership is the state of this rank while it coordinates one group.
type leadership struct {
	set          *Set
	name         string
	rank         int
	spec         resource.Group
	chunks       [][]int // the other ranks, grouped by the rank that forwards orders to them
	failedRelays relayFailures
	relays       relayTable
	coord        *mapswitch.Coordinator
	answers      chan answer
	maps         maps
	demand       *expertmap.Demand
	lifetime     *expertmap.DemandLifetime

	budget   budget
	rotation rotation
	polls    chan pollResult
	polling  bool
	lastPoll time.Time
	lastPlan time.Time
	plans    chan plan
	planning bool
	// placement is set while the map in use is unknown and has to be requested.
	placement bool
	step      uint64 // step of the group at the latest poll

	lastLogged     time.Time // when the group's state was last logged
	lastLoggedStep uint64    // the group's step at that time
	baseLogged     bool      // loggedBase is set
	loggedBase     uint64    // version of the map in use that was last logged
}

// answer is one rank's reply to one order.
type answer struct {
	rank  int
	order mapswitch.Order
	reply mapswitch.Reply
}

// coordinate drives the group until another coordinator supersedes this one, the group's
// resource changes, or the context ends.
func (s *Set) coordinate(ctx context.Context, name string, rank int) {
	spec := s.env.Directory.Groups()[name]
	if spec == nil {
		return
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	l := s.newLeadership(name, rank, spec)
	l.record(timeline.KindCoordinator, "coordinate", fmt.Sprintf("no coordinator heard; fence %d", l.coord.Fence()))
	ticker := time.NewTicker(s.env.Timing.Tick)
	defer ticker.Stop()
	stage := l.coord.Stage()
	for l.coord.Stage() != mapswitch.StageSuperseded && s.env.Directory.Groups()[name] == spec {
		select {
		case <-ctx.Done():
			return
		case a := <-l.answers:
			l.send(ctx, l.coord.Receive(a.rank, a.order, a.reply, clock.Now()))
		case c := <-l.polls:
			l.polling = false
			l.handlePoll(c, clock.Now())
		case p := <-l.plans:
			l.planning = false
			l.propose(p, clock.Now())
			l.send(ctx, l.coord.Tick(clock.Now()))
		case <-ticker.C:
			now := clock.Now()
			l.send(ctx, l.coord.Tick(now))
			l.poll(ctx, now)
		}
		if l.coord.Stage() != stage {
			stage = l.coord.Stage()
			l.record(timeline.KindMapSwitch, stage.String(), fmt.Sprintf("step %d", l.coord.Step()))
		}
	}
	s.observedFences[name] = l.coord.HighestFence()
	if l.coord.Stage() == mapswitch.StageSuperseded {
		s.recordContact(name)
		return
	}
	s.resumeCoordination(name) // the group was re-formed
}

func (s *Set) newLeadership(name string, rank int, spec *resource.Group) *leadership {
	now := clock.Now()
	ranks := len(spec.Ranks)
	fence := mapswitch.NextFence(max(s.observedFences[name], s.member.Promised()), rank, s.env.Incarnation, time.Now())
	known := s.demandOf(name, shapeOf(spec), now)
	l := &leadership{
		set: s, name: name, rank: rank, spec: *spec, chunks: chunks(ranks, rank),
		coord:   mapswitch.NewCoordinator(ranks, fence, s.env.Timing.Switch, now),
		answers: make(chan answer, 4*ranks), polls: make(chan pollResult, 1), plans: make(chan plan, 1),
		demand: known.estimate, lifetime: known.lifetime,
		budget: newBudget(s.env.Timing.Link, ranks, spec.Layers, spec.Experts), lastPlan: now,
	}
	if received := s.maps.latest(name); received.Validate(shapeOf(spec)) == nil {
		l.maps.add(received) // in the slots in which the other ranks have it, too
	}
	return l
}

func shapeOf(g *resource.Group) expertmap.Shape {
	return expertmap.Shape{Ranks: len(g.Ranks), Slots: g.SlotsPerRank, Layers: g.Layers, Experts: g.Experts}
}

func (l *leadership) record(kind timeline.Kind, choice, reason string) {
	l.set.env.Recorder.Record(timeline.Event{Kind: kind, Group: l.name, Choice: choice, Reason: reason})
}

// poll sends the heartbeat that keeps the ranks from electing another coordinator. Once
// the planning period is over, it also collects counts for a new map. It does so during a
// switch, too: a change of demand is then known when the switch ends, and a map that is
// only being prepared is replaced.
func (l *leadership) poll(ctx context.Context, now time.Time) {
	if l.polling || l.coord.Stage() == mapswitch.StageReading {
		return
	}
	passed := now.Sub(l.lastPoll)
	due := now.Sub(l.lastPlan) >= l.set.env.Directory.Intent(l.spec.Service).PeriodMS.Duration()
	if passed < l.budget.minInterval(l.set.env.Timing.ElectionTimeout) {
		return
	}
	if passed < l.set.env.Timing.Poll && !(due && l.newStepBegan(ctx)) {
		return
	}
	l.polling, l.lastPoll = true, now
	req := pollRequest{placement: l.placement}
	if due {
		req.counts = true
		req.reporting, req.marked = l.rotation.take(l.budget.chunks(passed, len(l.chunks)), len(l.chunks))
	}
	l.set.calls.Go(func() { l.polls <- l.collect(ctx, req) })
}

// handlePoll processes the result of a poll.
func (l *leadership) handlePoll(c pollResult, now time.Time) {
	if !c.enough() {
		l.set.env.Log.Info().Str("group", l.name).Int("answered", c.answered).
			Dur("took", c.took).Msg("poll without a result")
		return
	}
	l.step = c.step
	l.coord.Observe(c.step, c.held, now)
	changed := 0
	if c.request.counts && c.counted > 0 {
		l.lastPlan = now
		if changed = l.demand.Add(c.counts); changed > 0 {
			l.lifetime.Changed(now)
		}
	}
	if c.mixed {
		return // a switch is taking effect
	}
	current, known := l.currentMap(&c)
	if !known {
		return
	}
	stage := l.coord.Stage()
	if l.coord.Stopped() {
		if stage == mapswitch.StageHeld {
			l.coord.Propose(current, now) // no rank has to copy anything for it
		}
		return
	}
	if c.counted == 0 && l.demand.Empty() || !l.coord.InEffect(c.active) {
		return
	}
	l.logState(c, current, now)
	if stage == mapswitch.StageIdle || stage == mapswitch.StagePreparing && changed > 0 {
		l.beginPlan(c, current, now)
	}
}

// currentMap returns the map in use, and whether it is known. A map that this coordinator
// did not order itself is assembled from the experts that all ranks report.
func (l *leadership) currentMap(c *pollResult) (expertmap.Map, bool) {
	if m, ok := l.maps.get(c.active); ok {
		l.placement = false
		l.logBaseMap(m, mapSent)
		return m, true
	}
	if c.active == initialVersion && l.set.env.InitialMap != nil {
		return l.initialMap()
	}
	l.placement = true
	if !c.request.placement {
		return expertmap.Map{}, false
	}
	m, ok := c.compose(shapeOf(&l.spec))
	if ok {
		l.maps.add(m)
		l.placement = false
		l.logBaseMap(m, mapAssembled)
	}
	return m, ok
}

// initialVersion is the version of the map that engines begin with.
const initialVersion = 0

// initialMap returns the map that engines begin with. Requesting it from the ranks would
// take two polls, 0.2 s in a group of 63 ranks.
func (l *leadership) initialMap() (expertmap.Map, bool) {
	shape := shapeOf(&l.spec)
	m := l.set.env.InitialMap(shape)
	if err := m.Validate(shape); err != nil {
		l.set.env.Log.Error().Err(err).Str("group", l.name).Msg("initial map not known")
		return expertmap.Map{}, false
	}
	l.maps.add(m)
	l.logBaseMap(m, mapInitial)
	return m, true
}

// stateLogInterval is the minimum interval at which the group's state is logged.
const stateLogInterval = time.Second

// logState logs the state of the group: the length of its steps, its batch size, how
// evenly the map in use spreads the present demand, and the slowest rank.
func (l *leadership) logState(poll pollResult, current expertmap.Map, now time.Time) {
	passed := now.Sub(l.lastLogged)
	if passed < stateLogInterval || poll.step <= l.lastLoggedStep {
		return
	}
	steps := poll.step - l.lastLoggedStep
	slowest := 0
	for rank, speed := range poll.speeds {
		if speed > 0 && (poll.speeds[slowest] <= 0 || speed < poll.speeds[slowest]) {
			slowest = rank
		}
	}
	if l.lastLoggedStep > 0 {
		l.set.env.Log.Info().Str("group", l.name).Uint64("step", poll.step).Uint64("steps", steps).
			Dur("step_length", passed/time.Duration(steps)).Float64("batch", poll.running).
			Float64("skew", expertmap.Skew(current, l.demand.Counts(), l.spec.SlotsPerRank, poll.speeds)).
			Int("counted", poll.counted).Dur("poll", poll.took).Int("slowest_rank", slowest).Float64("slowest_speed", poll.speeds[slowest]).
			Str("stage", l.coord.Stage().String()).Msg("group state")
	}
	l.lastLogged, l.lastLoggedStep = now, poll.step
}

// observeTimeout bounds a query of the rank's own engine, which answers in a few
// milliseconds. The coordinator processes nothing else meanwhile.
const observeTimeout = 100 * time.Millisecond

// newStepBegan reports whether this rank has begun another step since the latest poll, if
// new steps trigger polls: counts that are collected within one step seldom mix two
// demands.
func (l *leadership) newStepBegan(ctx context.Context) bool {
	if !l.set.env.Timing.PollOnStep {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, observeTimeout)
	defer cancel()
	state, err := l.set.env.Engine.Observe(ctx, false)
	return err == nil && state.Step != l.step // after an error, the next tick queries it again
}
