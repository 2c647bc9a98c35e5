package expertmap

import (
	"math"
	"slices"
)

const (
	// slowRanks is the number of slowest ranks of a layer for which changes are searched.
	slowRanks = 2
	// hotExperts is the number of a slow rank's experts that are tried, those with the
	// largest shares.
	hotExperts = 4
)

// Improve plans like Plan, for groups that switch maps often and copy experts slowly: it
// takes single changes of any layer, largest gain for each copied expert first, until no
// rank may load more or no gain is worth its copies. It measures the skew of a layer by a
// norm of the ranks' times over their mean that is close to the maximum, so that most
// single changes have a measurable effect.
func Improve(in Input) (Result, error) {
	if err := in.validate(); err != nil {
		return Result{}, err
	}
	if in.Current.Validate(in.Shape) != nil {
		return Plan(in)
	}
	s := newSearch(in)
	before := Skew(in.Current, in.Counts, in.Shape.Slots, in.Speeds)
	for s.step(in.Price) {
	}
	res := Result{Map: Map{Version: in.Current.Version}, SkewBefore: before}
	for _, l := range s.layers {
		res.Map.Layers = append(res.Map.Layers, l.slots)
	}
	res.SkewAfter = Skew(res.Map, in.Counts, in.Shape.Slots, in.Speeds)
	res.Moves = Moves(in.Current, res.Map, in.Shape.Slots)
	if res.Moves > 0 {
		res.Map.Version++
	}
	return res, nil
}

// search is the state of Improve.
type search struct {
	in         Input
	layers     []*layerState
	best       []candidate // by layer
	stale      []bool      // best has to be searched again
	rankLoads  []int       // experts to load, by rank
	layerLoads [][]int     // experts to load, by layer and rank
}

// candidate is a change of one layer with its gain.
type candidate struct {
	change
	copies [2]int // ranks that have to load an expert, -1 = none
	gain   float64
	found  bool
}

func newSearch(in Input) *search {
	s := &search{in: in, rankLoads: make([]int, in.Shape.Ranks)}
	for l := range in.Shape.Layers {
		s.layers = append(s.layers, newLayerState(in.Current.Layers[l], in.Counts[l], in.Shape.Slots, in.Speeds))
		s.layerLoads = append(s.layerLoads, make([]int, in.Shape.Ranks))
	}
	s.best = make([]candidate, in.Shape.Layers)
	s.stale = make([]bool, in.Shape.Layers)
	for l := range s.stale {
		s.stale[l] = true
	}
	return s
}

// step applies the change with the largest gain if that exceeds the price.
func (s *search) step(price float64) bool {
	pick := -1
	for l := range s.layers {
		if s.stale[l] {
			s.best[l] = s.bestOf(l)
			s.stale[l] = false
		}
		if c := s.best[l]; c.found && c.gain > price && (pick < 0 || c.gain > s.best[pick].gain) {
			pick = l
		}
	}
	if pick < 0 {
		return false
	}
	c := s.best[pick]
	s.layers[pick].apply(c.change)
	for _, r := range c.copies {
		if r >= 0 {
			s.rankLoads[r]++
			s.layerLoads[pick][r]++
		}
	}
	for l := range s.stale {
		s.stale[l] = s.stale[l] || l == pick || s.blocked(l, s.best[l])
	}
	return true
}

// blocked reports whether a candidate would exceed the number of experts that a rank may
// load.
func (s *search) blocked(l int, c candidate) bool {
	for _, r := range c.copies {
		if r >= 0 && !s.mayLoad(l, r) {
			return true
		}
	}
	return false
}

func (s *search) mayLoad(l, rank int) bool {
	if s.in.MaxNewTotal > 0 && s.rankLoads[rank] >= s.in.MaxNewTotal {
		return false
	}
	return s.in.MaxNew <= 0 || s.layerLoads[l][rank] < s.in.MaxNew
}

// bestOf returns the layer's change with the largest gain for each copy.
func (s *search) bestOf(l int) candidate {
	layer := s.layers[l]
	best := candidate{copies: [2]int{-1, -1}}
	if layer.mean == 0 {
		return best
	}
	now := layer.norm()
	layer.findFastest()
	for _, slow := range layer.slowestRanks() {
		s.replicas(l, slow, now, &best)
		s.swaps(l, slow, now, &best)
	}
	return best
}

// norm returns the layer's skew in the norm, and keeps the ranks' powers for normAfter.
func (s *layerState) norm() float64 {
	s.powers = s.powers[:0]
	s.powerSum = 0
	for _, t := range s.times {
		p := power(t / s.mean)
		s.powers = append(s.powers, p)
		s.powerSum += p
	}
	return s.root(s.powerSum)
}

// root returns the norm for a sum of eighth powers: the eighth root of their mean.
func (s *layerState) root(sum float64) float64 {
	return math.Sqrt(math.Sqrt(math.Sqrt(max(0, sum) / float64(len(s.times)))))
}

// power returns the eighth power of x. The norm with this exponent approximates the
// slowest rank's time: the exponent is large enough to follow it, and small enough that a
// change of the second slowest rank still counts.
func power(x float64) float64 {
	x *= x
	x *= x
	return x * x
}

