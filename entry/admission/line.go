package admission

import (
	"slices"
	"time"
)

// Place is the position of a request in a Line.
type Place struct {
	// Again is set if the request was attempted before.
	Again bool
	// Priority is the priority of the request, 0 is the most urgent.
	Priority int
	// Until is the time by which the request has to be sent.
	Until time.Time
}

// before reports whether the request is sent before another one: first attempts precede
// others, then the priority decides, then the earlier deadline.
func (p *Place) before(o *Place) bool {
	switch {
	case p.Again != o.Again:
		return o.Again
	case p.Priority != o.Priority:
		return p.Priority < o.Priority
	default:
		return p.Until.Before(o.Until)
	}
}

// Line is the queue of requests that wait for a permit to be sent to servers with limits,
// or for the end of a backoff. It is not safe for concurrent use.
type Line struct{ places []*Place }

// Join adds a request.
func (l *Line) Join(p *Place) { l.places = append(l.places, p) }

// Leave removes a request.
func (l *Line) Leave(p *Place) {
	l.places = slices.DeleteFunc(l.places, func(o *Place) bool { return o == p })
}

// Empty reports whether the queue is empty.
func (l *Line) Empty() bool { return len(l.places) == 0 }

// Ahead returns how many requests in the queue precede a request, which may be one of
// them.
func (l *Line) Ahead(p *Place) int {
	n := 0
	for _, o := range l.places {
		if o != p && o.before(p) {
			n++
		}
	}
	return n
}

// PermitWait returns for how long a request may wait for a permit: until it becomes late
// or its caller leaves.
func (r Request) PermitWait() time.Duration {
	if r.Objective == 0 {
		return r.PlacesBefore()
	}
	return min(r.Slack(), r.PlacesBefore())
}

// Turn estimates when a server that is at its limit or in a backoff takes a request.
type Turn struct {
	// Next is the time until a server takes the next request.
	Next time.Duration
	// Queue is the estimated time that the requests ahead take after Next, and Gap the
	// estimated interval between two requests.
	Queue, Gap time.Duration
}

// total returns the expected wait.
func (t Turn) total() time.Duration { return t.Next + t.Queue }

// PermitBy returns the longest time for which a request waits for a permit. All of the
// expected wait is an estimate.
func (t Turn) PermitBy() time.Duration { return t.total() * safetyFactor }

// BackoffWaitLimit returns the longest time for which a request waits for the end of a backoff. The
// end itself is known; the wait after it is an estimate.
func (t Turn) BackoffWaitLimit() time.Duration { return t.Next + safetyFactor*(t.Queue+t.Gap) }

// MayWaitForPermit reports whether a request waits for a permit: only if the permit is
// sure to come in time. A late request does not take a permit that others need.
func MayWaitForPermit(r Request, t Turn) bool {
	return r.Urgency() == OnTime && t.total()*safetyFactor < r.PermitWait()
}

// MayWaitForBackoff reports whether a request waits for the end of a backoff, even if it
// becomes late: only if it is expected to be sent in half of the time until its caller
// leaves, since the server may ask for another backoff.
func MayWaitForBackoff(r Request, t Turn) bool {
	return r.Urgency() != Hopeless && t.total()*safetyFactor < r.PlacesBefore()
}

// MayKeepWaitingForBackoff reports whether a request that already waits for the end of a backoff
// goes on waiting: unless a new backoff lasts longer than its caller waits.
func MayKeepWaitingForBackoff(r Request, t Turn) bool {
	return r.Urgency() != Hopeless && t.Next < r.PlacesBefore()
}

// maxRetryAfter bounds the time after which a caller may retry that was refused for lack
// of a permit, or the time between the end of a backoff and the retry: limits change
// within seconds.
const maxRetryAfter = 5 * time.Second

// PermitPacer assigns retry times to callers that were refused for lack of a permit, or
// because all servers are in a backoff. It is not safe for concurrent use.
type PermitPacer struct{ schedule schedule }

// Pause returns the time after which a refused caller may retry: after the latest retry
// time assigned. The draw is uniform in [0, 1).
func (p *PermitPacer) Pause(t Turn, draw float64, now time.Time) time.Duration {
	return p.pause(t, 0, draw, now)
}

// PauseAfterBackoff is like Pause if no request is served before the end of a backoff.
func (p *PermitPacer) PauseAfterBackoff(t Turn, draw float64, now time.Time) time.Duration {
	return p.pause(t, t.Next, draw, now)
}

// pause returns a time between the end of the backoff and maxRetryAfter after it.
func (p *PermitPacer) pause(t Turn, backoff time.Duration, draw float64, now time.Time) time.Duration {
	longest := backoff + maxRetryAfter
	jitter := time.Duration(draw * float64(min(t.Gap, maxRetryAfter)))
	pause, ok := p.schedule.take(t.total(), t.Gap, jitter, longest, now)
	if !ok {
		return latestRetryAfter(longest, backoff, draw)
	}
	return pause
}
