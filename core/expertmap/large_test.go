package expertmap

import (
	"math"
	"math/rand/v2"
	"testing"

	"github.com/matryer/is"
)

// largeShape is a group of 96 ranks with half as many spare slots as experts.
var largeShape = Shape{Ranks: 96, Slots: 3, Layers: 16, Experts: 192}

// largeCounts returns counts in which the demand for the k-th most popular expert of a
// layer is proportional to k^-0.53.
func largeCounts(rnd *rand.Rand) Counts {
	counts := NewCounts(largeShape)
	for l := range counts {
		for k, e := range rnd.Perm(largeShape.Experts) {
			counts[l][e] = 1000 * math.Pow(float64(k+1), -0.53)
		}
	}
	return counts
}

func BenchmarkImproveLargeGroup(b *testing.B) {
	counts := largeCounts(rand.New(rand.NewPCG(1, 2)))
	current, err := Initial(largeShape)
	if err != nil {
		b.Fatal(err)
	}
	in := Input{Shape: largeShape, Counts: counts, Current: current, Price: 0.002, MaxNew: 2, MaxNewTotal: 8}
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

// Two switches with eight copies per rank take a group of 96 ranks from the initial map
// to an even spread; after that, no change is worth its copies.
func TestLargeGroupIsBalancedAfterTwoSwitches(t *testing.T) {
	is := is.New(t)
	counts := largeCounts(rand.New(rand.NewPCG(1, 2)))
	current, err := Initial(largeShape)
	is.NoErr(err)
	in := Input{Shape: largeShape, Counts: counts, Current: current, Price: 0.05 * 0.21 * 16 / 96, MaxNew: 2, MaxNewTotal: 8}
	for i := range 3 {
		res, err := Improve(in)
		is.NoErr(err)
		t.Logf("switch %d: %.3f -> %.3f, %d moves", i, res.SkewBefore, res.SkewAfter, res.Moves)
		checkLoads(is, in, res.Map)
		is.True(i < 1 || res.SkewAfter < 1.2)
		is.True(i < 2 || res.Moves == 0)
		in.Current = res.Map
	}
}
