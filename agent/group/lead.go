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

// leadership is the time during which this rank coordinates one group.
type leadership struct {
	set        *Set
	name       string
	rank       int
	spec       resource.Group
	chunks     [][]int // the other ranks, by who passes orders on to them
	distrusted distrust
	relays     relayTable
	coord      *mapswitch.Coordinator
	answers    chan answer
	maps       maps
	demand     *expertmap.Demand
	life       *expertmap.Lifetime

	budget   budget
	rotation rotation
	polls    chan collection
	polling  bool
	polled   time.Time
	planned  time.Time
	plans    chan plan
	planning bool
	// placement tells that the map in use is not known, and is asked for.
	placement bool
	step      uint64 // of the group, when it was polled

	described     time.Time // when its state was last logged
	describedStep uint64    // its step then
}

// answer is one rank's reply to one order.
type answer struct {
	rank  int
	order mapswitch.Order
	reply mapswitch.Reply
}

// lead coordinates the group until another coordinator supersedes this one,
// the group's resource changes, or the context ends.
func (s *Set) lead(ctx context.Context, name string, rank int) {
	spec := s.env.World.Groups()[name]
	if spec == nil {
		return
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	l := s.newLeadership(name, rank, spec)
	l.record(timeline.KindLead, "coordinate", fmt.Sprintf("no coordinator heard; fence %d", l.coord.Fence()))
	ticker := time.NewTicker(s.env.Timing.Tick)
	defer ticker.Stop()
	stage := l.coord.Stage()
	for l.coord.Stage() != mapswitch.StageSuperseded && s.env.World.Groups()[name] == spec {
		select {
		case <-ctx.Done():
			return
		case a := <-l.answers:
			l.send(ctx, l.coord.Receive(a.rank, a.order, a.reply, clock.Now()))
		case c := <-l.polls:
			l.polling = false
			l.take(c, clock.Now())
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
			l.record(timeline.KindSwitch, stage.String(), fmt.Sprintf("step %d", l.coord.Step()))
		}
	}
	s.highest[name] = l.coord.HighestFence()
	if l.coord.Stage() == mapswitch.StageSuperseded {
		s.hear(name)
		return
	}
	s.resume(name) // the group was formed anew
}

func (s *Set) newLeadership(name string, rank int, spec *resource.Group) *leadership {
	now := clock.Now()
	ranks := len(spec.Ranks)
	fence := mapswitch.NextFence(max(s.highest[name], s.member.Promised()), rank, time.Now())
	known := s.demandOf(name, shapeOf(spec), now)
	return &leadership{
		set: s, name: name, rank: rank, spec: *spec, chunks: chunks(ranks, rank),
		coord:   mapswitch.NewCoordinator(ranks, fence, s.env.Timing.Switch, now),
		answers: make(chan answer, 4*ranks), polls: make(chan collection, 1), plans: make(chan plan, 1),
		demand: known.estimate, life: known.life,
		budget: newBudget(s.env.Timing.Link, ranks, spec.Layers, spec.Experts), planned: now,
	}
}

func shapeOf(g *resource.Group) expertmap.Shape {
	return expertmap.Shape{Ranks: len(g.Ranks), Slots: g.SlotsPerRank, Layers: g.Layers, Experts: g.Experts}
}

func (l *leadership) record(kind timeline.Kind, choice, reason string) {
	l.set.env.Recorder.Record(timeline.Event{Kind: kind, Group: l.name, Choice: choice, Reason: reason})
}

// poll keeps the ranks from electing another coordinator and, once the period is
// over, collects counts for a new map. It also does so while a switch is under way: a
// change of demand is then known by its end, and if a map is only being prepared, another
// one is prepared instead.
func (l *leadership) poll(ctx context.Context, now time.Time) {
	if l.polling || l.coord.Stage() == mapswitch.StageReading {
		return
	}
	passed := now.Sub(l.polled)
	due := now.Sub(l.planned) >= l.set.env.World.Intent(l.spec.Service).PeriodMS.Duration()
	if passed < l.budget.gap(l.set.env.Timing.Election) {
		return
	}
	if passed < l.set.env.Timing.Poll && !(due && l.stepped(ctx)) {
		return
	}
	l.polling, l.polled = true, now
	ask := survey{placement: l.placement}
	if due {
		ask.counts = true
		ask.told, ask.marked = l.rotation.take(l.budget.chunks(passed, len(l.chunks)), len(l.chunks))
	}
	l.set.calls.Go(func() { l.polls <- l.collect(ctx, ask) })
}

// take draws the conclusions from a poll.
func (l *leadership) take(c collection, now time.Time) {
	if !c.enough() {
		l.set.env.Log.Info().Str("group", l.name).Int("answered", c.answered).
			Dur("took", c.took).Msg("poll without a result")
		return
	}
	l.step = c.step
	l.coord.Observe(c.step, c.held, now)
	changed := 0
	if c.asked.counts && c.counted > 0 {
		l.planned = now
		if changed = l.demand.Add(c.counts); changed > 0 {
			l.life.Changed(now)
		}
	}
	if c.mixed {
		return // a switch takes effect just now
	}
	current, known := l.currentMap(&c)
	if !known || c.counted == 0 && l.demand.Empty() || !l.coord.InEffect(c.active) {
		return
	}
	l.describe(c, current, now)
	stage := l.coord.Stage()
	if stage == mapswitch.StageIdle || stage == mapswitch.StagePreparing && changed > 0 {
		l.beginPlan(c, current, now)
	}
}

// currentMap returns the map in use, and whether it is known. One that this
// coordinator has not ordered itself is put together from what all ranks hold.
func (l *leadership) currentMap(c *collection) (expertmap.Map, bool) {
	if m, ok := l.maps.get(c.active); ok {
		l.placement = false
		return m, true
	}
	if c.active == initialVersion && l.set.env.InitialMap != nil {
		return l.initialMap()
	}
	l.placement = true
	if !c.asked.placement {
		return expertmap.Map{}, false
	}
	m, ok := c.compose(shapeOf(&l.spec))
	if ok {
		l.maps.add(m)
		l.placement = false
	}
	return m, ok
}

// initialVersion is the version of the map that engines begin with.
const initialVersion = 0

// initialMap returns the map that engines begin with. It need not be asked for, which
// takes two polls, 0.2 s in a group of 63 ranks.
func (l *leadership) initialMap() (expertmap.Map, bool) {
	shape := shapeOf(&l.spec)
	m := l.set.env.InitialMap(shape)
	if err := m.Validate(shape); err != nil {
		l.set.env.Log.Error().Err(err).Str("group", l.name).Msg("initial map not known")
		return expertmap.Map{}, false
	}
	l.maps.add(m)
	return m, true
}

// describeInterval is how often the state of the group is logged.
const describeInterval = time.Second

// describe logs how the group does: the length of its steps, its batch, how even the
// map in use spreads the present demand, and the slowest rank.
func (l *leadership) describe(poll collection, current expertmap.Map, now time.Time) {
	passed := now.Sub(l.described)
	if passed < describeInterval || poll.step <= l.describedStep {
		return
	}
	steps := poll.step - l.describedStep
	slowest := 0
	for rank, speed := range poll.speeds {
		if speed > 0 && (poll.speeds[slowest] <= 0 || speed < poll.speeds[slowest]) {
			slowest = rank
		}
	}
	if l.describedStep > 0 {
		l.set.env.Log.Info().Str("group", l.name).Uint64("step", poll.step).Uint64("steps", steps).
			Dur("step_length", passed/time.Duration(steps)).Float64("batch", poll.running).
			Float64("skew", expertmap.Skew(current, l.demand.Counts(), l.spec.SlotsPerRank, poll.speeds)).
			Int("counted", poll.counted).Dur("poll", poll.took).Int("slowest_rank", slowest).Float64("slowest_speed", poll.speeds[slowest]).
			Str("stage", l.coord.Stage().String()).Msg("group state")
	}
	l.described, l.describedStep = now, poll.step
}

// lookTimeout bounds a look at the own engine, which answers in a few milliseconds: the
// group has no other coordinator meanwhile.
const lookTimeout = 100 * time.Millisecond

// stepped reports whether this rank has begun another step since the group was
// polled, where that is to be noticed: what is counted in one step is seldom of two
// demands.
func (l *leadership) stepped(ctx context.Context) bool {
	if !l.set.env.Timing.PollSteps {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, lookTimeout)
	defer cancel()
	state, err := l.set.env.Engine.Observe(ctx, false)
	return err == nil && state.Step != l.step // without an answer it is asked with the next tick
}
