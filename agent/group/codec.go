package group

import (
	"math"

	"baywall.example/core/expertmap"
	"baywall.example/core/wire"
)

// Counts and maps make up most of the traffic between the agents of a large group, over
// links of some Mbit/s: for each rank of a group of 96 ranks, 16 layers and 192 experts, a
// whole map takes 5 kB and the counts take 3 kB. Counts are therefore sent as one byte per
// expert, and maps as changes to the map that the rank received before.

// rootSteps is the number of steps in which the square root of a count is encoded.
const rootSteps = 255

// encodeCounts encodes the counts of each layer in one byte per expert.
func encodeCounts(layers [][]int64) []*wire.LayerCounts {
	out := make([]*wire.LayerCounts, 0, len(layers))
	for _, layer := range layers {
		largest := int64(0)
		for _, n := range layer {
			largest = max(largest, n)
		}
		roots := make([]byte, len(layer))
		for e, n := range layer {
			if largest > 0 {
				roots[e] = byte(math.Round(rootSteps * math.Sqrt(float64(max(0, n))/float64(largest))))
			}
		}
		out = append(out, &wire.LayerCounts{Largest: uint64(largest), Roots: roots})
	}
	return out
}

// addCounts adds the counts that a rank reported to the sums of its group.
func addCounts(sum expertmap.Counts, layers []*wire.LayerCounts) {
	for l, layer := range layers {
		for e, root := range layer.GetRoots() {
			if e < len(sum[l]) {
				part := float64(root) / rootSteps
				sum[l][e] += part * part * float64(layer.GetLargest())
			}
		}
	}
}

// changesBetween returns the changes that turn the base map into the target, or nil if
// the maps differ in size.
func changesBetween(base, target expertmap.Map) *wire.MapChanges {
	if len(base.Layers) != len(target.Layers) {
		return nil
	}
	out := &wire.MapChanges{Base: base.Version}
	offset := 0
	for l, row := range target.Layers {
		if len(base.Layers[l]) != len(row) {
			return nil
		}
		for slot, expert := range row {
			if expert != base.Layers[l][slot] {
				out.Slots = append(out.Slots, uint32(offset+slot), uint32(expert+1))
			}
		}
		offset += len(row)
	}
	return out
}

// applyChanges returns the map that results from applying the changes to the base, and
// whether they fit the base.
func applyChanges(base expertmap.Map, c *wire.MapChanges, version uint64) (expertmap.Map, bool) {
	out := expertmap.Map{Version: version, Layers: make([][]int32, len(base.Layers))}
	if base.Version != c.GetBase() || base.Version == 0 || len(c.GetSlots())%2 != 0 {
		return expertmap.Map{}, false
	}
	for l, row := range base.Layers {
		out.Layers[l] = append([]int32(nil), row...)
	}
	for i := 0; i < len(c.GetSlots()); i += 2 {
		slot, expert := int(c.GetSlots()[i]), int32(c.GetSlots()[i+1])-1
		row := 0
		for row < len(out.Layers) && slot >= len(out.Layers[row]) {
			slot -= len(out.Layers[row])
			row++
		}
		if row == len(out.Layers) {
			return expertmap.Map{}, false
		}
		out.Layers[row][slot] = expert
	}
	return out, true
}
