package expertmap

import (
	"math"
	"time"
)

const (
	// minSimilarity is the cosine between new counts of a layer and the estimate below
	// which the demand has changed. Counts of one pass of 12 ranks with 80 requests have
	// a cosine of 0.94 and more with those of the pass before, and of 0.4 and less when
	// three quarters of the popular experts have changed.
	minSimilarity = 0.85
)

// Demand estimates the present demand for each expert. Counts of one pass are noisy, so
// they are smoothed; but demand changes abruptly, so the estimate of a layer starts anew
// if new counts do not resemble it. Without both, a plan follows either the noise or the
// past.
type Demand struct {
	counts Counts
	weight float64
	added  []int // counts in the estimate, by layer
}

// NewDemand returns the estimate of a group without any counts yet. While the demand
// stays the same, new counts get the weight, from 0 to 1.
func NewDemand(s Shape, weight float64) *Demand {
	return &Demand{counts: NewCounts(s), weight: weight, added: make([]int, s.Layers)}
}

// Add adds the counts since the last call, and returns the number of layers in which the
// demand has changed. Layers without any counts stay unchanged.
func (d *Demand) Add(newer Counts) (changed int) {
	for l := range newer {
		total := 0.0
		for _, n := range newer[l] {
			total += n
		}
		if total == 0 {
			continue
		}
		if d.added[l] > 0 && cosine(d.counts[l], newer[l]) < minSimilarity {
			changed++
			d.added[l] = 0
		}
		d.added[l]++
		weight := max(d.weight, 1/float64(d.added[l])) // a plain mean at first
		for e, n := range newer[l] {
			d.counts[l][e] += weight * (n/total - d.counts[l][e])
		}
	}
	return changed
}

// Empty reports whether there are no counts yet.
func (d *Demand) Empty() bool {
	for _, n := range d.added {
		if n > 0 {
			return false
		}
	}
	return true
}

// Counts returns the estimate: for each layer, the share of its tokens that each
// expert gets. It changes with the next Add.
func (d *Demand) Counts() Counts { return d.counts }

// cosine returns the cosine of the angle between two vectors, 0 if one of them is
// zero.
func cosine(a, b []float64) float64 {
	ab, aa, bb := 0.0, 0.0, 0.0
	for i := range a {
		ab += a[i] * b[i]
		aa += a[i] * a[i]
		bb += b[i] * b[i]
	}
	if aa == 0 || bb == 0 {
		return 0
	}
	return ab / math.Sqrt(aa*bb)
}

const (
	// intervalWeight is the weight of the newest interval between two changes of the
	// demand in the moving average of the intervals.
	intervalWeight = 0.3
	// minRemainingShare is the least time for which the demand is expected to last, as a
	// fraction of that average.
	minRemainingShare = 0.25
	// mergeTime is the time within which changes of several layers count as one change.
	mergeTime = 500 * time.Millisecond
	// defaultInterval is the interval that is assumed until one has been observed: a
	// coordinator that has just started must not wait with its first plan. At the users'
	// sites demand changes every few seconds.
	defaultInterval = 4 * time.Second
)

// DemandLifetime estimates how long the present demand will last, from the intervals
// between its changes.
type DemandLifetime struct {
	changed  time.Time     // time of the latest change
	observed bool          // a change was observed
	mean     time.Duration // interval between changes, 0 = not yet observed
}

// NewDemandLifetime returns the estimate of a group whose demand is observed for the first
// time.
func NewDemandLifetime(now time.Time) *DemandLifetime { return &DemandLifetime{changed: now} }

// Changed records a change of the demand.
func (l *DemandLifetime) Changed(now time.Time) {
	interval := now.Sub(l.changed)
	if interval < mergeTime {
		return
	}
	l.changed = now
	if !l.observed {
		l.observed = true // observation may have started long before the first demand
		return
	}
	if l.mean == 0 {
		l.mean = interval
	}
	l.mean += time.Duration(intervalWeight * float64(interval-l.mean))
}

// Remaining returns for how much longer the present demand is expected to last.
func (l *DemandLifetime) Remaining(now time.Time) time.Duration {
	age := now.Sub(l.changed)
	mean := max(l.mean, age)
	if l.mean == 0 {
		mean = max(defaultInterval, age)
	}
	return max(mean-age, time.Duration(minRemainingShare*float64(mean)))
}
