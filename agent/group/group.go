// Package group runs an agent's part in the expert-parallel groups that its VM
// is a rank of: it serves the orders of the group's coordinator and becomes
// coordinator itself when none is heard.
//
// A rank that hears no coordinator for a time, which grows with its rank
// number, takes the lead with a larger fencing number; so normally the lowest
// live rank leads. Two leaders at a time are harmless (package mapswitch). The
// leader collects token counts, smooths them, plans, and switches when the plan
// moves anything.
package group

import (
	"context"
	"sync"
	"time"

	"github.com/rs/zerolog"
	"github.com/sourcegraph/conc"

	"baywall.example/agent/engine"
	"baywall.example/agent/mapswitch"
	"baywall.example/core/expertmap"
	"baywall.example/core/link"
	"baywall.example/core/resource"
	"baywall.example/core/settings"
	"baywall.example/core/timeline"
	"baywall.example/core/vm"
	"baywall.example/core/wait"
	"baywall.example/core/wire"
)

// Timing holds the times of a group's agents. Zero fields get the defaults.
type Timing struct {
	// OrderLifetime is the longest time that an order to an engine may be on
	// its way; a restarted agent waits it out before it promises anything.
	// Default 2.5s.
	OrderLifetime time.Duration
	// NoWait tells that an order that takes effect late does no harm, so a
	// restarted agent need not wait.
	NoWait bool
	// Election is how long rank 0 waits for a coordinator that it has heard
	// before, First for one that it has never heard; each further rank waits
	// Stagger longer. Default 1.5s, Election and 300ms.
	Election, First, Stagger time.Duration
	// Tick drives a coordinator. Default 50ms.
	Tick time.Duration
	// Poll is the time between two of the coordinator's heartbeats. Counts,
	// which are large, are collected once a planning period. Default 500ms.
	Poll time.Duration
	// PollSteps tells that counts are also collected when the group has begun a step
	// and a planning period is over.
	PollSteps bool
	// Switch holds the times of a switch.
	Switch mapswitch.Timing
	// CountsWeight is the weight of the newest counts in the smoothed ones, as long
	// as the demand does not change. Default 0.4.
	CountsWeight float64
	// LeastGain is what a switch must bring, in skew times the seconds for which the
	// demand is expected to last: while experts are copied passes are longer, and a
	// change of demand has to wait. Default 0.
	LeastGain float64
}

// Defaults of Timing.
const (
	defaultOrderLifetime = 2500 * time.Millisecond
	defaultElection      = 1500 * time.Millisecond
	defaultStagger       = 300 * time.Millisecond
	defaultTick          = 50 * time.Millisecond
	defaultPoll          = 500 * time.Millisecond
	defaultCountsWeight  = 0.4
)

func (t *Timing) provision() {
	t.OrderLifetime = settings.Or(t.OrderLifetime, defaultOrderLifetime)
	t.Election = settings.Or(t.Election, defaultElection)
	t.First = settings.Or(t.First, t.Election)
	t.Stagger = settings.Or(t.Stagger, defaultStagger)
	t.Tick = settings.Or(t.Tick, defaultTick)
	t.Poll = settings.Or(t.Poll, defaultPoll)
	t.CountsWeight = settings.Or(t.CountsWeight, defaultCountsWeight)
}

// callTimeout bounds one order to one rank.
const callTimeout = 2 * time.Second

// World tells which groups there are and where their ranks' agents are.
type World interface {
	// Groups returns the groups that this VM may be a rank of, by name. A
	// group's pointer stays the same while the group does.
	Groups() map[string]*resource.Group
	// Intent returns the routing intent of a service.
	Intent(service string) resource.Intent
	// Find returns a rank's VM with the address of its links.
	Find(id vm.ID) vm.VM
}

// Environment is what groups need of their agent.
type Environment struct {
	VM          vm.ID
	Incarnation vm.Incarnation
	Engine      mapswitch.Engine
	Pool        *link.Pool
	World       World
	Recorder    *timeline.Recorder
	Log         zerolog.Logger
	Timing      Timing
}

