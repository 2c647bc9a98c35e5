// Package twochoices picks the less loaded of two runners drawn at random. Its
// decision costs the same whatever the number of runners.
package twochoices

import (
	"math/rand/v2"

	"baywall.example/entry/routing"
)

// Policy is the strategy. The zero value is ready to use.
type Policy struct{}

// Pick implements routing.Policy.
func (Policy) Pick(runners []*routing.Runner, _ uint64) int {
	n := len(runners)
	if n < 2 {
		return n - 1
	}
	i := rand.IntN(n)
	j := (i + 1 + rand.IntN(n-1)) % n
	if runners[j].Load() < runners[i].Load() {
		return j
	}
	return i
}
