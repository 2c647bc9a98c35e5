package main

import (
	"context"
	"flag"
	"fmt"
	"math"
	"math/rand/v2"
	"os"
	"slices"
	"time"

	"github.com/google/subcommands"

	"baywall.example/core/expertmap"
	"baywall.example/standin/fleet"
)

// mapsCommand compares planners of expert maps on the generated popularity traces of both
// example sites.
type mapsCommand struct {
	periods int
}

func (*mapsCommand) Name() string     { return "maps" }
func (*mapsCommand) Synopsis() string { return "compare planners on both sites' traces" }
func (*mapsCommand) Usage() string    { return "maps [-periods 120]\n" }

func (c *mapsCommand) SetFlags(f *flag.FlagSet) {
	f.IntVar(&c.periods, "periods", 120, "planning periods of a trace")
}

// trace describes the popularity of experts at a site and the cost of moving an expert.
type trace struct {
	name  string
	site  fleet.GroupSite
	price float64
}

// stepsPerPeriod is the number of engine steps between two plans.
const stepsPerPeriod = 1000

func (c *mapsCommand) Execute(context.Context, *flag.FlagSet, ...any) subcommands.ExitStatus {
	traces := []trace{
		{"sfax", fleet.GroupSite{Exponent: 0.7, DriftSteps: 8000, BurstSteps: 12_000, BurstWeight: 0.1}, 0.0005},
		{"lisbon", fleet.GroupSite{Exponent: 0.7, DriftSteps: 16_000}, 0.02},
	}
	shapes := []expertmap.Shape{
		{Ranks: 16, Slots: 18, Layers: 8, Experts: 256},
		{Ranks: 128, Slots: 3, Layers: 8, Experts: 256},
	}
	for _, t := range traces {
		for _, s := range shapes {
			if err := c.compare(t, s); err != nil {
				fmt.Fprintln(os.Stderr, err)
				return subcommands.ExitFailure
			}
		}
	}
	return subcommands.ExitSuccess
}

// planner returns the map for the next period.
type planner func(expertmap.Input) (expertmap.Result, error)

// outcome is the summary of one planner's run.
type outcome struct {
	skews    []float64
	moves    int
	switches int
	planTime time.Duration
}

func (o *outcome) mean() float64 {
	sum := 0.0
	for _, s := range o.skews {
		sum += s
	}
	return sum / float64(len(o.skews))
}

func (o *outcome) p99() float64 {
	sorted := slices.Sorted(slices.Values(o.skews))
	return sorted[int(0.99*float64(len(sorted)-1))]
}

func (c *mapsCommand) compare(t trace, s expertmap.Shape) error {
	fmt.Printf("%s, %d ranks x %d experts, %d layers, %d slots a rank, %d periods\n", t.name, s.Ranks, s.Experts, s.Layers, s.Slots, c.periods)
	price := func(p float64) planner {
		return func(in expertmap.Input) (expertmap.Result, error) {
			in.Price = p
			return expertmap.Plan(in)
		}
	}
	planners := []struct {
		name string
		plan planner
	}{
		{"static", nil},
		{"repack", expertmap.Repack},
		{fmt.Sprintf("ours, price %g", t.price), price(t.price)},
	}
	var repackMoves int
	for _, p := range planners {
		o, bound, err := c.replay(t, s, p.plan)
		if err != nil {
			return err
		}
		if p.name == "repack" {
			repackMoves = o.moves
		}
		fmt.Printf("  %-18s skew mean %.4f, p99 %.4f; moves %d (%.1f%% of repack), switches %d; plan %.1f ms; lower bound %.4f\n",
			p.name, o.mean(), o.p99(), o.moves, 100*float64(o.moves)/float64(max(1, repackMoves)), o.switches, ms(o.planTime)/float64(c.periods), bound)
	}
	return nil
}

// replay runs one planner over the trace. The planner gets noisy counts of past periods; the
// skews are computed from the true popularity.
func (c *mapsCommand) replay(t trace, s expertmap.Shape, plan planner) (o outcome, bound float64, err error) {
	popularity := t.site.Popularity(s)
	rnd := rand.New(rand.NewPCG(11, 0))
	m, err := expertmap.Initial(s)
	if err != nil {
		return o, 0, err
	}
	const samples = 10 // samples of the popularity in each period
	var smoothed expertmap.Counts
	for period := range c.periods {
		counts := expertmap.NewCounts(s)
		for i := range samples {
			shares := popularity(uint64(period*stepsPerPeriod + i*stepsPerPeriod/samples))
			o.skews = append(o.skews, expertmap.Skew(m, shares, s.Slots, nil))
			bound += expertmap.LowerBound(shares, s, nil) / float64(samples*c.periods)
			addNoisy(counts, shares, rnd)
		}
		if smoothed == nil {
			smoothed = counts
		} else {
			smoothed.Smooth(counts, 0.4)
		}
		if plan == nil {
			continue
		}
		began := time.Now()
		res, err := plan(expertmap.Input{Shape: s, Counts: smoothed, Current: m})
		if err != nil {
			return o, 0, err
		}
		o.planTime += time.Since(began)
		if res.Moves > 0 {
			m = res.Map
			o.moves += res.Moves
			o.switches++
		}
	}
	return o, bound, nil
}

// tokensPerSample is the number of tokens that a layer processes between two samples.
const tokensPerSample = 200_000

// addNoisy adds sampled counts: the expected number of tokens with Poisson-like noise.
func addNoisy(counts, shares expertmap.Counts, rnd *rand.Rand) {
	for l := range shares {
		for e, share := range shares[l] {
			expected := share * tokensPerSample
			counts[l][e] += max(0, expected+rnd.NormFloat64()*math.Sqrt(expected))
		}
	}
}