// Set holds the groups of one agent.
type Set struct {
	env    Environment
	member *mapswitch.Member
	maps   mapCache
	calls  conc.WaitGroup // to other agents

	highest map[string]uint64 // fencing numbers heard by own coordinators

	mu     sync.Mutex
	heard  map[string]contact // with a group's coordinator
	fences map[string]uint64  // the largest heard by group
}

// contact is when a group's coordinator was last heard, or when the group was
// first seen.
type contact struct {
	at    time.Time
	heard bool
}

// NewSet returns the groups of an agent; Run drives them.
func NewSet(env Environment) *Set {
	env.Timing.provision()
	return &Set{
		env:     env,
		member:  mapswitch.NewMember(env.Engine, env.Incarnation),
		heard:   make(map[string]contact),
		fences:  make(map[string]uint64),
		highest: make(map[string]uint64),
	}
}

// Run takes part in the groups until the context ends.
func (s *Set) Run(ctx context.Context) {
	if !s.env.Timing.NoWait && !wait.Sleep(ctx, s.env.Timing.OrderLifetime) {
		return
	}
	s.member.Recovered()
	defer s.calls.Wait()
	for ctx.Err() == nil {
		name, rank, ok := s.ledGroup(time.Now())
		if ok {
			s.lead(ctx, name, rank)
		}
		wait.Sleep(ctx, s.env.Timing.Tick)
	}
}

// ledGroup returns a group of this VM whose coordinator has been silent for
// longer than this rank waits.
func (s *Set) ledGroup(now time.Time) (name string, rank int, ok bool) {
	for name, g := range s.env.World.Groups() {
		rank := s.rankIn(g)
		if rank < 0 {
			continue
		}
		if s.silent(name, rank, now) {
			return name, rank, true
		}
	}
	return "", 0, false
}

// silent reports whether the group's coordinator has been silent for longer than
// this rank waits. One that was never heard need not be waited for as long.
func (s *Set) silent(name string, rank int, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	c, known := s.heard[name]
	if !known {
		c = contact{at: now}
		s.heard[name] = c
	}
	period := s.env.Timing.First
	if c.heard {
		period = s.env.Timing.Election
	}
	return now.Sub(c.at) > period+time.Duration(rank)*s.env.Timing.Stagger
}

func (s *Set) rankIn(g *resource.Group) int {
	for i, id := range g.Ranks {
		if id == s.env.VM {
			return i
		}
	}
	return -1
}

// Handle serves an order of a coordinator.
func (s *Set) Handle(ctx context.Context, w *wire.SwitchOrder) *wire.SwitchReply {
	if w.GetPhase() == wire.SwitchPhase_SWITCH_COUNTS {
		return s.handleCounts(ctx, w)
	}
	s.hearOrder(w)
	o, ok := s.decode(w)
	if !ok {
		return &wire.SwitchReply{Reason: "changes to a map that is not known", BaseUnknown: true, Fence: s.member.Promised()}
	}
	r := s.member.Handle(ctx, o)
	if !r.OK {
		s.env.Log.Info().Str("group", w.GetGroup()).Str("coordinator", w.GetCoordinator()).Str("phase", o.Phase.String()).
			Uint64("version", o.Version).Uint64("step", o.Step).Uint64("fence", o.Fence).Bool("superseded", r.Superseded).
			Str("reason", r.Reason).Msg("switch order refused")
	}
	if r.OK && o.Phase != mapswitch.PhaseRead {
		s.env.Recorder.Record(timeline.Event{
			Kind: timeline.KindSwitch, Group: w.GetGroup(), Subject: w.GetCoordinator(), Choice: o.Phase.String(),
		})
	}
	return replyToWire(r)
}

