package expertmap

import (
	"math/rand/v2"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// skewed returns counts in which few experts get most tokens.
func skewed(shape Shape, rnd *rand.Rand) Counts {
	counts := NewCounts(shape)
	for l := range counts {
		for rank, e := range rnd.Perm(shape.Experts) {
			counts[l][e] = 1000 / float64(1+rank)
		}
	}
	return counts
}

func TestImproveRespectsLoadLimits(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		is := is.New(t)
		shape := Shape{
			Ranks: rapid.IntRange(2, 8).Draw(t, "ranks"), Layers: rapid.IntRange(1, 4).Draw(t, "layers"),
			Experts: 16, Slots: 0,
		}
		shape.Slots = (shape.Experts+shape.Ranks-1)/shape.Ranks + rapid.IntRange(0, 3).Draw(t, "spare")
		current, err := Initial(shape)
		is.NoErr(err)
		rnd := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0))
		in := Input{
			Shape: shape, Counts: skewed(shape, rnd), Current: current, Price: 0.01,
			MaxNew: rapid.IntRange(0, 3).Draw(t, "new"), MaxNewTotal: rapid.IntRange(0, 4).Draw(t, "total"),
		}
		res, err := Improve(in)
		is.NoErr(err)
		is.NoErr(res.Map.Validate(shape))
		is.True(res.SkewAfter <= res.SkewBefore*1.2)
		checkLoads(is, in, res.Map)
	})
}

func checkLoads(is *is.I, in Input, m Map) {
	for r := range in.Shape.Ranks {
		total := 0
		for l := range m.Layers {
			lo, hi := r*in.Shape.Slots, (r+1)*in.Shape.Slots
			n := layerMoves(in.Current.Layers[l][lo:hi], m.Layers[l][lo:hi], in.Shape.Slots)
			is.True(in.MaxNew == 0 || n <= in.MaxNew)
			total += n
		}
		is.True(in.MaxNewTotal == 0 || total <= in.MaxNewTotal)
	}
}

// A few rounds with a few copies each bring the skew of a new group close to one.
func TestImproveConvergesInSmallSteps(t *testing.T) {
	is := is.New(t)
	shape := Shape{Ranks: 8, Slots: 11, Layers: 6, Experts: 64}
	current, err := Initial(shape)
	is.NoErr(err)
	in := Input{Shape: shape, Counts: skewed(shape, rand.New(rand.NewPCG(1, 1))), Current: current, Price: 0.01, MaxNew: 4, MaxNewTotal: 3}
	first := 0.0
	for round := range 8 {
		res, err := Improve(in)
		is.NoErr(err)
		if round == 0 {
			first = res.SkewBefore
		}
		t.Logf("round %d: %.3f -> %.3f, %d moves", round, res.SkewBefore, res.SkewAfter, res.Moves)
		in.Current = res.Map
	}
	after := Skew(in.Current, in.Counts, shape.Slots, nil)
	is.True(first > 2)
	is.True(after < 1.2)
}

// A change that was scored before its rank reached the limit on loads must not be
// applied.
func TestImproveRescoresBlockedChanges(t *testing.T) {
	is := is.New(t)
	shape := Shape{Ranks: 2, Slots: 3, Layers: 3, Experts: 4}
	current, err := Initial(shape)
	is.NoErr(err)
	counts := NewCounts(shape)
	for l := range counts {
		counts[l] = []float64{100, 1, 1, 1}
	}
	in := Input{Shape: shape, Counts: counts, Current: current, Price: 0.01, MaxNewTotal: 1}
	res, err := Improve(in)
	is.NoErr(err)
	checkLoads(is, in, res.Map)
}

func BenchmarkImprove(b *testing.B) {
	for _, c := range []struct {
		name  string
		shape Shape
	}{
		{"8x64x6", Shape{Ranks: 8, Slots: 11, Layers: 6, Experts: 64}},
		{"32x128x12", Shape{Ranks: 32, Slots: 5, Layers: 12, Experts: 128}},
		{"128x256x58", Shape{Ranks: 128, Slots: 3, Layers: 58, Experts: 256}},
	} {
		b.Run(c.name, func(b *testing.B) {
			current, err := Initial(c.shape)
			if err != nil {
				b.Fatal(err)
			}
			in := Input{Shape: c.shape, Counts: skewed(c.shape, rand.New(rand.NewPCG(1, 1))), Current: current, Price: 0.02, MaxNew: 4, MaxNewTotal: 3}
			for b.Loop() {
				if _, err := Improve(in); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
