package expertmap

// Counts are the tokens routed to each expert, by layer.
type Counts [][]float64

// NewCounts returns zero counts of the shape.
func NewCounts(s Shape) Counts {
	c := make(Counts, s.Layers)
	for l := range c {
		c[l] = make([]float64, s.Experts)
	}
	return c
}

// Clone returns a deep copy.
func (c Counts) Clone() Counts {
	out := make(Counts, len(c))
	for l := range c {
		out[l] = append([]float64(nil), c[l]...)
	}
	return out
}

// Smooth merges newer counts in with the weight alpha, from 0 to 1.
func (c Counts) Smooth(newer Counts, alpha float64) {
	for l := range c {
		for e := range c[l] {
			c[l][e] += alpha * (newer[l][e] - c[l][e])
		}
	}
}

// Skew returns the step time of the map over that of a perfectly even spread: the sum
// over layers of the slowest rank's time, over the sum of the means. Speeds are by rank;
// nil means that all are equal.
func Skew(m Map, counts Counts, slots int, speeds []float64) float64 {
	slowest, mean := 0.0, 0.0
	for l := range m.Layers {
		s := newLayerState(m.Layers[l], counts[l], slots, speeds)
		slowest += s.slowest()
		mean += s.mean
	}
	if mean == 0 {
		return 1
	}
	return slowest / mean
}

// LowerBound returns a skew that no map of the shape can beat: an expert's
// tokens can be split over at most as many replicas as there are ranks and
// spare slots.
func LowerBound(counts Counts, s Shape, speeds []float64) float64 {
	replicas := min(s.Ranks, s.Ranks*s.Slots-s.Experts+1)
	maxSpeed := 0.0
	for r := range s.Ranks {
		maxSpeed = max(maxSpeed, speedOf(speeds, r))
	}
	slowest, mean := 0.0, 0.0
	for l := range counts {
		total, hottest := 0.0, 0.0
		for _, n := range counts[l] {
			total += n
			hottest = max(hottest, n)
		}
		layerMean := total / totalSpeed(speeds, s.Ranks)
		slowest += max(layerMean, hottest/float64(replicas)/maxSpeed)
		mean += layerMean
	}
	if mean == 0 {
		return 1
	}
	return slowest / mean
}

func speedOf(speeds []float64, rank int) float64 {
	if rank >= len(speeds) || speeds[rank] <= 0 {
		return 1
	}
	return speeds[rank]
}

func totalSpeed(speeds []float64, ranks int) float64 {
	sum := 0.0
	for r := range ranks {
		sum += speedOf(speeds, r)
	}
	return sum
}
