package retry

import "time"

// ring holds a value for each of the latest intervals of time. It is not safe for
// concurrent use.
type ring struct {
	origin time.Time
	width  time.Duration
	newest int64 // number of the newest interval, counted from origin
	values []float64
}

func newRing(n int, width time.Duration, now time.Time) ring {
	return ring{origin: now, width: width, values: make([]float64, n)}
}

// advance clears the intervals that have become too old.
func (r *ring) advance(now time.Time) {
	n := int64(len(r.values))
	newest := int64(now.Sub(r.origin) / r.width)
	for i := max(r.newest+1, newest-n+1); i <= newest; i++ {
		r.values[i%n] = 0
	}
	r.newest = max(r.newest, newest)
}

// add adds to the value of the current interval.
func (r *ring) add(v float64, now time.Time) {
	r.advance(now)
	r.values[r.newest%int64(len(r.values))] += v
}

// sum returns the sum of all values.
func (r *ring) sum(now time.Time) float64 {
	r.advance(now)
	total := 0.0
	for _, v := range r.values {
		total += v
	}
	return total
}

// oldest returns the values in order of time, the oldest first, as pointers into the ring.
func (r *ring) oldest() []*float64 {
	n := int64(len(r.values))
	out := make([]*float64, 0, n)
	for i := range n {
		out = append(out, &r.values[(r.newest+1+i)%n])
	}
	return out
}
