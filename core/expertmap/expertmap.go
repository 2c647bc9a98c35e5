package expertmap

import (
	"github.com/rotisserie/eris"

	"baywall.example/core/vm"
	"baywall.example/core/wire"
)

// Empty marks a slot that holds no expert.
const Empty int32 = -1

// Errors of the planner.
var (
	// ErrTooFewSlots means that the ranks cannot hold every expert once.
	ErrTooFewSlots = eris.New("expertmap: fewer slots than experts")
	// ErrShape means that the counts or the map do not fit the group.
	ErrShape = eris.New("expertmap: counts or map do not fit the group's shape")
)

// Shape is the size of a group.
type Shape struct {
	Ranks, Slots, Layers, Experts int // Slots are per rank and layer
}

// Map places experts. Layers[l][r*slots+s] is the expert in slot s of rank r.
type Map struct {
	Version uint64
	Layers  [][]int32
}

// Clone returns a deep copy.
func (m Map) Clone() Map {
	out := Map{Version: m.Version, Layers: make([][]int32, len(m.Layers))}
	for l := range m.Layers {
		out.Layers[l] = append([]int32(nil), m.Layers[l]...)
	}
	return out
}

// Initial returns the map of a group without any counts yet: experts in order, then
// replicas of the first ones, spread over the ranks.
func Initial(s Shape) (Map, error) {
	if s.Ranks*s.Slots < s.Experts {
		return Map{}, eris.Wrapf(ErrTooFewSlots, "%d ranks with %d slots for %d experts", s.Ranks, s.Slots, s.Experts)
	}
	m := Map{Layers: make([][]int32, s.Layers)}
	for l := range m.Layers {
		slots := make([]int32, s.Ranks*s.Slots)
		for i := range slots {
			rank, slot := i%s.Ranks, i/s.Ranks
			expert := i
			if i >= s.Experts {
				expert = SpareExpert(i-s.Experts, s)
			}
			slots[rank*s.Slots+slot] = int32(expert)
		}
		m.Layers[l] = slots
	}
	return m, nil
}

// RoundRobin returns the map that holds each expert once, assigned to the ranks
// round-robin.
// Spare slots are empty.
func RoundRobin(s Shape) Map {
	m := Map{Layers: make([][]int32, s.Layers)}
	for l := range m.Layers {
		slots := make([]int32, s.Ranks*s.Slots)
		for i := range slots {
			slots[i] = Empty
		}
		for expert := range min(s.Experts, len(slots)) {
			rank, slot := expert%s.Ranks, expert/s.Ranks
			slots[rank*s.Slots+slot] = int32(expert)
		}
		m.Layers[l] = slots
	}
	return m
}

// SpareExpert returns the expert of the n-th spare slot of an initial map.
func SpareExpert(n int, s Shape) int { return (n + s.Ranks/2) % s.Experts }

// Validate checks that the map has the shape and places every expert in every layer.
func (m Map) Validate(s Shape) error {
	if len(m.Layers) != s.Layers {
		return eris.Wrapf(ErrShape, "%d layers, want %d", len(m.Layers), s.Layers)
	}
	for l, slots := range m.Layers {
		if len(slots) != s.Ranks*s.Slots {
			return eris.Wrapf(ErrShape, "layer %d: %d slots, want %d", l, len(slots), s.Ranks*s.Slots)
		}
		placed := make([]bool, s.Experts)
		for _, e := range slots {
			if e < Empty || int(e) >= s.Experts {
				return eris.Wrapf(ErrShape, "layer %d: invalid expert %d, the layer has %d", l, e, s.Experts)
			}
			if e != Empty {
				placed[e] = true
			}
		}
		for e, ok := range placed {
			if !ok {
				return eris.Wrapf(ErrShape, "layer %d: expert %d is not placed", l, e)
			}
		}
	}
	return nil
}

// Remap adapts a map to another set of ranks: a rank in both sets keeps its experts, and
// the slots of new ranks are empty.
func Remap(m Map, old, next []vm.ID, slots int) Map {
	oldRank := make(map[vm.ID]int, len(old))
	for r, id := range old {
		oldRank[id] = r
	}
	out := Map{Version: m.Version, Layers: make([][]int32, len(m.Layers))}
	for l := range m.Layers {
		row := make([]int32, len(next)*slots)
		for r, id := range next {
			from, ok := oldRank[id]
			for s := range slots {
				row[r*slots+s] = Empty
				if ok {
					row[r*slots+s] = m.Layers[l][from*slots+s]
				}
			}
		}
		out.Layers[l] = row
	}
	return out
}

// Moves counts the experts that ranks have to load to change from one map to the other:
// those in a rank's slots that the rank did not hold before.
func Moves(from, to Map, slots int) int {
	n := 0
	for l := range to.Layers {
		n += layerMoves(from.Layers[l], to.Layers[l], slots)
	}
	return n
}

func layerMoves(from, to []int32, slots int) int {
	n := 0
	for base := 0; base < len(to); base += slots {
		held := from[base : base+slots]
		for _, e := range to[base : base+slots] {
			if e != Empty && !contains(held, e) {
				n++
			}
		}
	}
	return n
}

func contains(slots []int32, e int32) bool {
	for _, x := range slots {
		if x == e {
			return true
		}
	}
	return false
}

// Wire returns the map as its wire message.
func (m Map) Wire() *wire.ExpertMap {
	out := &wire.ExpertMap{Version: m.Version}
	for _, slots := range m.Layers {
		out.Layers = append(out.Layers, &wire.LayerPlacement{Slots: slots})
	}
	return out
}
