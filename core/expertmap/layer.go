package expertmap

import "slices"

// layerState is one layer's placement with the time of each rank.
type layerState struct {
	slots    []int32
	perRank  int
	counts   []float64
	speeds   []float64
	replicas []int
	holders  [][]int   // ranks by expert, one entry per replica
	times    []float64 // by rank
	mean     float64
	fastest  []int     // scratch: the fastest ranks in ascending order of time
	powers   []float64 // scratch of norm, by rank
	powerSum float64
}

func newLayerState(slots []int32, counts []float64, perRank int, speeds []float64) *layerState {
	ranks := len(slots) / perRank
	s := &layerState{
		slots:    append([]int32(nil), slots...),
		perRank:  perRank,
		counts:   counts,
		speeds:   speeds,
		replicas: make([]int, len(counts)),
		holders:  make([][]int, len(counts)),
		times:    make([]float64, ranks),
		fastest:  make([]int, 0, 2*targetRanks),
	}
	for i, e := range slots {
		if e != Empty {
			s.replicas[e]++
			s.holders[e] = append(s.holders[e], i/perRank)
		}
	}
	for r := range ranks {
		s.times[r] = s.timeOf(r)
	}
	total := 0.0
	for _, n := range counts {
		total += n
	}
	s.mean = total / totalSpeed(speeds, ranks)
	return s
}

func (s *layerState) timeOf(rank int) float64 {
	sum := 0.0
	for _, e := range s.slots[rank*s.perRank : (rank+1)*s.perRank] {
		if e != Empty {
			sum += s.share(e)
		}
	}
	return sum / speedOf(s.speeds, rank)
}

// share returns the tokens that one replica of the expert gets.
func (s *layerState) share(e int32) float64 { return s.counts[e] / float64(s.replicas[e]) }

func (s *layerState) slowest() float64 { return slices.Max(s.times) }

// change writes an expert into one slot or swaps two slots.
type change struct {
	slot, with int   // with >= 0: swap the two slots
	expert     int32 // with < 0: what the slot holds afterwards
	score      float64
}

// improve applies the change that most reduces the time of the slowest rank and of the
// ranks it touches. It reports false if none does.
func (s *layerState) improve() bool {
	slow := 0
	for r := range s.times {
		if s.times[r] > s.times[slow] {
			slow = r
		}
	}
	s.findFastest()
	best := change{score: s.times[slow] - costEpsilon*s.mean}
	found := false
	for _, fast := range s.fastest[:min(targetRanks, len(s.fastest))] {
		if fast == slow {
			continue
		}
		found = s.bestSwap(slow, fast, &best) || found
	}
	found = s.bestReplica(slow, &best) || found
	if found {
		s.apply(best)
	}
	return found
}

// findFastest fills in the fastest ranks, in ascending order of time.
func (s *layerState) findFastest() {
	s.fastest = s.fastest[:0]
	for r, t := range s.times {
		at := len(s.fastest)
		for at > 0 && t < s.times[s.fastest[at-1]] {
			at--
		}
		if at == 2*targetRanks {
			continue
		}
		if len(s.fastest) == 2*targetRanks {
			s.fastest = s.fastest[:2*targetRanks-1]
		}
		s.fastest = slices.Insert(s.fastest, at, r)
	}
}

// bestSwap scores every swap of a slot of the slow rank with one of the fast.
// The score is the larger of the two ranks' times afterwards.
func (s *layerState) bestSwap(slow, fast int, best *change) bool {
	found := false
	slowSlots := s.slots[slow*s.perRank : (slow+1)*s.perRank]
	fastSlots := s.slots[fast*s.perRank : (fast+1)*s.perRank]
	for i, a := range slowSlots {
		if a == Empty || contains(fastSlots, a) {
			continue
		}
		for j, b := range fastSlots {
			gain := s.share(a)
			if b != Empty {
				if contains(slowSlots, b) {
					continue
				}
				gain -= s.share(b)
			}
			if gain <= 0 {
				continue
			}
			score := max(s.times[slow]-gain/speedOf(s.speeds, slow), s.times[fast]+gain/speedOf(s.speeds, fast))
			if score < best.score {
				*best = change{slot: slow*s.perRank + i, with: fast*s.perRank + j, score: score}
				found = true
			}
		}
	}
	return found
}

