package balance

import (
	"slices"
	"time"
)

// candidate is a server that may take a request.
type candidate struct {
	index int     // in the shard's usable servers
	slots float64 // at least 1
	score float64 // load over slots, plus the additions for long gaps, slow ranks and other zones
	// limited is set if the server has a limit.
	limited bool
}

// drawCandidate draws one of the candidates and returns its index. Requests that other
// gateways send in the meantime, which are not reported yet, are assumed to be spread in
// the same way: the probability of a server is proportional to the number of requests
// that fit on it below the level to which all these requests together would raise the
// least loaded servers. Without such requests, the least loaded server is chosen. The draw
// is uniform in [0, 1). The candidates are reordered.
func drawCandidate(c []candidate, unreported, draw float64) int {
	slices.SortFunc(c, func(a, b candidate) int {
		switch {
		case a.score < b.score:
			return -1
		case a.score > b.score:
			return 1
		default:
			return 0
		}
	})
	level, below := fillLevel(c, max(1, unreported))
	at := draw * capacity(c[:below], level)
	for _, one := range c[:below] {
		if at -= one.slots * (level - one.score); at < 0 {
			return one.index
		}
	}
	return c[0].index
}

// fillLevel returns the level to which the requests would raise the load of the least
// loaded candidates, and how many candidates are below it.
func fillLevel(c []candidate, requests float64) (level float64, below int) {
	slots, taken := 0.0, 0.0 // of the candidates below the level
	for i, one := range c {
		if i > 0 && (requests+taken)/slots <= one.score {
			return (requests + taken) / slots, i
		}
		slots += one.slots
		taken += one.slots * one.score
	}
	return (requests + taken) / slots, len(c)
}

// capacity returns how many requests fit below the level.
func capacity(c []candidate, level float64) float64 {
	sum := 0.0
	for _, one := range c {
		sum += one.slots * (level - one.score)
	}
	return sum
}

const (
	// arrivalWindow is the time over which arrivals are counted.
	arrivalWindow = 500 * time.Millisecond
	// arrivalWeight is the weight of the newest window in the smoothed rate.
	arrivalWeight = 0.5
)

// arrivals measures the rate of requests.
type arrivals struct {
	since  time.Time
	count  int
	smooth float64 // per second
}

// note counts an arrival.
func (a *arrivals) note(now time.Time) {
	if a.since.IsZero() {
		a.since = now
	}
	if passed := now.Sub(a.since); passed >= arrivalWindow {
		newest := float64(a.count) / passed.Seconds()
		if a.smooth == 0 {
			a.smooth = newest
		}
		a.smooth += arrivalWeight * (newest - a.smooth)
		a.since, a.count = now, 0
	}
	a.count++
}

// rate returns the smoothed number of arrivals per second.
func (a *arrivals) rate() float64 { return a.smooth }

// rateAt returns the arrivals per second at a time. Before the end of the first window it
// is computed from the arrivals so far. If no arrival has ended an overdue window, the
// rate drops with the time passed.
func (a *arrivals) rateAt(now time.Time) float64 {
	passed := now.Sub(a.since)
	switch {
	case a.since.IsZero():
		return 0
	case a.smooth == 0:
		return float64(a.count) / max(passed, arrivalWindow/4).Seconds()
	case passed > arrivalWindow:
		return min(a.smooth, float64(a.count)/passed.Seconds())
	default:
		return a.smooth
	}
}
