package fleet

import (
	"math"
	"math/rand/v2"
	"sync"

	"baywall.example/core/expertmap"
	"baywall.example/standin/engine"
)

// Popularity returns a reproducible Zipf-like popularity of experts that drifts. It blends
// gradually from one ranking of the experts to the next, in which some of them have changed
// places. If BurstSteps is set, bursts give a few experts of a layer a large share of the
// load.
func (g GroupSite) Popularity(s expertmap.Shape) engine.Popularity {
	var mu sync.Mutex
	cached, key := expertmap.Counts(nil), phase{ranking: math.MaxUint64}
	return func(step uint64) expertmap.Counts {
		mu.Lock()
		defer mu.Unlock()
		if now := g.phase(step); now != key {
			cached, key = g.sharesAt(s, now), now
		}
		return cached
	}
}

// phase identifies a point in the drift of a popularity.
type phase struct {
	ranking uint64 // index of the ranking that the blend starts from
	blend   uint64 // weight of the next ranking, in units of 1/blendParts
	burst   uint64 // number of the burst in progress, 0 = none
}

const (
	// blendParts is the number of parts in which one ranking is blended into the next.
	blendParts = 32
	// changedShare is the share of experts that change places between two rankings.
	changedShare = 0.1
)

func (g GroupSite) phase(step uint64) phase {
	var p phase
	if g.DriftSteps > 0 {
		p.ranking = step / g.DriftSteps
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
		now := zipfShares(s, g.Exponent, l, p.ranking)
		next := zipfShares(s, g.Exponent, l, p.ranking+1)
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

// zipfShares returns the shares of the experts of one layer under the ranking with the given
// index.
func zipfShares(s expertmap.Shape, exponent float64, layer int, ranking uint64) []float64 {
	rnd := rand.New(rand.NewPCG(uint64(layer), 7))
	perm := rnd.Perm(s.Experts)
	for range ranking {
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
