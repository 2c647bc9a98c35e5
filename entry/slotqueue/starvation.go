package slotqueue

import "time"

const (
	// starvationBound is the number of slots of which one goes to a less urgent request.
	starvationBound = 8
	// minCountInterval is the least time after which a slot is counted although none was
	// released. All gateways of a fleet may count so at the same time: with a shorter time
	// they would together take more than one in starvationBound slots.
	minCountInterval = 250 * time.Millisecond
)

// starvation counts the slots that went, or were left, to more urgent requests while less
// urgent ones waited.
type starvation struct {
	passed  int
	counted time.Time // when the latest slot was counted
}

// Released counts a slot that a request of this gateway has released.
func (q *Queue) Released(others *Counts, now time.Time) {
	q.counted = now
	if q.longestWaiting(others) != nil {
		q.passed = min(q.passed+1, starvationBound)
	}
}

// Advance counts a slot if none was counted for a mean service time, or minCountInterval
// if that is longer: a gateway without requests in flight gets no slot back.
func (q *Queue) Advance(others *Counts, serviceTime time.Duration, now time.Time) {
	if q.counted.IsZero() {
		q.counted = now
	}
	if now.Sub(q.counted) >= max(serviceTime, minCountInterval) {
		q.Released(others, now)
	}
}

// Took records that a request of the queue got a slot.
func (q *Queue) Took(e *Entry, others *Counts) {
	if e.Level > q.mostUrgent(others) {
		q.passed = 0
	}
}

// mostUrgent returns the most urgent level of which requests wait at any gateway.
func (q *Queue) mostUrgent(others *Counts) Level {
	if len(q.entries) == 0 {
		return others.mostUrgent()
	}
	return min(q.entries[0].Level, others.mostUrgent())
}

// Due returns the less urgent request that gets the next slot, nil = none.
func (q *Queue) Due(others *Counts) *Entry {
	if q.passed < starvationBound {
		return nil
	}
	return q.longestWaiting(others)
}

// longestWaiting returns the first request of the level that has waited longest, among the
// levels that are less urgent than some request that waits at any gateway. It returns nil
// if there is none.
func (q *Queue) longestWaiting(others *Counts) *Entry {
	mostUrgent := q.mostUrgent(others)
	var first, found *Entry // first of the level in hand, and of the level found so far
	var since time.Time
	for _, e := range q.entries {
		if e.Level <= mostUrgent || e.Selective {
			continue
		}
		if first == nil || first.Level != e.Level {
			first = e
		}
		if found == nil || e.joined.Before(since) {
			found, since = first, e.joined
		}
	}
	return found
}
