package expertmap

import (
	"fmt"
	"math"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// zipf returns counts where expert e of layer l has weight 1/(rank+1)^skew,
// with a different order of experts in each layer.
func zipf(s Shape, exponent float64) Counts {
	c := NewCounts(s)
	for l := range c {
		for e := range c[l] {
			c[l][(e*7+l*13)%s.Experts] += 1e6 / math.Pow(float64(e+1), exponent)
		}
	}
	return c
}

func drawInput(t *rapid.T) Input {
	s := Shape{
		Ranks:   rapid.IntRange(1, 9).Draw(t, "ranks"),
		Layers:  rapid.IntRange(1, 3).Draw(t, "layers"),
		Experts: rapid.IntRange(1, 20).Draw(t, "experts"),
	}
	s.Slots = (s.Experts+s.Ranks-1)/s.Ranks + rapid.IntRange(0, 2).Draw(t, "spare")
	in := Input{Shape: s, Counts: NewCounts(s), Price: rapid.SampledFrom([]float64{0, 0.001, 0.05, 1}).Draw(t, "price")}
	for l := range in.Counts {
		for e := range in.Counts[l] {
			in.Counts[l][e] = float64(rapid.IntRange(0, 1000).Draw(t, "count"))
		}
	}
	for range s.Ranks {
		in.Speeds = append(in.Speeds, rapid.SampledFrom([]float64{1, 1, 1, 0.5}).Draw(t, "speed"))
	}
	m, err := Initial(s)
	if err != nil {
		t.Fatal(err)
	}
	if lost := rapid.IntRange(-1, s.Ranks-1).Draw(t, "replaced rank"); lost >= 0 {
		for l := range m.Layers {
			for i := range s.Slots {
				m.Layers[l][lost*s.Slots+i] = Empty
			}
		}
	}
	in.Current = m
	return in
}

func TestPlanProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		in := drawInput(t)
		res, err := Plan(in)
		if err != nil {
			t.Fatal(err)
		}
		if err := res.Map.Validate(in.Shape); err != nil {
			t.Fatal(err)
		}
		again, _ := Plan(in)
		if fmt.Sprint(again.Map) != fmt.Sprint(res.Map) {
			t.Fatal("equal inputs, different plans")
		}
		if in.Current.Validate(in.Shape) != nil {
			return
		}
		for l := range in.Shape.Layers {
			before := newLayerState(in.Current.Layers[l], in.Counts[l], in.Shape.Slots, in.Speeds)
			after := newLayerState(res.Map.Layers[l], in.Counts[l], in.Shape.Slots, in.Speeds)
			moves := float64(layerMoves(in.Current.Layers[l], res.Map.Layers[l], in.Shape.Slots))
			if before.mean == 0 && moves > 0 {
				t.Fatal("moves without any load")
			}
			if after.slowest()+in.Price*moves*after.mean > before.slowest()+1e-6 {
				t.Fatalf("layer %d: objective rose", l)
			}
		}
	})
}

func TestPlanCases(t *testing.T) {
	cases := []struct {
		name    string
		shape   Shape
		counts  func(Shape) Counts
		speeds  []float64
		maxSkew float64
	}{
		{"zipf over 16 ranks", Shape{16, 18, 4, 256}, func(s Shape) Counts { return zipf(s, 0.8) }, nil, 1.10},
		{"one expert has most of the load", Shape{8, 5, 1, 32}, func(s Shape) Counts {
			c := zipf(s, 0)
			c[0][3] = 1e9
			return c
		}, nil, 1.25},
		{"all zero", Shape{4, 2, 2, 8}, NewCounts, nil, 1},
		{"one rank", Shape{1, 8, 2, 8}, func(s Shape) Counts { return zipf(s, 1) }, nil, 1},
		{"no spare slot", Shape{4, 4, 1, 16}, func(s Shape) Counts { return zipf(s, 0.5) }, nil, 1.15},
		{"a rank at half speed", Shape{8, 10, 1, 64}, func(s Shape) Counts { return zipf(s, 0.5) }, []float64{1, 1, 0.5, 1, 1, 1, 1, 1}, 1.10},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			m, err := Initial(c.shape)
			is.NoErr(err)
			in := Input{Shape: c.shape, Counts: c.counts(c.shape), Current: m, Speeds: c.speeds}
			res, err := Plan(in)
			is.NoErr(err)
			is.NoErr(res.Map.Validate(c.shape))
			if res.SkewAfter > c.maxSkew {
				t.Errorf("skew %.4f, at most %.4f", res.SkewAfter, c.maxSkew)
			}
			is.True(res.SkewAfter >= LowerBound(in.Counts, c.shape, c.speeds)-1e-9)
		})
	}
}

func TestPlanRefusesTooFewSlots(t *testing.T) {
	is := is.New(t)
	_, err := Plan(Input{Shape: Shape{Ranks: 2, Slots: 3, Layers: 1, Experts: 7}})
	is.True(err != nil)
}

func BenchmarkPlan(b *testing.B) {
	for _, s := range []Shape{{16, 18, 58, 256}, {32, 10, 58, 256}, {64, 6, 58, 256}, {128, 3, 58, 256}, {128, 3, 58, 128}, {128, 3, 58, 64}} {
		b.Run(fmt.Sprintf("ranks=%d/experts=%d", s.Ranks, s.Experts), func(b *testing.B) {
			m, err := Initial(s)
			if err != nil {
				b.Fatal(err)
			}
			in := Input{Shape: s, Counts: zipf(s, 0.8), Current: m, Price: 0.001}
			b.ReportAllocs()
			for b.Loop() {
				if _, err := Plan(in); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
