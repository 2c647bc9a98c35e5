package mapswitch

import (
	"context"
	"sync"

	"baywall.example/agent/engine"
	"baywall.example/core/expertmap"
	"baywall.example/core/vm"
)

// Phase is the type of an order to a rank.
type Phase int

// Phases, in the order in which a switch goes through them.
const (
	PhaseRead Phase = iota + 1
	PhasePrepare
	PhaseHold
	PhaseCommit
	PhaseRelease
)

// String returns the phase's name.
func (p Phase) String() string {
	return [...]string{"", "read", "prepare", "hold", "commit", "release"}[p]
}

// Order is a coordinator's order to one rank.
type Order struct {
	Phase       Phase
	Fence       uint64
	Incarnation vm.Incarnation // of the member; 0 only with PhaseRead
	Version     uint64
	Step        uint64
	Group       string        // name of the group, "" = any
	Epoch       uint64        // of the group that was read; 0 with PhaseRead
	Map         expertmap.Map // set only with PhasePrepare
}

// Reply is a rank's answer to an Order.
type Reply struct {
	OK          bool
	Superseded  bool // the order's fence, incarnation or epoch is out of date
	BaseUnknown bool // the order's map is based on one that the rank's agent does not have
	Reason      string
	Fence       uint64 // the promised fencing number
	Incarnation vm.Incarnation
	State       engine.ExpertState
}

// Engine is the interface through which a Member controls its rank's engine.
type Engine interface {
	// Experts returns the rank's state after every order sent so far has taken effect or
	// become void, as far as this process knows.
	Experts(ctx context.Context) (engine.ExpertState, error)
	// Observe returns the rank's current state, whatever orders are in progress, with the
	// tokens counted since the last call that requested counts.
	Observe(ctx context.Context, counts bool) (engine.ExpertState, error)
	// Order carries out an order and returns the state after it. An order to load experts
	// only starts loading.
	Order(ctx context.Context, o engine.Order) (engine.ExpertState, error)
	// Loaded waits until the rank has loaded a version, and returns the state at that
	// time.
	Loaded(ctx context.Context, version uint64) (engine.ExpertState, error)
}

// Member is the participant of the switch protocol on one rank. It is safe for concurrent
// use; orders are handled one at a time.
type Member struct {
	mu          sync.Mutex
	engine      Engine
	incarnation vm.Incarnation
	promised    uint64
	prepared    preparation
	recovered   bool
}

// preparation identifies the latest order to load a version.
type preparation struct{ fence, version uint64 }

// NewMember returns a member that refuses every order until Recovered is called.
func NewMember(e Engine, incarnation vm.Incarnation) *Member {
	return &Member{engine: e, incarnation: incarnation}
}

// Recovered allows the member to make promises. It is called once every order that an
// earlier incarnation may have sent has expired.
func (m *Member) Recovered() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.recovered = true
}

// Promised returns the largest fencing number seen.
func (m *Member) Promised() uint64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.promised
}

// Handle carries out an order. While experts are loading, other orders and requests for
// counts are still handled.
func (m *Member) Handle(ctx context.Context, o Order) Reply {
	reply := m.handle(ctx, o)
	if !reply.OK || o.Phase != PhasePrepare || reply.State.Loaded == o.Version {
		return reply
	}
	state, err := m.engine.Loaded(ctx, o.Version)
	m.mu.Lock()
	defer m.mu.Unlock()
	switch {
	case err != nil:
		return m.refuse(err.Error())
	case o.Fence < m.promised:
		return m.refuseSuperseded("a larger fencing number is promised")
	case state.Epoch != o.Epoch:
		return m.refuseSuperseded("the group was formed anew since it was read")
	default:
		return m.accept(state)
	}
}

func (m *Member) handle(ctx context.Context, o Order) Reply {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.recovered {
		return m.refuse("recovering after a restart")
	}
	state, err := m.engine.Experts(ctx)
	if err != nil {
		return m.refuse(err.Error())
	}
	// An engine that checks fencing numbers may have seen a larger one than this
	// incarnation.
	m.promised = max(m.promised, state.Fence)
	if reply, ok := m.checkFence(o); !ok {
		return reply
	}
	if o.Phase != PhaseRead && o.Epoch != state.Epoch {
		return m.refuseSuperseded("the group was formed anew since it was read")
	}
	if o.Group != "" && state.Group != "" && o.Group != state.Group {
		return m.refuse("the rank is in another group")
	}
	m.promised = max(m.promised, o.Fence)
	return m.execute(ctx, o, state)
}

