// Package affinity sends requests with the same prompt prefix to the same
// runner, as long as that runner is not loaded far above the mean.
//
// Every runner has a rendezvous weight for the key. The runner with the highest weight is
// picked among those whose load stays within factor x mean (rounded up, counting the new
// request). A prefix thus stays on the runner that has it cached, spills over in a fixed
// order when that runner is busy, and only a part of the prefixes moves when runners are
// added or removed. The bound is that of consistent hashing with bounded loads.
//
// Limits: one pass over all runners of the service for each request, which is
// linear in their number.
package affinity

import (
	"math"

	"baywall.example/core/rendezvous"
	"baywall.example/entry/routing"
)

// Policy is the strategy. The zero value is not valid; use New.
type Policy struct {
	factor float64
}

// New returns a strategy that passes over runners whose load would exceed
// factor times the mean. The factor is at least 1.
func New(factor float64) Policy { return Policy{factor: max(1, factor)} }

// Pick implements routing.Policy.
func (p Policy) Pick(runners []*routing.Runner, key uint64) int {
	total := int64(1)
	for _, r := range runners {
		total += r.Load()
	}
	bound := int64(math.Ceil(p.factor * float64(total) / float64(max(1, len(runners)))))
	best, bestWeight := -1, uint64(0)
	least, leastLoad := -1, int64(math.MaxInt64)
	for i, r := range runners {
		load := r.Load()
		if load < leastLoad {
			least, leastLoad = i, load
		}
		if load+1 > bound {
			continue
		}
		if w := rendezvous.Weight(r.Hash, key); best < 0 || w > bestWeight {
			best, bestWeight = i, w
		}
	}
	if best < 0 {
		return least
	}
	return best
}
