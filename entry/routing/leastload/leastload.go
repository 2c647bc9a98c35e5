// Package leastload picks the runner with the least reported load. It is the baseline
// that relies on delayed reports: between two reports, every entry VM sends everything to
// the same runner.
package leastload

import (
	"math"
	"math/rand/v2"

	"baywall.example/entry/routing"
)

// Policy is the strategy. The zero value is ready to use.
type Policy struct{}

// Pick implements routing.Policy. Ties are broken at random.
func (Policy) Pick(runners []*routing.Runner, _ uint64) int {
	best, bestLoad, ties := -1, int64(math.MaxInt64), 0
	for i, r := range runners {
		load := r.Reported()
		switch {
		case load < bestLoad:
			best, bestLoad, ties = i, load, 1
		case load == bestLoad:
			ties++
			if rand.IntN(ties) == 0 {
				best = i
			}
		}
	}
	return best
}