func (m *Member) checkFence(o Order) (Reply, bool) {
	if o.Phase != PhaseRead && o.Incarnation != m.incarnation {
		return m.refuseSuperseded("another incarnation of this member was read"), false
	}
	if o.Phase == PhaseRead && o.Fence >= m.promised {
		return Reply{}, true
	}
	if o.Phase != PhaseRead && o.Fence == m.promised {
		return Reply{}, true
	}
	return m.refuseSuperseded("a larger fencing number is promised"), false
}

func (m *Member) execute(ctx context.Context, o Order, s engine.ExpertState) Reply {
	switch o.Phase {
	case PhaseRead:
		return m.accept(s)
	case PhasePrepare:
		if s.Loaded == o.Version {
			return m.accept(s)
		}
		if m.prepared.fence == o.Fence && o.Version < m.prepared.version {
			return m.refuseWithState(s, "a later version is being loaded")
		}
		m.prepared = preparation{o.Fence, o.Version}
		return m.order(ctx, o, engine.Order{Kind: engine.OrderLoad, Version: o.Version, Map: o.Map.Layers})
	case PhaseHold:
		return m.hold(ctx, o, s)
	case PhaseCommit:
		switch {
		case s.Active == o.Version || s.Activate == o.Step && s.Loaded == o.Version:
			return m.accept(s)
		case s.Step > o.Step:
			return m.refuseWithState(s, "the step has begun")
		case s.Loaded != o.Version:
			return m.refuseWithState(s, "another version is loaded")
		}
		return m.order(ctx, o, engine.Order{Kind: engine.OrderActivate, Version: o.Version, Step: o.Step})
	case PhaseRelease:
		switch {
		case s.Hold == 0:
			return m.accept(s)
		case o.Version != 0 && s.Hold > o.Step:
			return m.accept(s) // not a step of this switch; the next one takes it
		case o.Version == 0 && s.Activate != 0:
			return m.refuseWithState(s, "already committed")
		case o.Version != 0 && s.Activate != o.Step && s.Active != o.Version:
			return m.refuseWithState(s, "not committed")
		}
		return m.order(ctx, o, engine.Order{Kind: engine.OrderRelease, Version: s.Loaded, Step: s.Hold})
	default:
		return m.refuseWithState(s, "unknown phase")
	}
}

// hold orders the rank to hold a step, unless it holds another one already, which the
// switch then takes.
func (m *Member) hold(ctx context.Context, o Order, s engine.ExpertState) Reply {
	switch {
	case s.Loaded == o.Version && (s.Hold == o.Step || s.Activate == o.Step):
		return m.accept(s) // a copy of the order may arrive after the release
	case s.Hold != 0 && s.Hold != o.Step:
		return m.refuseWithState(s, "another step is held")
	case s.Step >= o.Step:
		return m.refuseWithState(s, "the step has begun")
	}
	return m.order(ctx, o, engine.Order{Kind: engine.OrderHold, Version: o.Version, Step: o.Step})
}

// order sends the engine an order that carries out the coordinator's order.
func (m *Member) order(ctx context.Context, by Order, o engine.Order) Reply {
	o.Fence, o.Epoch = by.Fence, by.Epoch
	s, err := m.engine.Order(ctx, o)
	if err != nil {
		return m.refuse(err.Error())
	}
	return m.accept(s)
}

func (m *Member) accept(s engine.ExpertState) Reply {
	return Reply{OK: true, Fence: m.promised, Incarnation: m.incarnation, State: s}
}

func (m *Member) refuse(reason string) Reply {
	return Reply{Reason: reason, Fence: m.promised, Incarnation: m.incarnation}
}

func (m *Member) refuseWithState(s engine.ExpertState, reason string) Reply {
	r := m.refuse(reason)
	r.State = s
	return r
}

func (m *Member) refuseSuperseded(reason string) Reply {
	r := m.refuse(reason)
	r.Superseded = true
	return r
}
