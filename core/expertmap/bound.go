package expertmap

import (
	"cmp"
	"slices"
)

// maxNewExperts returns the largest number of experts that one rank has to load.
func maxNewExperts(from, to []int32, slots int) int {
	most := 0
	for base := 0; base < len(to); base += slots {
		most = max(most, layerMoves(from[base:base+slots], to[base:base+slots], slots))
	}
	return most
}

// limitLoads reverts layers of a plan to the current map until no rank has to load more
// than MaxNewTotal experts. The layers with the largest gain for each move are kept.
func (in Input) limitLoads(plan Map) {
	if in.MaxNewTotal <= 0 {
		return
	}
	slots := in.Shape.Slots
	loads := make([]int, in.Shape.Ranks)
	for _, l := range in.byGain(plan) {
		from, to := in.Current.Layers[l], plan.Layers[l]
		if !in.fits(loads, from, to) {
			plan.Layers[l] = append([]int32(nil), from...)
			continue
		}
		for r := range loads {
			loads[r] += layerMoves(from[r*slots:(r+1)*slots], to[r*slots:(r+1)*slots], slots)
		}
	}
}

// fits reports whether each rank may load a layer's new experts in addition to those of
// the layers accepted before. A layer whose current placement lacks an expert is always
// accepted.
func (in Input) fits(loads []int, from, to []int32) bool {
	slots := in.Shape.Slots
	whole := Map{Layers: [][]int32{from}}.Validate(Shape{Ranks: in.Shape.Ranks, Slots: slots, Layers: 1, Experts: in.Shape.Experts})
	if whole != nil {
		return true
	}
	for r := range loads {
		if loads[r]+layerMoves(from[r*slots:(r+1)*slots], to[r*slots:(r+1)*slots], slots) > in.MaxNewTotal {
			return false
		}
	}
	return true
}

// byGain returns the layers of a plan, ordered by how much their skew falls for each
// expert moved, largest first.
func (in Input) byGain(plan Map) []int {
	order := make([]int, in.Shape.Layers)
	gain := make([]float64, in.Shape.Layers)
	for l := range order {
		order[l] = l
		moves := layerMoves(in.Current.Layers[l], plan.Layers[l], in.Shape.Slots)
		before := newLayerState(in.Current.Layers[l], in.Counts[l], in.Shape.Slots, in.Speeds)
		after := newLayerState(plan.Layers[l], in.Counts[l], in.Shape.Slots, in.Speeds)
		gain[l] = (before.slowest() - after.slowest()) / float64(max(1, moves))
	}
	slices.SortStableFunc(order, func(a, b int) int { return cmp.Compare(gain[b], gain[a]) })
	return order
}
