package limits

import (
	"time"

	"baywall.example/core/vm"
)

const (
	// renewAfter is the age at which a lease in use is renewed.
	renewAfter = LeaseTime / 3
	// minRequestInterval is the least time between a lease request and the next one that a
	// refused request causes.
	minRequestInterval = 20 * time.Millisecond
	// demandWindow is how long a lease is renewed after the last request, admitted or
	// refused, if none is running.
	demandWindow = time.Second
)

// Holder counts one team's requests on one entry VM against its base share and its lease.
// It is a pure state machine and not safe for concurrent use.
type Holder struct {
	running   int
	base      int // share that it owned when a request was last admitted or refused
	peak      int // since the last lease request
	refused   int // since the last lease request
	sequence  uint64
	share     int
	until     time.Time
	requested time.Time // when the last lease request was sent
	used      time.Time // when a request was last admitted or refused
}

// Admit reports whether the base share and the lease allow another request. If so, it counts
// the request as running.
func (h *Holder) Admit(base int, now time.Time) bool {
	h.used, h.base = now, base
	if h.running >= base+h.leased(now) {
		h.refused++
		return false
	}
	h.running++
	h.peak = max(h.peak, h.running)
	return true
}

// Release records that a running request has ended.
func (h *Holder) Release() { h.running-- }

// Running returns the number of running requests.
func (h *Holder) Running() int { return h.running }

func (h *Holder) leased(now time.Time) int {
	if now.Before(h.until) {
		return h.share
	}
	return 0
}

// WantsMore reports whether a larger share should be requested from the grantor before a
// request is refused.
func (h *Holder) WantsMore(now time.Time) bool { return now.Sub(h.requested) >= minRequestInterval }

// Due reports whether a lease should be requested, as a renewal or for the first time.
func (h *Holder) Due(now time.Time) bool {
	return now.Sub(h.requested) >= renewAfter && (h.running > 0 || now.Sub(h.used) < demandWindow)
}

// Idle reports whether the holder's state can be dropped.
func (h *Holder) Idle(now time.Time) bool {
	return h.running == 0 && !now.Before(h.until) && now.Sub(h.used) > LeaseTime
}

// LeaseRequest returns the lease request to send now.
func (h *Holder) LeaseRequest(self vm.ID, now time.Time) LeaseRequest {
	h.requested = now
	a := LeaseRequest{
		From: self, Demand: max(h.peak, h.running) + h.refused,
		HeldSequence: h.sequence, Held: max(h.leased(now), h.running-h.base), HeldFor: max(0, h.until.Sub(now)),
	}
	h.peak, h.refused = h.running, 0
	return a
}

// Granted applies the answer to a lease request that was sent at the given time. An answer
// that arrives after the answer to a newer lease request is ignored.
func (h *Holder) Granted(g Grant, sent time.Time) {
	until := sent.Add(g.Duration)
	// Two leases that end at the same time were requested at the same instant.
	overtaken := until.Equal(h.until) && g.Sequence < h.sequence
	if until.Before(h.until) || overtaken {
		return
	}
	h.sequence, h.share, h.until = g.Sequence, g.Share, until
}
