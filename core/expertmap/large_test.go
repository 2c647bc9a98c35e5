package expertmap

import (
	"math"
	"math/rand/v2"
	"testing"
)

// largeShape is a group of 96 ranks with half as many spare places as experts.
var largeShape = Shape{Ranks: 96, Slots: 3, Layers: 16, Experts: 192}

// largeCounts are the counts of a demand in which the k-th most popular expert of a
// layer is asked for in proportion to k^-0.53.
func largeCounts(rnd *rand.Rand) Counts {
	counts := NewCounts(largeShape)
	for l := range counts {
		for k, e := range rnd.Perm(largeShape.Experts) {
			counts[l][e] = 1000 * math.Pow(float64(k+1), -0.53)
		}
	}
	return counts
}

// inTurn is the map that assigns experts to places in turn.
func inTurn(s Shape) Map {
	m := Map{Version: 1}
	for range s.Layers {
		row := make([]int32, s.Ranks*s.Slots)
		for i := range row {
			row[i] = int32((i/s.Slots + i%s.Slots*s.Ranks) % s.Experts)
		}
		m.Layers = append(m.Layers, row)
	}
	return m
}

func BenchmarkImproveLargeGroup(b *testing.B) {
	counts := largeCounts(rand.New(rand.NewPCG(1, 2)))
	in := Input{Shape: largeShape, Counts: counts, Current: inTurn(largeShape), Price: 0.002, MaxNew: 2, MaxNewTotal: 8}
	for b.Loop() {
		res, err := Improve(in)
		if err != nil {
			b.Fatal(err)
		}
		b.ReportMetric(res.SkewBefore, "skew-before")
		b.ReportMetric(res.SkewAfter, "skew-after")
		b.ReportMetric(float64(res.Moves), "moves")
	}
}

func TestLargeTrial(t *testing.T) {
	counts := largeCounts(rand.New(rand.NewPCG(1, 2)))
	in := Input{Shape: largeShape, Counts: counts, Current: inTurn(largeShape), Price: 0.05 * 0.21 * 16 / 96, MaxNew: 2, MaxNewTotal: 8}
	for i := range 6 {
		res, _ := Improve(in)
		t.Logf("switch %d: %.3f -> %.3f, %d moves, bound %.3f", i, res.SkewBefore, res.SkewAfter, res.Moves, LowerBound(counts, largeShape, nil))
		in.Current = res.Map
	}
}
