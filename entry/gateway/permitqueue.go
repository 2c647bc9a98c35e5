package gateway

import (
	"math/rand/v2"
	"time"

	"baywall.example/entry/admission"
	"baywall.example/entry/balance"
)

// If all servers are at their limits or in backoff, a request waits in a queue for its
// slot, or it is refused and its caller retries when a slot is expected. Package admission
// decides which.

// newQueueEntry returns the entry with which the request joins the permit queue.
func (q *request) newQueueEntry(now time.Time) *admission.QueueEntry {
	wait := q.admissionRequest(now).PermitWait()
	return &admission.QueueEntry{Retry: q.sequence.Attempts() > 0, Priority: q.priority, Until: now.Add(wait)}
}

// queueAvailability returns why the request may not look for a server now, because as many
// more urgent requests wait as servers can take one: balance.Limited or balance.InBackoff.
// It returns balance.Available if the request may look.
func (q *request) queueAvailability(now time.Time) balance.Availability {
	s := q.state
	if q.permitWait == nil && !s.hasPermitQueue() {
		return balance.Available
	}
	ahead := s.aheadInQueue(q.currentOrNewEntry(now))
	if ahead == 0 {
		return balance.Available
	}
	p := q.g.registry.Permits(q.service, now)
	switch {
	case ahead < p.Open:
		return balance.Available
	case p.InBackoff > 0:
		return balance.InBackoff
	default:
		return balance.Limited
	}
}

// currentOrNewEntry returns the request's entry in the permit queue, or the one with which
// it would join.
func (q *request) currentOrNewEntry(now time.Time) *admission.QueueEntry {
	if q.permitWait != nil {
		return q.permitWait
	}
	return q.newQueueEntry(now)
}

// queueEstimate returns when the request can expect to be accepted by a server that is at
// its limit or in backoff.
func (q *request) queueEstimate(now time.Time) admission.QueueEstimate {
	p := q.g.registry.Permits(q.service, now)
	gap := maxPermitGap
	if p.PerSecond > 0 {
		gap = min(gap, time.Duration(float64(q.g.node.Members())/p.PerSecond*float64(time.Second)))
	}
	ahead := q.state.aheadInQueue(q.currentOrNewEntry(now))
	return admission.QueueEstimate{Next: p.Next, Queue: time.Duration(ahead) * gap, Gap: gap}
}

// maxPermitGap bounds the estimated time between two permits, far beyond any wait that
// occurs.
const maxPermitGap = time.Minute

// mayWaitForPermit reports whether the request waits until a server that is at its limit
// accepts another request. A request that may have run does wait, as no definite outcome
// can be reported before.
func (q *request) mayWaitForPermit(admissionRequest admission.Request, now time.Time) bool {
	if q.sequence.MayHaveRun() {
		return admissionRequest.Urgency() != admission.Hopeless
	}
	if q.permitWait != nil {
		return now.Before(q.queueUntil) && admissionRequest.Urgency() == admission.OnTime
	}
	return admission.MayWaitForPermit(admissionRequest, q.queueEstimate(now))
}

// mayWaitForBackoff reports whether the request waits for the end of a server's backoff.
func (q *request) mayWaitForBackoff(admissionRequest admission.Request, now time.Time) bool {
	if q.permitWait != nil {
		return now.Before(q.queueUntil) && admission.MayKeepWaitingForBackoff(admissionRequest, q.queueEstimate(now))
	}
	return admission.MayWaitForBackoff(admissionRequest, q.queueEstimate(now))
}

// permitRetryAfter returns the time after which a caller that got no permit may retry.
func (q *request) permitRetryAfter(now time.Time) time.Duration {
	queueEstimate := q.queueEstimate(now)
	s := q.state
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.permitPacer.Pause(queueEstimate, rand.Float64(), now)
}

// backoffRetryAfter returns the time after which a caller may retry while all servers are
// in backoff.
func (q *request) backoffRetryAfter(now time.Time) time.Duration {
	queueEstimate := q.queueEstimate(now)
	s := q.state
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.permitPacer.PauseAfterBackoff(queueEstimate, rand.Float64(), now)
}

// hasPermitQueue reports whether requests wait for a permit.
func (s *serviceState) hasPermitQueue() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.permitWait.Empty()
}

// aheadInQueue returns the number of requests that go before the given one in the permit
// queue.
func (s *serviceState) aheadInQueue(p *admission.QueueEntry) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.permitWait.Ahead(p)
}

// joinPermitQueue adds the request to the queue for a permit, or for the end of a backoff.
func (q *request) joinPermitQueue(found balance.Availability, now time.Time) {
	if q.permitWait != nil {
		return
	}
	by := q.queueEstimate(now).PermitWaitLimit()
	if found == balance.InBackoff {
		by = q.queueEstimate(now).BackoffWaitLimit()
	}
	q.queueUntil = now.Add(by)
	q.permitWait = q.newQueueEntry(now)
	q.state.mu.Lock()
	defer q.state.mu.Unlock()
	q.state.permitWait.Join(q.permitWait)
}

// leavePermitQueue removes the request from the permit queue of a service if it waits
// there.
func (q *request) leavePermitQueue(s *serviceState) {
	if q.permitWait == nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.permitWait.Leave(q.permitWait)
	q.permitWait = nil
}
