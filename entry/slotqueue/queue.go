package slotqueue

import (
	"slices"
	"time"
)

// MaxEntries is the largest number of requests in a queue.
const MaxEntries = 1024

// Entry is a request in a queue.
type Entry struct {
	Level Level
	// Until is the latest time at which the request can be sent and be on time.
	Until time.Time
	// Selective is set if the request excludes servers, so that it may be unable to use a
	// free slot.
	Selective bool

	joined time.Time
	number uint64 // in the order of joining
	queued bool
	// refusal is set when the queue removes the request because it cannot be on time.
	refusal *Refusal
}

// Joined returns when the request joined a queue.
func (e *Entry) Joined() time.Time { return e.joined }

// Refusal returns why the queue removed the request, nil = it did not.
func (e *Entry) Refusal() *Refusal { return e.refusal }

// Refusal describes a request that is refused because it cannot be on time.
type Refusal struct {
	Level Level
	// Position is the number of requests ahead at this gateway, Others that of requests at
	// other gateways of its level or a more urgent one.
	Position, Others int
	// Wait is the expected time until the request would get a slot.
	Wait time.Duration
}

// before reports whether a request gets a slot before another one.
func (e *Entry) before(o *Entry) bool {
	switch {
	case e.Level != o.Level:
		return e.Level < o.Level
	case !e.Until.Equal(o.Until):
		return e.Until.Before(o.Until)
	default:
		return e.number < o.number
	}
}

// Queue holds the waiting requests of one service at one gateway, in order. It is not safe
// for concurrent use.
type Queue struct {
	entries []*Entry
	joins   uint64
	starvation
}

// Len returns the number of waiting requests.
func (q *Queue) Len() int { return len(q.entries) }

// Counts returns how many requests of each level wait.
func (q *Queue) Counts() Counts {
	var c Counts
	for _, e := range q.entries {
		c[e.Level]++
	}
	return c
}

// position returns the number of requests that precede the given one, which may be in the
// queue.
func (q *Queue) position(e *Entry) int {
	if e.queued {
		return slices.Index(q.entries, e)
	}
	at, _ := slices.BinarySearchFunc(q.entries, e, func(o, e *Entry) int {
		if o.before(e) || o.Level == e.Level && o.Until.Equal(e.Until) {
			return -1
		}
		return 1
	})
	return at
}

// refusal returns why a request with the given number of requests ahead cannot be on time,
// or nil if it can. The others are the requests that wait at other gateways: their
// deadlines are not known, so all of the same level count as ahead.
func refusal(e *Entry, ahead int, others *Counts, c Capacity, now time.Time) *Refusal {
	r := &Refusal{Level: e.Level, Position: ahead, Others: others.Above(e.Level + 1)}
	r.Wait = c.Wait(ahead + r.Others)
	if r.Wait > e.Until.Sub(now) || ahead >= MaxEntries {
		return r
	}
	return nil
}

// Join adds a request if it is expected to get a slot in time, and reports whether it did.
// It removes requests behind it that can no longer be on time and returns them. A
// request that does not join or is removed has a Refusal.
func (q *Queue) Join(e *Entry, others *Counts, c Capacity, now time.Time) (joined bool, refused []*Entry) {
	at := q.position(e)
	if e.refusal = refusal(e, at, others, c, now); e.refusal != nil {
		return false, nil
	}
	q.joins++
	e.joined, e.number, e.queued = now, q.joins, true
	q.entries = slices.Insert(q.entries, at, e)
	return true, q.refuseBehind(at+1, others, c, now)
}

// refuseBehind removes the requests from a position on that can no longer be on time.
func (q *Queue) refuseBehind(from int, others *Counts, c Capacity, now time.Time) (refused []*Entry) {
	kept := q.entries[:from]
	for _, e := range q.entries[from:] {
		if e.refusal = refusal(e, len(kept), others, c, now); e.refusal != nil {
			e.queued = false
			refused = append(refused, e)
			continue
		}
		kept = append(kept, e)
	}
	clear(q.entries[len(kept):])
	q.entries = kept
	return refused
}

// Leave removes a request.
func (q *Queue) Leave(e *Entry) {
	if !e.queued {
		return
	}
	e.queued = false
	q.entries = slices.DeleteFunc(q.entries, func(o *Entry) bool { return o == e })
}

// Turn is whether a request may look for a slot, and which slots it may take.
type Turn struct {
	// Look is set if the request may look for a slot.
	Look bool
	// Reserved is the number of free slots that it leaves to other requests.
	Reserved int
	// GivesWay is set if some of these are for more urgent requests at other gateways.
	GivesWay bool
}

// Turn returns the turn of a request, which may have just arrived and not be in the queue.
// A request may look if all that precede it are selective. It leaves a slot to the less
// urgent request that is due by the starvation bound.
func (q *Queue) Turn(e *Entry, others *Counts) Turn {
	due := q.Due(others)
	if due == e {
		return Turn{Look: true}
	}
	for _, o := range q.entries[:q.position(e)] {
		if !o.Selective {
			return Turn{}
		}
	}
	t := Turn{Look: true, Reserved: others.Above(e.Level)}
	t.GivesWay = t.Reserved > 0
	if due != nil {
		t.Reserved++
	}
	return t
}

// Eligible returns the requests that may look for a slot.
func (q *Queue) Eligible(others *Counts) []*Entry {
	var out []*Entry
	if due := q.Due(others); due != nil {
		out = append(out, due)
	}
	for _, e := range q.entries {
		if !slices.Contains(out, e) {
			out = append(out, e)
		}
		if !e.Selective {
			break
		}
	}
	return out
}

// Reserved returns the number of slots that a late request leaves to requests that can
// still be on time: one for each that waits at any gateway.
func (q *Queue) Reserved(others *Counts) int { return len(q.entries) + others.Total() }
