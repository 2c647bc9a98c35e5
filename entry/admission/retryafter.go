package admission

import (
	"time"
)

const (
	// minRetryAfter is the shortest time after which a caller may retry: slots are
	// released within one or two engine passes.
	minRetryAfter = 100 * time.Millisecond
	// maxWaitFraction bounds the time after which a caller is asked to retry, as a
	// fraction of its remaining time.
	maxWaitFraction = 1.0 / 3
	// jitterFraction is the fraction by which retry times vary, so that callers refused
	// by several processes at the same time do not retry together.
	jitterFraction = 0.2
)

// schedule assigns refused callers the times at which they may retry, one after another.
type schedule struct{ next time.Time }

// take returns the time after which a caller may retry: gap after the latest retry time
// assigned, but not before the time first, plus the jitter. It returns false, and assigns
// no retry time, if that is longest or more without the jitter.
func (s *schedule) take(first, gap, jitter, longest time.Duration, now time.Time) (time.Duration, bool) {
	at := now.Add(max(minRetryAfter, first))
	if s.next.After(at) {
		at = s.next
	}
	pause := at.Sub(now)
	if pause >= longest {
		return 0, false
	}
	s.next = at.Add(gap)
	return min(longest, pause+jitter), true
}

// Pacer assigns refused callers the times at which they may retry. It is not safe for
// concurrent use.
type Pacer struct{ schedule schedule }

// Pause returns the time after which a refused caller with the remaining time left may
// retry: after the latest retry time assigned, as far as the caller would wait for it. The
// draw is uniform in [0, 1).
func (p *Pacer) Pause(s Situation, left time.Duration, draw float64, now time.Time) time.Duration {
	longest := max(minRetryAfter, time.Duration(maxWaitFraction*float64(left)))
	gap, delay := s.slotInterval(), s.QueueDelay()
	if delay >= longest { // also if it is never
		return latestRetryAfter(longest, s.RecoversIn, draw)
	}
	pause, ok := p.schedule.take(delay, gap, time.Duration(draw*float64(gap)), longest, now)
	if !ok {
		return latestRetryAfter(longest, s.RecoversIn, draw)
	}
	return pause
}

// latestRetryAfter returns the retry time of a caller for which there is none within the
// bound. The caller retries as late as the bound allows, less a jitter, and not before
// the service is expected to serve again.
func latestRetryAfter(longest, earliest time.Duration, draw float64) time.Duration {
	return longest - time.Duration(jitterFraction*draw*float64(longest-min(longest, earliest)))
}