// bestReplica scores overwriting a redundant or empty slot of a fast rank with
// one more replica of an expert of the slow rank.
func (s *layerState) bestReplica(slow int, best *change) bool {
	found := false
	hot := s.hottest(slow)
	if hot == Empty {
		return false
	}
	for _, rank := range s.fastest[:min(2*targetRanks, len(s.fastest))] {
		row := s.slots[rank*s.perRank : (rank+1)*s.perRank]
		if rank == slow || contains(row, hot) {
			continue
		}
		for i, old := range row {
			if old != Empty && s.replicas[old] < 2 {
				continue
			}
			score := s.replicaScore(slow, rank, hot, old)
			if score < best.score {
				*best = change{slot: rank*s.perRank + i, with: -1, expert: hot, score: score}
				found = true
			}
		}
	}
	return found
}

// hottest returns the expert with the largest share on the rank.
func (s *layerState) hottest(rank int) int32 {
	hot := Empty
	for _, e := range s.slots[rank*s.perRank : (rank+1)*s.perRank] {
		if e != Empty && (hot == Empty || s.share(e) > s.share(hot)) {
			hot = e
		}
	}
	return hot
}

// replicaScore returns the largest time among the ranks that hold either expert after one
// replica of old on the rank is replaced by one of hot.
func (s *layerState) replicaScore(slow, rank int, hot, old int32) float64 {
	hotDrop := s.share(hot) - s.counts[hot]/float64(s.replicas[hot]+1)
	added := s.counts[hot] / float64(s.replicas[hot]+1)
	score := s.times[slow] - hotDrop/speedOf(s.speeds, slow)
	if old == Empty {
		return max(score, s.times[rank]+added/speedOf(s.speeds, rank))
	}
	oldRise := s.counts[old]/float64(s.replicas[old]-1) - s.share(old)
	score = max(score, s.times[rank]+(added-s.share(old))/speedOf(s.speeds, rank))
	for r := range s.times {
		if r == rank {
			continue
		}
		row := s.slots[r*s.perRank : (r+1)*s.perRank]
		if !contains(row, old) {
			continue
		}
		t := s.times[r] + oldRise/speedOf(s.speeds, r)
		if contains(row, hot) {
			t -= hotDrop / speedOf(s.speeds, r)
		}
		score = max(score, t)
	}
	return score
}

// rebalanceReplicas adds a replica of the expert with the largest share among those below
// their ideal number, in place of one of an expert above its own. It leads the search out
// of a placement in which no single change reduces the slowest rank's time.
func (s *layerState) rebalanceReplicas(ideal []int) bool {
	lacking := Empty
	for e := range ideal {
		if s.replicas[e] < ideal[e] && (lacking == Empty || s.share(int32(e)) > s.share(lacking)) {
			lacking = int32(e)
		}
	}
	if lacking == Empty {
		return false
	}
	best := -1
	for slot, old := range s.slots {
		rank := slot / s.perRank
		if old != Empty && s.replicas[old] <= ideal[old] {
			continue
		}
		if contains(s.slots[rank*s.perRank:(rank+1)*s.perRank], lacking) {
			continue
		}
		if best < 0 || s.times[rank] < s.times[best/s.perRank] {
			best = slot
		}
	}
	if best < 0 {
		return false
	}
	s.apply(change{slot: best, with: -1, expert: lacking})
	return true
}

// moveReplica records that a replica of an expert moved from one rank to another.
func (s *layerState) moveReplica(e int32, from, to int) {
	if e == Empty {
		return
	}
	s.holders[e][slices.Index(s.holders[e], from)] = to
}

func (s *layerState) apply(c change) {
	if c.with >= 0 {
		s.moveReplica(s.slots[c.slot], c.slot/s.perRank, c.with/s.perRank)
		s.moveReplica(s.slots[c.with], c.with/s.perRank, c.slot/s.perRank)
		s.slots[c.slot], s.slots[c.with] = s.slots[c.with], s.slots[c.slot]
		s.times[c.slot/s.perRank] = s.timeOf(c.slot / s.perRank)
		s.times[c.with/s.perRank] = s.timeOf(c.with / s.perRank)
		return
	}
	old := s.slots[c.slot]
	if old != Empty {
		s.replicas[old]--
		at := slices.Index(s.holders[old], c.slot/s.perRank)
		s.holders[old] = slices.Delete(s.holders[old], at, at+1)
	}
	s.replicas[c.expert]++
	s.holders[c.expert] = append(s.holders[c.expert], c.slot/s.perRank)
	s.slots[c.slot] = c.expert
	for r := range s.times {
		row := s.slots[r*s.perRank : (r+1)*s.perRank]
		if r == c.slot/s.perRank || contains(row, c.expert) || old != Empty && contains(row, old) {
			s.times[r] = s.timeOf(r)
		}
	}
}
