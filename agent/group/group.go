// Package group runs an agent's part in the expert-parallel groups that its VM is a rank
// of: it handles the orders of the group's coordinator and becomes coordinator itself
// when it receives none.
//
// A rank that hears from no coordinator for a time that grows with its rank number takes
// over with a larger fencing number; the lowest live rank therefore normally coordinates.
// Two coordinators at a time are harmless (package mapswitch). The coordinator collects
// token counts, smooths them, plans, and switches maps when the gain of the plan
// outweighs the cost of its moves.
//
// A coordinator's cost does not grow with its group: it calls up to 16 ranks, which
// forward its orders to the others (tree.go, relay.go), and requests as many counts as
// its share of the VM's link allows (sample.go). Polls (collect.go) and plans (plan.go)
// run in goroutines of their own, so that orders and polls continue meanwhile.
package group

import (
	"context"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/rs/zerolog"
	"github.com/sourcegraph/conc"

	"baywall.example/agent/mapswitch"
	"baywall.example/core/clock"
	"baywall.example/core/expertmap"
	"baywall.example/core/link"
	"baywall.example/core/resource"
	"baywall.example/core/settings"
	"baywall.example/core/timeline"
	"baywall.example/core/vm"
	"baywall.example/core/wait"
	"baywall.example/core/wire"
)

// Timing holds the intervals, timeouts and thresholds of a group's agents. Zero fields
// get the defaults.
type Timing struct {
	// OrderLifetime is the longest time that an order to an engine may be in flight; a
	// restarted agent waits that long before it makes promises. Default 2.5s.
	OrderLifetime time.Duration
	// SkipRecoveryWait lets a restarted agent skip that wait. It is set where an order
	// that takes effect late does no harm, and where Switch.LoadWhileHeld is.
	SkipRecoveryWait bool
	// ElectionTimeout is how long rank 0 waits for a coordinator that it has had contact
	// with, FirstElectionTimeout how long for one that it has never had contact with. Each
	// further rank waits Stagger longer, and each rank after the successors
	// NonSuccessorStagger longer. Defaults 1.5s, ElectionTimeout, 300ms and Stagger.
	ElectionTimeout, FirstElectionTimeout, Stagger, NonSuccessorStagger time.Duration
	// Tick is the interval at which a coordinator processes timeouts. Default 50ms.
	Tick time.Duration
	// Poll is the interval between a coordinator's heartbeats. Counts, which are large,
	// are collected once per planning period. Default 500ms.
	Poll time.Duration
	// PollOnStep lets a poll for counts begin before Poll has passed, once a planning
	// period is over and the group has begun a new step.
	PollOnStep bool
	// Switch configures the timing of switches.
	Switch mapswitch.Timing
	// CountsWeight is the weight of the newest counts in the smoothed ones while the
	// demand does not change. Default 0.4.
	CountsWeight float64
	// MinGain is the gain that a switch must bring, in skew times the seconds for which
	// the demand is expected to last: passes take longer while experts are copied, and a
	// change of demand has to wait. Default 0.
	MinGain float64
	// Link is the speed of this VM's link in bytes per second, of which a coordinator
	// uses a tenth. Default 0: unlimited.
	Link float64
}

// Defaults of Timing.
const (
	defaultOrderLifetime   = 2500 * time.Millisecond
	defaultElectionTimeout = 1500 * time.Millisecond
	defaultStagger         = 300 * time.Millisecond
	defaultTick            = 50 * time.Millisecond
	defaultPoll            = 500 * time.Millisecond
	defaultCountsWeight    = 0.4
)

func (t *Timing) provision() {
	t.OrderLifetime = settings.Or(t.OrderLifetime, defaultOrderLifetime)
	t.ElectionTimeout = settings.Or(t.ElectionTimeout, defaultElectionTimeout)
	t.FirstElectionTimeout = settings.Or(t.FirstElectionTimeout, t.ElectionTimeout)
	t.Stagger = settings.Or(t.Stagger, defaultStagger)
	t.NonSuccessorStagger = settings.Or(t.NonSuccessorStagger, t.Stagger)
	t.Tick = settings.Or(t.Tick, defaultTick)
	t.Poll = settings.Or(t.Poll, defaultPoll)
	t.CountsWeight = settings.Or(t.CountsWeight, defaultCountsWeight)
}

// successorTicks and otherTicks are how many ticks the successors of a coordinator, and
// the other ranks, wait between two checks whether they have to coordinate. Each check
// wakes the process up.
const successorTicks, otherTicks = 2, 8

// callTimeout bounds one order to one rank.
const callTimeout = 2 * time.Second

// Directory provides the groups and the addresses of their ranks' agents.
type Directory interface {
	// Groups returns the groups that this VM may be a rank of, by name. A group's pointer
	// stays the same as long as the group is not re-formed.
	Groups() map[string]*resource.Group
	// Intent returns the routing intent of a service.
	Intent(service string) resource.Intent
	// Find returns a rank's VM with its link address.
	Find(id vm.ID) vm.VM
	// LearnShape stores the shape of a group's engines as its coordinator reports it.
	LearnShape(shape expertmap.Shape)
}

