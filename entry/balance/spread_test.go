package balance

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestSpreadLevelsLoads(t *testing.T) {
	loads := []float64{2, 4, 4, 10}
	cases := []struct {
		name       string
		unreported float64
		share      []float64
	}{
		{"nothing unreported", 0, []float64{1, 0, 0, 0}},
		{"up to the next", 2, []float64{1, 0, 0, 0}},
		{"three of four", 5, []float64{3.0 / 5, 1.0 / 5, 1.0 / 5, 0}},
		{"all", 24, []float64{9.0 / 24, 7.0 / 24, 7.0 / 24, 1.0 / 24}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			counts := make([]float64, len(loads))
			const draws = 10_000
			for i := range draws {
				var candidates []candidate
				for j, load := range loads {
					candidates = append(candidates, candidate{index: j, slots: 10, score: load / 10})
				}
				counts[drawCandidate(candidates, c.unreported, (float64(i)+0.5)/draws)]++
			}
			for j, want := range c.share {
				got := counts[j] / draws
				is.True(got > want-0.01 && got < want+0.01)
			}
		})
	}
}

// Gateways that learn of each other's requests with a delay must not overload the same
// servers: 30 gateways, 64 servers, 57 requests per report interval.
func TestGatewaysWithOldLoadsDoNotOverloadTheSameServers(t *testing.T) {
	is := is.New(t)
	const gateways, servers, perInterval, lifetime = 30, 64, 57, 6
	most := func(unreported float64) int {
		rnd := rand.New(rand.NewPCG(1, 2))
		reported := make([]int, servers) // reported loads as of the last interval
		var running [][]int              // servers of the running requests, by interval
		highest := 0
		for range 200 {
			var now []int
			actual := slices.Clone(reported)
			for range perInterval {
				candidates := make([]candidate, servers)
				for i := range candidates {
					candidates[i] = candidate{index: i, slots: 10, score: float64(reported[i]) / 10}
				}
				rnd.Shuffle(servers, func(i, j int) { candidates[i], candidates[j] = candidates[j], candidates[i] })
				picked := drawCandidate(candidates, unreported, rnd.Float64())
				actual[picked]++
				now = append(now, picked)
			}
			running = append(running, now)
			if len(running) > lifetime {
				for _, ended := range running[0] {
					actual[ended]--
				}
				running = running[1:]
			}
			reported = actual
			highest = max(highest, slices.Max(actual))
		}
		return highest
	}
	without, with := most(0), most(perInterval) // the mean is 5.3
	t.Logf("most on one server: %d, with the unreported taken in %d", without, with)
	is.True(without > 30)
	is.True(with < 16)
}

func TestArrivalsAreMeasured(t *testing.T) {
	is := is.New(t)
	var a arrivals
	now := start
	for range 500 {
		a.note(now)
		now = now.Add(10 * time.Millisecond)
	}
	is.True(a.rate() > 95 && a.rate() < 105)
}
