package group

import (
	"testing"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"baywall.example/agent/mapswitch"
	"baywall.example/core/expertmap"
	"baywall.example/core/wire"
)

func TestCountsSurviveTheirEncoding(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		layer := rapid.SliceOfN(rapid.Int64Range(0, 1_000_000), 1, 64).Draw(t, "layer")
		sum := expertmap.Counts{make([]float64, len(layer))}
		addCounts(sum, encodeCounts([][]int64{layer}))
		largest := 0.0
		for _, n := range layer {
			largest = max(largest, float64(n))
		}
		for e, n := range layer {
			// One step of the root is at most 2/255 of the largest.
			if diff := sum[0][e] - float64(n); diff > largest/rootSteps+1 || diff < -largest/rootSteps-1 {
				t.Fatalf("expert %d: %d became %f of at most %f", e, n, sum[0][e], largest)
			}
		}
	})
}

func drawMap(t *rapid.T, name string, version uint64) expertmap.Map {
	m := expertmap.Map{Version: version}
	for range 3 {
		m.Layers = append(m.Layers, rapid.SliceOfN(rapid.Int32Range(expertmap.Empty, 9), 8, 8).Draw(t, name))
	}
	return m
}

func TestChangesTurnBaseIntoTarget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		base, target := drawMap(t, "base", 3), drawMap(t, "target", 9)
		got, ok := applyChanges(base, changesBetween(base, target), 9)
		if !ok {
			t.Fatal("the changes do not fit")
		}
		for l := range target.Layers {
			for s := range target.Layers[l] {
				if got.Layers[l][s] != target.Layers[l][s] {
					t.Fatalf("layer %d, slot %d: %d instead of %d", l, s, got.Layers[l][s], target.Layers[l][s])
				}
			}
		}
	})
}

func TestChangesToAnotherMapAreRefused(t *testing.T) {
	is := is.New(t)
	m := expertmap.Map{Version: 3, Layers: [][]int32{{0, 1}}}
	var c mapCache
	prepare := func(version uint64, changes *wire.MapChanges, layers ...[]int32) bool {
		w := &wire.SwitchOrder{Group: "g", Changes: changes, Map: &wire.ExpertMap{Version: version}}
		if changes == nil {
			w.PackedMap = expertmap.Map{Layers: layers}.Pack()
		}
		got, ok := c.resolve(w)
		if ok {
			c.store("g", got)
		}
		return ok
	}
	is.True(!prepare(4, &wire.MapChanges{Base: 3})) // no map was received yet
	is.True(prepare(3, nil, m.Layers...))
	is.True(!prepare(5, &wire.MapChanges{Base: 4, Slots: []uint32{0, 2}}))
	is.True(!prepare(5, &wire.MapChanges{Base: 3, Slots: []uint32{2, 2}})) // no such slot
	is.True(!prepare(5, &wire.MapChanges{Base: 3, Slots: []uint32{0, 2}})) // no version of the result
	second := mapswitch.NewVersion(5, expertmap.Map{Layers: [][]int32{{1, 1}}})
	third := mapswitch.NewVersion(6, expertmap.Map{Layers: [][]int32{{1, expertmap.Empty}}})
	is.True(prepare(second, &wire.MapChanges{Base: 3, Slots: []uint32{0, 2}}))
	is.True(prepare(third, &wire.MapChanges{Base: second, Slots: []uint32{1, 0}}))
	is.Equal(c.last["g"].Layers, [][]int32{{1, expertmap.Empty}})
}

// The sizes of the messages of a switch in a large group, for docs/CAPACITY.md.
func TestMessageSizesOfALargeGroup(t *testing.T) {
	is := is.New(t)
	const layers, experts, slots = 12, 128, 32 * 5
	m := expertmap.Map{Version: 1 << 50}
	counts := make([][]int64, layers)
	for l := range counts {
		row := make([]int32, slots)
		for s := range row {
			row[s] = int32(s % experts)
		}
		m.Layers = append(m.Layers, row)
		counts[l] = make([]int64, experts)
		for e := range counts[l] {
			counts[l][e] = int64(40 * (e + 1))
		}
	}
	reply := &wire.SwitchReply{Counts: encodeCounts(counts)}
	next := expertmap.Map{Version: m.Version + 1, Layers: [][]int32{}}
	for _, row := range m.Layers {
		next.Layers = append(next.Layers, append([]int32(nil), row...))
	}
	for i := range 60 {
		next.Layers[i%layers][i]++
	}
	order := &wire.SwitchOrder{Changes: changesBetween(m, next)}
	t.Logf("counts of a rank %d B, a whole map %d B, 60 changes %d B", proto.Size(reply), proto.Size(&wire.SwitchOrder{Map: m.Wire()}), proto.Size(order))
	is.True(proto.Size(reply) < 1700)
	is.True(proto.Size(order) < 300)
}