// Environment holds the dependencies of a Set.
type Environment struct {
	VM          vm.ID
	Incarnation vm.Incarnation
	Engine      mapswitch.Engine
	Pool        *link.Pool
	Directory   Directory
	Recorder    *timeline.Recorder
	Log         zerolog.Logger
	Timing      Timing
	// InitialMap returns the map that engines of a shape begin with. It is nil if that
	// map is not known; the coordinator then requests it from the ranks.
	InitialMap func(expertmap.Shape) expertmap.Map
	// RequestHold requests other VMs, which have no rank, to order the rank of a VM to
	// hold a step in an epoch. It is nil if there are no such VMs.
	RequestHold func(rank vm.VM, epoch, step uint64)
	// MapMismatches counts the maps whose content on this rank was not what was ordered.
	// Default a counter that no metrics address serves.
	MapMismatches *metrics.Counter
}

// Set holds the groups of one agent.
type Set struct {
	env     Environment
	member  *mapswitch.Member
	maps    mapCache
	targets targetCache
	orders  orderLog
	calls   conc.WaitGroup // to other agents

	observedFences map[string]uint64 // highest fencing numbers seen by this agent's coordinators
	demands        map[string]demand // of the groups that this rank coordinated

	mu             sync.Mutex
	contacted      map[string]contact // with the coordinator, by group
	receivedFences map[string]uint64  // highest fencing numbers received, by group
}

// contact records when the group's coordinator was last heard from, or, if it never was,
// when the group was first seen.
type contact struct {
	at        time.Time
	contacted bool            // there was contact with a coordinator
	spec      *resource.Group // the group as last seen
}

// NewSet returns the groups of an agent; Run starts them.
func NewSet(env Environment) *Set {
	env.Timing.provision()
	if env.MapMismatches == nil {
		env.MapMismatches = &metrics.Counter{}
	}
	return &Set{
		env:            env,
		member:         mapswitch.NewMember(env.Engine, env.Incarnation),
		contacted:      make(map[string]contact),
		receivedFences: make(map[string]uint64),
		observedFences: make(map[string]uint64),
		demands:        make(map[string]demand),
	}
}

// Run participates in the groups until the context ends.
func (s *Set) Run(ctx context.Context) {
	if !s.env.Timing.SkipRecoveryWait && !wait.Sleep(ctx, s.env.Timing.OrderLifetime) {
		return
	}
	s.member.Recovered()
	defer s.calls.Wait()
	for ctx.Err() == nil {
		name, rank, ok := s.groupToCoordinate(clock.Now())
		if ok {
			s.coordinate(ctx, name, rank)
		}
		wait.Sleep(ctx, s.electionCheckInterval())
	}
}

// Formed records that this rank has just seen its group being formed: nobody coordinates
// the group yet, so there is no coordinator to wait for.
func (s *Set) Formed(group string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.contacted[group] = contact{at: clock.Now().Add(-s.env.Timing.FirstElectionTimeout)}
}

// electionCheckInterval returns how often a rank that does not coordinate checks whether
// it has to. The interval is longer for ranks that are no successors.
func (s *Set) electionCheckInterval() time.Duration {
	for _, g := range s.env.Directory.Groups() {
		if s.rankIn(g) < Successors {
			return successorTicks * s.env.Timing.Tick
		}
		return otherTicks * s.env.Timing.Tick
	}
	return successorTicks * s.env.Timing.Tick // a group may be formed at any time
}

// groupToCoordinate returns a group of this VM whose coordinator has been silent for
// longer than this rank's election timeout.
func (s *Set) groupToCoordinate(now time.Time) (name string, rank int, ok bool) {
	for name, g := range s.env.Directory.Groups() {
		rank := s.rankIn(g)
		if rank < 0 {
			continue
		}
		if s.electionDue(name, g, rank, now) {
			return name, rank, true
		}
	}
	return "", 0, false
}

// electionDue reports whether the group's coordinator has been silent for longer than this
// rank's election timeout, which is shorter if the rank never had contact with one.
func (s *Set) electionDue(name string, g *resource.Group, rank int, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	c, known := s.contacted[name]
	switch {
	case !known:
		c = contact{at: now}
	case c.spec != g && c.contacted && now.Sub(c.at) > s.env.Timing.ElectionTimeout:
		// The group was re-formed, and all ranks see that at the same moment: their
		// election timeouts start now. With six coordinators at once the first map came
		// 0.1 s later.
		c = contact{at: now}
	}
	c.spec = g
	s.contacted[name] = c
	period := s.env.Timing.FirstElectionTimeout
	if c.contacted {
		period = s.env.Timing.ElectionTimeout
	}
	return now.Sub(c.at) > period+s.electionDelay(rank)
}