// slowestRanks returns the slowRanks slowest ranks.
func (s *layerState) slowestRanks() [slowRanks]int {
	first, second := 0, -1
	for r, t := range s.times {
		switch {
		case t > s.times[first]:
			first, second = r, first
		case r != first && (second < 0 || t > s.times[second]):
			second = r
		}
	}
	return [slowRanks]int{first, max(second, 0)}
}

// replicas tries one more replica of each of the slow rank's hottest experts, in place of
// a redundant one elsewhere.
func (s *search) replicas(l, slow int, now float64, best *candidate) {
	layer := s.layers[l]
	for _, at := range layer.hottestSlots(slow) {
		hot := layer.slots[at]
		for _, rank := range layer.fastest {
			if rank == slow || layer.times[rank] >= layer.times[slow] || !s.mayLoad(l, rank) || contains(layer.row(rank), hot) {
				continue
			}
			for i, old := range layer.row(rank) {
				if old != Empty && layer.replicas[old] < 2 {
					continue
				}
				c := candidate{change: change{slot: rank*layer.perRank + i, with: -1, expert: hot}, copies: [2]int{rank, -1}}
				best.consider(c, now-layer.normAfter(c.change), 1)
			}
		}
	}
}

// swaps tries to swap each of the slow rank's hottest experts with one of a smaller
// share.
func (s *search) swaps(l, slow int, now float64, best *candidate) {
	layer := s.layers[l]
	if !s.mayLoad(l, slow) {
		return
	}
	hot := layer.hottestSlots(slow)
	for _, rank := range layer.fastest {
		if rank == slow || layer.times[rank] >= layer.times[slow] || !s.mayLoad(l, rank) {
			continue
		}
		for _, at := range hot {
			a := layer.slots[at]
			if contains(layer.row(rank), a) {
				continue
			}
			for j, b := range layer.row(rank) {
				if b == Empty || layer.share(b) >= layer.share(a) || contains(layer.row(slow), b) {
					continue
				}
				c := candidate{change: change{slot: at, with: rank*layer.perRank + j}, copies: [2]int{slow, rank}}
				best.consider(c, now-layer.normAfter(c.change), 2)
			}
		}
	}
}

// hottestSlots returns the rank's slots with the largest shares, in descending order.
func (s *layerState) hottestSlots(rank int) []int {
	out := make([]int, 0, hotExperts+1)
	for i, e := range s.row(rank) {
		if e == Empty {
			continue
		}
		at := len(out)
		for at > 0 && s.share(e) > s.share(s.slots[out[at-1]]) {
			at--
		}
		out = slices.Insert(out, at, rank*s.perRank+i)
		out = out[:min(len(out), hotExperts)]
	}
	return out
}

func (c *candidate) consider(other candidate, gain float64, copies int) {
	if other.gain = gain / float64(copies); other.gain > c.gain+costEpsilon {
		other.found = true
		*c = other
	}
}

func (s *layerState) row(rank int) []int32 { return s.slots[rank*s.perRank : (rank+1)*s.perRank] }

// normAfter returns the norm that the layer would have after the change. It relies on the
// powers that norm stored, so norm must have been called since the last change was
// applied.
func (s *layerState) normAfter(c change) float64 {
	at := c.slot / s.perRank
	sum := s.powerSum + s.powerDelta(c, at)
	if c.with >= 0 {
		return s.root(sum + s.powerDelta(c, c.with/s.perRank))
	}
	for _, r := range s.holders[c.expert] {
		sum += s.powerDelta(c, r)
	}
	if old := s.slots[c.slot]; old != Empty {
		for _, r := range s.holders[old] {
			if r != at && !contains(s.row(r), c.expert) {
				sum += s.powerDelta(c, r)
			}
		}
	}
	return s.root(sum)
}

// powerDelta returns by how much the change alters a rank's power.
func (s *layerState) powerDelta(c change, r int) float64 {
	return power((s.times[r]+s.timeDelta(c, r))/s.mean) - s.powers[r]
}

// timeDelta returns by how much the change alters a rank's time.
func (s *layerState) timeDelta(c change, rank int) float64 {
	d := 0.0
	if c.with >= 0 {
		moved := s.share(s.slots[c.slot]) - s.share(s.slots[c.with])
		switch rank {
		case c.slot / s.perRank:
			d = -moved
		case c.with / s.perRank:
			d = moved
		}
		return d / speedOf(s.speeds, rank)
	}
	row := s.row(rank)
	fewer := s.counts[c.expert] / float64(s.replicas[c.expert]+1)
	if rank == c.slot/s.perRank {
		d += fewer
	} else if contains(row, c.expert) {
		d += fewer - s.share(c.expert)
	}
	if old := s.slots[c.slot]; old != Empty {
		if rank == c.slot/s.perRank {
			d -= s.share(old)
		} else if contains(row, old) {
			d += s.counts[old]/float64(s.replicas[old]-1) - s.share(old)
		}
	}
	return d / speedOf(s.speeds, rank)
}
