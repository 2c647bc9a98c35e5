package admission

import (
	"slices"
	"time"
)

// QueueEntry is the entry of a request in a PermitQueue.
type QueueEntry struct {
	// Retry is set if the request was attempted before.
	Retry bool
	// Priority is the priority of the request, 0 is the most urgent.
	Priority int
	// Until is the time by which the request has to be sent.
	Until time.Time
}

// before reports whether the request is sent before another one: first attempts precede
// others, then the priority decides, then the earlier deadline.
func (e *QueueEntry) before(o *QueueEntry) bool {
	switch {
	case e.Retry != o.Retry:
		return o.Retry
	case e.Priority != o.Priority:
		return e.Priority < o.Priority
	default:
		return e.Until.Before(o.Until)
	}
}

// PermitQueue holds the requests that wait for a permit to be sent to servers with limits,
// or for the end of a backoff. It is not safe for concurrent use.
type PermitQueue struct{ entries []*QueueEntry }

// Join adds a request.
func (q *PermitQueue) Join(e *QueueEntry) { q.entries = append(q.entries, e) }

// Leave removes a request.
func (q *PermitQueue) Leave(e *QueueEntry) {
	q.entries = slices.DeleteFunc(q.entries, func(o *QueueEntry) bool { return o == e })
}

// Empty reports whether the queue is empty.
func (q *PermitQueue) Empty() bool { return len(q.entries) == 0 }

// Ahead returns how many requests in the queue precede a request, which may be one of
// them.
func (q *PermitQueue) Ahead(e *QueueEntry) int {
	n := 0
	for _, o := range q.entries {
		if o != e && o.before(e) {
			n++
		}
	}
	return n
}

// PermitWait returns for how long a request may wait for a permit: until it becomes late
// or its caller leaves.
func (r Request) PermitWait() time.Duration {
	if r.Objective == 0 {
		return r.SlotWait()
	}
	return min(r.Slack(), r.SlotWait())
}

// QueueEstimate estimates when a server that is at its limit or in a backoff takes a
// request.
type QueueEstimate struct {
	// Next is the time until a server takes the next request.
	Next time.Duration
	// Queue is the estimated time that the requests ahead take after Next, and Gap the
	// estimated interval between two requests.
	Queue, Gap time.Duration
}

// total returns the expected wait.
func (e QueueEstimate) total() time.Duration { return e.Next + e.Queue }

// PermitWaitLimit returns the longest time for which a request waits for a permit. All of
// the expected wait is an estimate.
func (e QueueEstimate) PermitWaitLimit() time.Duration { return e.total() * safetyFactor }

// BackoffWaitLimit returns the longest time for which a request waits for the end of a
// backoff. The end itself is known; the wait after it is an estimate.
func (e QueueEstimate) BackoffWaitLimit() time.Duration { return e.Next + safetyFactor*(e.Queue+e.Gap) }

// MayWaitForPermit reports whether a request waits for a permit: only if the permit is
// sure to come in time. A late request does not take a permit that others need.
func MayWaitForPermit(r Request, e QueueEstimate) bool {
	return r.Urgency() == OnTime && e.total()*safetyFactor < r.PermitWait()
}

// MayWaitForBackoff reports whether a request waits for the end of a backoff, even if it
// becomes late: only if it is expected to be sent in half of the time until its caller
// leaves, since the server may ask for another backoff.
func MayWaitForBackoff(r Request, e QueueEstimate) bool {
	return r.Urgency() != Hopeless && e.total()*safetyFactor < r.SlotWait()
}

// MayKeepWaitingForBackoff reports whether a request that already waits for the end of a
// backoff goes on waiting: unless a new backoff lasts longer than its caller waits.
func MayKeepWaitingForBackoff(r Request, e QueueEstimate) bool {
	return r.Urgency() != Hopeless && e.Next < r.SlotWait()
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
func (p *PermitPacer) Pause(e QueueEstimate, draw float64, now time.Time) time.Duration {
	return p.pause(e, 0, draw, now)
}

// PauseAfterBackoff is like Pause if no request is served before the end of a backoff.
func (p *PermitPacer) PauseAfterBackoff(e QueueEstimate, draw float64, now time.Time) time.Duration {
	return p.pause(e, e.Next, draw, now)
}

// pause returns a time between the end of the backoff and maxRetryAfter after it.
func (p *PermitPacer) pause(e QueueEstimate, backoff time.Duration, draw float64, now time.Time) time.Duration {
	longest := backoff + maxRetryAfter
	jitter := time.Duration(draw * float64(min(e.Gap, maxRetryAfter)))
	pause, ok := p.schedule.take(e.total(), e.Gap, jitter, longest, now)
	if !ok {
		return latestRetryAfter(longest, backoff, draw)
	}
	return pause
}