// Successors is the number of ranks that are the first to take over a group, in rank order.
// The others take over only when all of these are silent.
const Successors = 4

// electionDelay returns how much longer than rank 0 a rank waits for a coordinator.
func (s *Set) electionDelay(rank int) time.Duration {
	late := max(0, rank-Successors)
	return time.Duration(rank-late)*s.env.Timing.Stagger + time.Duration(late)*s.env.Timing.NonSuccessorStagger
}

// LastContact returns when the coordinator of a group was last heard from, or the zero
// time if it never was.
func (s *Set) LastContact(group string) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	if c := s.contacted[group]; c.contacted {
		return c.at
	}
	return time.Time{}
}

func (s *Set) rankIn(g *resource.Group) int {
	for i, id := range g.Ranks {
		if id == s.env.VM {
			return i
		}
	}
	return -1
}

// Handle carries out a coordinator's order.
func (s *Set) Handle(ctx context.Context, w *wire.SwitchOrder) *wire.SwitchReply {
	if w.GetShape() != nil && w.GetFence() >= s.member.Promised() {
		s.env.Directory.LearnShape(shapeFromWire(w.GetShape()))
	}
	if w.GetPhase() == wire.SwitchPhase_SWITCH_COUNTS {
		return s.handleCounts(ctx, w)
	}
	s.recordOrder(w)
	o, ok := s.decode(w)
	if !ok {
		if base := w.GetChanges().GetBase(); base != 0 && base == s.maps.version(w.GetGroup()) {
			s.env.MapMismatches.Inc()
		}
		r := mapswitch.Reply{Reason: "changes to a map that is not known", BaseUnknown: true, Fence: s.member.Promised()}
		s.logOrder(w, o, r)
		return &wire.SwitchReply{Reason: r.Reason, BaseUnknown: r.BaseUnknown, Fence: r.Fence}
	}
	r := s.member.Handle(ctx, o)
	s.logOrder(w, o, r)
	if r.OK && o.Phase == mapswitch.PhasePrepare {
		s.maps.store(w.GetGroup(), o.Map)
	}
	if r.OK && o.Phase != mapswitch.PhaseRead {
		s.env.Recorder.Record(timeline.Event{
			Kind: timeline.KindMapSwitch, Group: w.GetGroup(), Subject: w.GetCoordinator(), Choice: o.Phase.String(),
		})
	}
	out := replyToWire(r)
	out.Cached = s.maps.version(w.GetGroup())
	return out
}

// recordOrder records contact with a group's coordinator. It is called before the order
// is carried out, as that may take a while. An order with an older fence does not count.
func (s *Set) recordOrder(w *wire.SwitchOrder) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if w.GetFence() >= s.receivedFences[w.GetGroup()] {
		s.receivedFences[w.GetGroup()] = w.GetFence()
		s.recordContactLocked(w.GetGroup())
	}
}

// recordContactLocked records contact with the group's coordinator. The caller holds the
// lock.
func (s *Set) recordContactLocked(group string) {
	s.contacted[group] = contact{at: clock.Now(), contacted: true, spec: s.contacted[group].spec}
}

func (s *Set) recordContact(group string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.recordContactLocked(group)
}

// resumeCoordination lets this rank, which coordinated the group until now, coordinate it
// again at once.
func (s *Set) resumeCoordination(group string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.contacted[group] = contact{}
}

func (s *Set) handleCounts(ctx context.Context, w *wire.SwitchOrder) *wire.SwitchReply {
	if w.GetFence() < s.member.Promised() {
		return &wire.SwitchReply{Superseded: true, Fence: s.member.Promised()}
	}
	s.recordContact(w.GetGroup())
	state, err := s.env.Engine.Observe(ctx, w.GetCounts() || w.GetMark() || w.GetPlacement())
	if err != nil {
		return &wire.SwitchReply{Reason: err.Error()}
	}
	out := replyToWire(mapswitch.Reply{OK: true, State: state})
	if w.GetCounts() {
		out.Counts = encodeCounts(state.Counts)
	}
	if w.GetPlacement() {
		own := s.ownPlacement(w.GetGroup(), state.ActiveMap, int(w.GetShape().GetSlots()))
		out.Map = expertmap.Map{Version: state.Active, Layers: own}.Wire()
	}
	return out
}

// ownPlacement returns this rank's experts of the map in use. The engine may report the
// slots of all ranks.
func (s *Set) ownPlacement(group string, layers [][]int32, slots int) [][]int32 {
	g := s.env.Directory.Groups()[group]
	if g == nil {
		return layers
	}
	at := slots * s.rankIn(g)
	out := make([][]int32, len(layers))
	for l, row := range layers {
		out[l] = row
		if at >= 0 && len(row) > slots && at+slots <= len(row) {
			out[l] = row[at : at+slots]
		}
	}
	return out
}
