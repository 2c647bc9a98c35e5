package group

import (
	"math"

	"baywall.example/core/expertmap"
	"baywall.example/core/wire"
)

// Counts and maps of a large group are what its agents exchange most of, over
// links of some Mbit/s: a whole map of 96 ranks, 16 layers and 192 experts takes
// 5 kB for each rank, its counts 3 kB. So counts are sent as one byte an expert, and
// maps as their changes since the map that the rank got before.

// rootSteps is the number of steps in which a root of a count is told.
const rootSteps = 255

// encodeCounts tells the counts of each layer in one byte an expert.
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

// addCounts adds what a rank told to the sums of its group.
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

// changesBetween returns the changes that make the second map of the first, or
// nil if they differ in size.
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

// applyChanges returns the map that changes make of the base, and whether they fit
// it.
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
