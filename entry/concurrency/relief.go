package concurrency

import "time"

const (
	// maxRefused is the largest part of the requests that may be refused for the sake of the
	// gap target. A late stream is worth about half of one on time, so that refusing more
	// costs callers more than late events of some of the streams.
	maxRefused = 0.25
	// refusedWeight is the weight of the newest request in the smoothed part that is refused.
	refusedWeight = 0.02
	// reliefTime is how long the part has to exceed maxRefused until there is no limit any
	// more, and how long it has to stay below until the whole limit applies again. The
	// limit stays in force during shorter surges.
	reliefTime = 4 * time.Second
)

// relief raises the limit towards the slots while too many requests are refused.
type relief struct {
	refused float64 // smoothed fraction of the requests
	raised  float64 // fraction of the way from the limit to the slots, 0 to 1
	at      time.Time
}

// decided records that a request was refused, or got a slot.
func (r *relief) decided(refused bool, now time.Time) {
	newest := 0.0
	if refused {
		newest = 1
	}
	r.advance(now)
	r.refused += refusedWeight * (newest - r.refused)
}

// advance moves the limit by the time passed.
func (r *relief) advance(now time.Time) {
	passed := float64(now.Sub(r.at)) / float64(reliefTime)
	r.at = now
	switch {
	case passed >= 1: // no requests meanwhile
		*r = relief{at: now}
	case r.refused > maxRefused:
		r.raised = min(1, r.raised+passed)
	default:
		r.raised = max(0, r.raised-passed)
	}
}
