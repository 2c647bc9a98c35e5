package fleet

import (
	"math"
	"math/rand/v2"
	"sync"

	"baywall.example/core/expertmap"
	"baywall.example/standin/engine"
)

// Popularity returns a seeded, Zipf-like popularity of experts that drifts: a
// slow blend from one order of experts to the next, in which some of them have
// changed places, and, if asked for, bursts in which a few experts of a layer
// get much of the load.
func (g GroupSite) Popularity(s expertmap.Shape) engine.Popularity {
	var mu sync.Mutex
	cached, key := expertmap.Counts(nil), phase{order: math.MaxUint64}
	return func(step uint64) expertmap.Counts {
		mu.Lock()
		defer mu.Unlock()
		if now := g.phase(step); now != key {
			cached, key = g.sharesAt(s, now), now
		}
		return cached
	}
}

// phase tells where in its drift a popularity is.
type phase struct {
	order uint64 // number of orders gone through
	blend uint64 // of the next one, in blendParts
	burst uint64 // which burst is on, 0 = none
}

const (
	// blendParts is in how many parts one order turns into the next.
	blendParts = 32
	// changedShare is the share of experts that change places in between.
	changedShare = 0.1
)

func (g GroupSite) phase(step uint64) phase {
	var p phase
	if g.DriftSteps > 0 {
		p.order = step / g.DriftSteps
		p.blend = step % g.DriftSteps * blendParts / g.DriftSteps
	}
	if g.BurstSteps > 0 {
		p.burst = 1 + step/g.BurstSteps
	}
	return p
}

func (g GroupSite) sharesAt(s expertmap.Shape, p phase) expertmap.Counts {
	out := expertmap.NewCounts(s)
	for l := range out {
		now := zipfShares(s, g.Exponent, l, p.order)
		next := zipfShares(s, g.Exponent, l, p.order+1)
		f := float64(p.blend) / blendParts
		for e := range out[l] {
			out[l][e] = (1-f)*now[e] + f*next[e]
		}
		burst := p.burst
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

// zipfShares returns the shares of one layer after a number of changes of the
// order of its experts.
func zipfShares(s expertmap.Shape, exponent float64, layer int, order uint64) []float64 {
	rnd := rand.New(rand.NewPCG(uint64(layer), 7))
	perm := rnd.Perm(s.Experts)
	for range order {
		for range int(changedShare * float64(s.Experts)) {
			i, j := rnd.IntN(s.Experts), rnd.IntN(s.Experts)
			perm[i], perm[j] = perm[j], perm[i]
		}
	}
	out := make([]float64, s.Experts)
	sum := 0.0
	for i, e := range perm {
		out[e] = 1 / math.Pow(float64(i+1), exponent)
		sum += out[e]
	}
	for e := range out {
		out[e] /= sum
	}
	return out
}
