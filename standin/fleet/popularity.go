package fleet

import (
	"math"
	"math/rand/v2"
	"sync"

	"baywall.example/core/expertmap"
	"baywall.example/standin/engine"
)

// popularity returns a seeded, Zipf-like popularity of experts that drifts: a
// slow rotation of the order of experts and, if asked for, bursts in which a
// few experts of a layer get much of the load.
func (g GroupSite) popularity(s expertmap.Shape) engine.Popularity {
	base := zipfShares(s, g.Exponent)
	var mu sync.Mutex
	cached, key := expertmap.Counts(nil), uint64(math.MaxUint64)
	return func(step uint64) expertmap.Counts {
		mu.Lock()
		defer mu.Unlock()
		shift, burst := g.phase(step)
		if now := shift<<32 | burst; now != key {
			cached, key = g.sharesAt(base, s, shift, burst), now
		}
		return cached
	}
}

// phase returns how far the order has rotated and which burst is on.
func (g GroupSite) phase(step uint64) (shift, burst uint64) {
	if g.DriftSteps > 0 {
		shift = step / g.DriftSteps
	}
	if g.BurstSteps > 0 {
		burst = 1 + step/g.BurstSteps
	}
	return shift, burst
}

func (g GroupSite) sharesAt(base expertmap.Counts, s expertmap.Shape, shift, burst uint64) expertmap.Counts {
	out := expertmap.NewCounts(s)
	for l := range out {
		for e := range out[l] {
			out[l][(uint64(e)+shift)%uint64(s.Experts)] = base[l][e]
		}
		if burst == 0 {
			continue
		}
		rnd := rand.New(rand.NewPCG(burst, uint64(l)))
		for e := range out[l] {
			out[l][e] *= 1 - g.BurstWeight
		}
		const burstExperts = 4
		for range burstExperts {
			out[l][rnd.IntN(s.Experts)] += g.BurstWeight / burstExperts
		}
	}
	return out
}

func zipfShares(s expertmap.Shape, exponent float64) expertmap.Counts {
	out := expertmap.NewCounts(s)
	for l := range out {
		rnd := rand.New(rand.NewPCG(uint64(l), 7))
		sum := 0.0
		for i, e := range rnd.Perm(s.Experts) {
			out[l][e] = 1 / math.Pow(float64(i+1), exponent)
			sum += out[l][e]
		}
		for e := range out[l] {
			out[l][e] /= sum
		}
	}
	return out
}
