package group

import (
	"baywall.example/agent/engine"
	"baywall.example/agent/mapswitch"
	"baywall.example/core/expertmap"
	"baywall.example/core/vm"
	"baywall.example/core/wire"
)

// decode turns a message into an order, and reports whether its map could be decoded.
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
		Group:       w.GetGroup(),
		Epoch:       w.GetEpoch(),
	}
}

// orderToWire returns the message of an order, without the map's layers.
func orderToWire(group string, from vm.ID, o mapswitch.Order) *wire.SwitchOrder {
	return &wire.SwitchOrder{
		Group: group, Fence: o.Fence, Phase: wire.SwitchPhase(o.Phase), Map: &wire.ExpertMap{Version: o.Version},
		Step: o.Step, Epoch: o.Epoch, Coordinator: string(from), Incarnation: uint64(o.Incarnation),
	}
}

// withIncarnation returns a copy of the order with the receiver's incarnation. The copy
// shares the fields that are references.
func withIncarnation(w *wire.SwitchOrder, incarnation uint64) *wire.SwitchOrder {
	return &wire.SwitchOrder{
		Group: w.GetGroup(), Fence: w.GetFence(), Phase: w.GetPhase(), Map: w.GetMap(), Step: w.GetStep(),
		Epoch: w.GetEpoch(), Coordinator: w.GetCoordinator(), Incarnation: incarnation, Counts: w.GetCounts(),
		Changes: w.GetChanges(), PackedMap: w.GetPackedMap(), Shape: w.GetShape(), Placement: w.GetPlacement(), Mark: w.GetMark(),
	}
}

func shapeToWire(s expertmap.Shape) *wire.EngineShape {
	return &wire.EngineShape{Layers: uint32(s.Layers), Experts: uint32(s.Experts), Slots: uint32(s.Slots)}
}

// shapeFromWire returns the shape without the number of ranks, which is not transmitted.
func shapeFromWire(w *wire.EngineShape) expertmap.Shape {
	return expertmap.Shape{Layers: int(w.GetLayers()), Experts: int(w.GetExperts()), Slots: int(w.GetSlots())}
}

func replyToWire(r mapswitch.Reply) *wire.SwitchReply {
	speed := r.State.Speed
	if speed == 1 {
		speed = 0 // normal speed is sent like an unknown one
	}
	return &wire.SwitchReply{
		Ok: r.OK, Superseded: r.Superseded, Reason: r.Reason, Fence: r.Fence, Incarnation: uint64(r.Incarnation),
		Step: r.State.Step, Active: r.State.Active, Armed: r.State.Loaded, ArmedStep: r.State.Hold,
		Committed: r.State.Activate, Speed: speed, Epoch: r.State.Epoch,
		Running: uint32(max(0, r.State.Running)),
	}
}

func replyFromWire(w *wire.SwitchReply) mapswitch.Reply {
	return mapswitch.Reply{
		OK: w.GetOk(), Superseded: w.GetSuperseded(), Reason: w.GetReason(), Fence: w.GetFence(),
		Incarnation: vm.Incarnation(w.GetIncarnation()), BaseUnknown: w.GetBaseUnknown(),
		State: engine.ExpertState{
			Step: w.GetStep(), Active: w.GetActive(), Loaded: w.GetArmed(), Hold: w.GetArmedStep(),
			Activate: w.GetCommitted(), Speed: w.GetSpeed(), Epoch: w.GetEpoch(),
			Running: int(w.GetRunning()),
		},
	}
}
