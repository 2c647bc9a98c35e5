// Package retried recognizes requests that callers send again after a refusal for lack of a
// slot. It performs no I/O and reads no clock.
//
// # The load it is designed for
//
// During an overload a refused caller comes back later and competes with new requests for
// the same slots, although it can no longer be on time. If a fraction x of the demand exceeds the
// capacity, a fraction p of the attempts is refused with p*p = x, since each refused caller
// retries once. At a demand of 110% of the capacity, three in ten callers are refused at
// first. So repeated requests get slots after those that can still be on time.
//
// # How they are recognized
//
// A request that is sent again has the same content. Gateways remember the digests of the
// requests that they refused, and exchange them in heartbeats, as callers come back to any
// gateway. Each digest is used once for each refusal. A digest that is lost only makes a
// repeated request count as a new one.
package retried

import (
	"sync"
	"time"
)

const (
	// lifetime is how long a refusal is remembered: callers come back within a third of the
	// time that they have left.
	lifetime = 10 * time.Second
	// reportTime is how long a refusal is reported to other gateways at least, and
	// minReports how many times. Callers come back later than the first of these reports,
	// and lost datagrams are made up for.
	reportTime = 600 * time.Millisecond
	minReports = 3
	// maxReported bounds the refusals in a report, the newest first.
	maxReported = 64
	// maxRefusals bounds the refusals that are remembered, and the digests of other arrivals.
	maxRefusals = 16384
)

// ID is a digest of the content of a request.
type ID uint64

// Table holds the refusals of all gateways. The zero value is empty. It is safe for concurrent
// use.
type Table struct {
	mu       sync.Mutex
	refusals map[ID]*refusal
	arrivals map[ID]arrivals // that did not count as retries
	own      []own           // in order
	// reportTime is for how long own refusals are reported, as of the latest report.
	reportTime time.Duration
	swept      time.Time
}

// own is a refusal by this gateway that is reported.
type own struct {
	id ID
	at time.Time
}

type refusal struct {
	at time.Time
	// returned is set once the request was sent again. The entry is kept, so that late
	// reports of the same refusal do not count.
	returned bool
	// ambiguous is set if equal requests arrived that were not retries of this one.
	ambiguous bool
}

// arrivals counts equal requests.
type arrivals struct {
	count int
	at    time.Time // of the latest
}

// Refused records that this gateway refused a request.
func (t *Table) Refused(id ID, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.add(id, true, now)
	t.own = append(t.latestOwn(now), own{id, now})
}

// Receive records refusals that another gateway reported.
func (t *Table) Receive(ids []uint64, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, id := range ids {
		t.add(ID(id), false, now)
	}
}

func (t *Table) add(id ID, own bool, now time.Time) {
	t.expire(now)
	old := t.refusals[id]
	switch {
	case old != nil && !own: // reported before, or the request has returned since
		return
	case old == nil && len(t.refusals) >= maxRefusals:
		return
	case t.refusals == nil:
		t.refusals = make(map[ID]*refusal)
	}
	equal := t.arrivals[id].count // besides the refused request
	if own {
		equal--
	}
	t.refusals[id] = &refusal{at: now, ambiguous: equal > 0 || old != nil && old.ambiguous}
}

// Recognize records the arrival of a request and reports whether it is a retry of a refused
// one. Each refusal counts for one retry.
func (t *Table) Recognize(id ID, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.refusals) == 0 {
		return false
	}
	r := t.refusals[id]
	if r != nil && !r.returned && !r.ambiguous && now.Sub(r.at) < lifetime {
		r.returned = true
		return true
	}
	if r != nil {
		r.ambiguous = true // an equal request that is no retry
	}
	t.arrived(id, now)
	return false
}

// arrived records an arrival that does not count as a retry.
func (t *Table) arrived(id ID, now time.Time) {
	if t.arrivals == nil {
		t.arrivals = make(map[ID]arrivals)
	}
	if a, known := t.arrivals[id]; known || len(t.arrivals) < maxRefusals {
		t.arrivals[id] = arrivals{a.count + 1, now}
	}
}

// Report returns the latest refusals of this gateway, which reports at an interval.
func (t *Table) Report(interval time.Duration, now time.Time) []uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.reportTime = max(reportTime, minReports*interval)
	t.own = t.latestOwn(now)
	out := make([]uint64, 0, len(t.own))
	for _, o := range t.own {
		out = append(out, uint64(o.id))
	}
	return out
}

// latestOwn returns the refusals of this gateway that are reported.
func (t *Table) latestOwn(now time.Time) []own {
	first := max(0, len(t.own)-maxReported)
	for first < len(t.own) && now.Sub(t.own[first].at) >= max(reportTime, t.reportTime) {
		first++
	}
	return append(t.own[:0], t.own[first:]...)
}

// Size returns the number of refusals that are remembered.
func (t *Table) Size() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.refusals)
}

// expire removes the refusals that no longer count, at most once a second.
func (t *Table) expire(now time.Time) {
	if now.Sub(t.swept) < time.Second {
		return
	}
	t.swept = now
	for id, r := range t.refusals {
		if now.Sub(r.at) >= lifetime {
			delete(t.refusals, id)
		}
	}
	for id, a := range t.arrivals {
		if now.Sub(a.at) >= lifetime {
			delete(t.arrivals, id)
		}
	}
}
