package fairshare

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"baywall.example/core/vm"
)

var start = time.Unix(1_700_000_000, 0)

// equalWeights gives all teams the same weight.
func equalWeights(Team) float64 { return 1 }

func TestShares(t *testing.T) {
	cases := []struct {
		name   string
		slots  float64
		claims []Claim
		want   []float64
	}{
		{"no claims", 24, nil, []float64{}},
		{"enough for all", 24, []Claim{{4, 1}, {8, 1}}, []float64{4, 8}},
		{"small demand is met, the rest divided", 24, []Claim{{30, 1}, {4, 1}, {40, 1}}, []float64{10, 4, 10}},
		{"by weight", 24, []Claim{{30, 1}, {30, 2}}, []float64{8, 16}},
		{"weight above the demand", 24, []Claim{{30, 1}, {6, 100}}, []float64{18, 6}},
		{"no slots", 0, []Claim{{30, 1}, {6, 1}}, []float64{0, 0}},
		{"no demand", 24, []Claim{{0, 1}, {30, 1}}, []float64{0, 24}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) { is.New(t).Equal(Shares(c.slots, c.claims), c.want) })
	}
}

// A division that exceeds the slots, leaves some unused or favours a team would move the
// boundary between the teams that go first and those that do not.
func TestSharesAreMaxMinFair(t *testing.T) {
	const tolerance = 1e-9
	rapid.Check(t, func(t *rapid.T) {
		slots := rapid.Float64Range(0, 1000).Draw(t, "slots")
		claims := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) Claim {
			weight := rapid.OneOf(rapid.SampledFrom([]float64{1, 2}), rapid.Float64Range(1e-3, 1000)).Draw(t, "weight")
			return Claim{Demand: rapid.Float64Range(0, 300).Draw(t, "demand"), Weight: weight}
		}), 0, 40).Draw(t, "claims")
		shares := Shares(slots, claims)
		sum, demand := 0.0, 0.0
		for i, c := range claims {
			sum, demand = sum+shares[i], demand+c.Demand
			if shares[i] < 0 || shares[i] > c.Demand {
				t.Fatalf("share %v of demand %v", shares[i], c.Demand)
			}
			for j, other := range claims {
				unmet := shares[i] < c.Demand-tolerance
				if unmet && shares[j]/other.Weight > shares[i]/c.Weight*(1+tolerance)+tolerance {
					t.Fatalf("team %d with unmet demand has %v, team %d has %v, claims %v", i, shares[i], j, shares[j], claims)
				}
			}
		}
		if want := min(slots, demand); math.Abs(sum-want) > tolerance*(1+want) {
			t.Fatalf("shares add up to %v, want %v", sum, want)
		}
	})
}

// use records one second of steady requests that are sent, and of which a part is served.
func use(a *Account, team Team, demand, served float64, now time.Time) {
	a.AddDemand(team, time.Duration(demand*float64(time.Second)), now)
	a.AddUse(team, time.Duration(served*float64(time.Second)), now)
}

func TestOverShare(t *testing.T) {
	type claim struct{ demand, used float64 }
	cases := []struct {
		name    string
		slots   int
		waiting bool
		weights map[Team]float64
		claims  []claim // of the teams 0, 1, ...
		over    []bool
	}{
		{"large and small", 24, true, nil, []claim{{2, 1}, {40, 23}}, []bool{false, true}},
		{"nothing waits", 24, false, nil, []claim{{2, 1}, {40, 23}}, []bool{false, false}},
		{"held at its share", 24, true, nil, []claim{{2, 2}, {40, 22}}, []bool{false, true}},
		{"only team", 24, true, nil, []claim{{40, 24}}, []bool{false}},
		{"all demand is met", 24, true, nil, []claim{{10, 10}, {14, 14}}, []bool{false, false}},
		{"by weight", 24, true, map[Team]float64{1: 3}, []claim{{40, 12}, {40, 12}}, []bool{true, false}},
		{"less capacity than slots", 100, true, nil, []claim{{2, 1}, {40, 23}}, []bool{false, true}},
		{"costs estimated too high", 4, true, nil, []claim{{2, 1}, {40, 23}}, []bool{false, true}},
		{"no slots", 0, true, nil, []claim{{2, 0}, {40, 0}}, []bool{false, false}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			a := NewAccount(func(team Team) float64 {
				if w := c.weights[team]; w > 0 {
					return w
				}
				return 1
			})
			for i, claim := range c.claims {
				use(a, Team(i), claim.demand, claim.used, start)
			}
			standings := a.Standings(c.slots, c.waiting, start)
			sum := 0.0
			for i, over := range c.over {
				is.Equal(standings[Team(i)].Over, over)
				sum += standings[Team(i)].Share
			}
			is.True(sum <= float64(c.slots)+1e-9)
		})
	}
}

// Use through other gateways must count, each report once, and not after its gateway has
// fallen silent.
func TestReportsOfOtherGateways(t *testing.T) {
	is := is.New(t)
	a := NewAccount(equalWeights)
	use(a, 1, 2, 1, start)
	for _, from := range []vm.ID{"b", "c", "b"} {
		a.Receive(from, []Use{{Team: 2, Use: 5, Demand: 20}}, start)
	}
	standing := a.Standings(24, true, start)[2]
	is.Equal(standing.Use, 10.0)
	is.Equal(standing.Demand, 40.0)
	is.True(standing.Over)
	a.Receive("b", nil, start.Add(time.Second))
	is.Equal(a.Standings(24, true, start.Add(time.Second))[2].Use, 5.0)
	is.Equal(a.Standings(24, true, start.Add(reportLifetime))[2], Standing{})
}

// With very many teams the state must stay bounded, and the large ones must be kept.
func TestStateIsBounded(t *testing.T) {
	is := is.New(t)
	a := NewAccount(equalWeights)
	for i := range 28_000 {
		now := start.Add(time.Duration(i) * 100 * time.Microsecond)
		use(a, Team(1000+i), 0.1, 0.1, now)
		use(a, 1, 0.5, 0.1, now)
		if i%16 == 0 {
			a.Receive(vm.ID(fmt.Sprint(i)), a.Report(now), now)
		}
	}
	now := start.Add(2800 * time.Millisecond)
	is.True(len(a.teams) <= maxTeams)
	is.True(len(a.reports) <= maxReporters)
	report := a.Report(now)
	is.Equal(len(report), maxReported)
	is.Equal(report[0].Team, Team(1))
	is.True(a.Standings(100, true, now)[1].Over)
}

// After a machine was suspended, or a clock was read out of order, old use must not count as
// new.
func TestUseFades(t *testing.T) {
	is := is.New(t)
	a := NewAccount(equalWeights)
	use(a, 1, 8, 8, start)
	use(a, 2, 8, 4, start.Add(-time.Minute))
	is.Equal(len(a.Standings(24, true, start)), 2)
	is.True(a.Standings(24, true, start.Add(time.Hour))[1].Use < 1e-6)
	a.AddUse(1, -time.Second, start.Add(time.Hour)) // correction of a request that did not run
	is.Equal(a.Standings(24, true, start.Add(time.Hour))[1].Use, 0.0)
}