// hearOrder notes that a group has a coordinator, before the order is carried
// out, as that may take a while. One with an older fence does not count.
func (s *Set) hearOrder(w *wire.SwitchOrder) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if w.GetFence() >= s.fences[w.GetGroup()] {
		s.fences[w.GetGroup()] = w.GetFence()
		s.heard[w.GetGroup()] = contact{at: time.Now(), heard: true}
	}
}

func (s *Set) hear(group string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.heard[group] = contact{at: time.Now(), heard: true}
}

// resume lets this rank, which has coordinated the group so far, lead it again at
// once.
func (s *Set) resume(group string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.heard[group] = contact{}
}

func (s *Set) handleCounts(ctx context.Context, w *wire.SwitchOrder) *wire.SwitchReply {
	if w.GetFence() < s.member.Promised() {
		return &wire.SwitchReply{Superseded: true, Fence: s.member.Promised()}
	}
	state, err := s.env.Engine.Observe(ctx, w.GetCounts())
	if err != nil {
		return &wire.SwitchReply{Reason: err.Error(), Fence: s.member.Promised()}
	}
	s.hear(w.GetGroup())
	out := replyToWire(mapswitch.Reply{OK: true, Fence: s.member.Promised(), Incarnation: s.env.Incarnation, State: state})
	if !w.GetCounts() {
		return out
	}
	out.Counts = encodeCounts(state.Counts)
	out.Map = expertmap.Map{Version: state.Active, Layers: state.ActiveMap}.Wire()
	return out
}

// decode turns a message into an order, and reports whether its map is known.
func (s *Set) decode(w *wire.SwitchOrder) (mapswitch.Order, bool) {
	o := orderFromWire(w)
	if o.Phase != mapswitch.PhasePrepare {
		return o, true
	}
	m, ok := s.maps.resolve(w)
	o.Map = m
	return o, ok
}

func orderFromWire(w *wire.SwitchOrder) mapswitch.Order {
	return mapswitch.Order{
		Phase:       mapswitch.Phase(w.GetPhase()),
		Fence:       w.GetFence(),
		Incarnation: vm.Incarnation(w.GetIncarnation()),
		Version:     w.GetMap().GetVersion(),
		Step:        w.GetStep(),
		Epoch:       w.GetEpoch(),
	}
}

func orderToWire(group string, from vm.ID, o mapswitch.Order) *wire.SwitchOrder {
	m := o.Map
	m.Version = o.Version
	return &wire.SwitchOrder{
		Group: group, Fence: o.Fence, Phase: wire.SwitchPhase(o.Phase), Map: m.Wire(),
		Step: o.Step, Epoch: o.Epoch, Coordinator: string(from), Incarnation: uint64(o.Incarnation),
	}
}

func replyToWire(r mapswitch.Reply) *wire.SwitchReply {
	return &wire.SwitchReply{
		Ok: r.OK, Superseded: r.Superseded, Reason: r.Reason, Fence: r.Fence, Incarnation: uint64(r.Incarnation),
		Step: r.State.Step, Active: r.State.Active, Armed: r.State.Loaded, ArmedStep: r.State.Hold,
		Committed: r.State.Activate, Speed: r.State.Speed, Epoch: r.State.Epoch, Blocked: r.State.Blocked,
		Running: uint32(max(0, r.State.Running)),
	}
}

func replyFromWire(w *wire.SwitchReply) mapswitch.Reply {
	return mapswitch.Reply{
		OK: w.GetOk(), Superseded: w.GetSuperseded(), Reason: w.GetReason(), Fence: w.GetFence(),
		Incarnation: vm.Incarnation(w.GetIncarnation()),
		State: engine.ExpertState{
			Step: w.GetStep(), Active: w.GetActive(), Loaded: w.GetArmed(), Hold: w.GetArmedStep(),
			Activate: w.GetCommitted(), Speed: w.GetSpeed(), Epoch: w.GetEpoch(), Blocked: w.GetBlocked(),
			Running: int(w.GetRunning()),
		},
	}
}
