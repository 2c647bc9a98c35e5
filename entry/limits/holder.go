package limits

import (
	"time"

	"baywall.example/core/vm"
)

const (
	// renewAfter is the age at which a lease in use is renewed.
	renewAfter = LeaseTime / 3
	// askAgainAfter is the least time between two asks for more.
	askAgainAfter = 20 * time.Millisecond
	// demandWindow is how long refused requests count as demand.
	demandWindow = time.Second
)

// Holder counts one team's requests on one entry VM against its base share and
// its lease. It is a pure state machine and not safe for concurrent use.
type Holder struct {
	running  int
	peak     int // since the last ask
	refused  int // since the last ask
	sequence uint64
	share    int
	until    time.Time
	asked    time.Time // when the last ask was sent
	used     time.Time // when a request was last admitted or refused
}

// Admit counts a request in if the base share and the lease allow it.
func (h *Holder) Admit(base int, now time.Time) bool {
	h.used = now
	if h.running >= base+h.leased(now) {
		h.refused++
		return false
	}
	h.running++
	h.peak = max(h.peak, h.running)
	return true
}

// Release counts a request out.
func (h *Holder) Release() { h.running-- }

// Running returns the requests running.
func (h *Holder) Running() int { return h.running }

func (h *Holder) leased(now time.Time) int {
	if now.Before(h.until) {
		return h.share
	}
	return 0
}

// WantsMore reports whether a refused request should ask the grantor first.
func (h *Holder) WantsMore(now time.Time) bool { return now.Sub(h.asked) >= askAgainAfter }

// Due reports whether the lease should be renewed, or a first one asked for.
func (h *Holder) Due(now time.Time) bool {
	return now.Sub(h.asked) >= renewAfter && (h.running > 0 || now.Sub(h.used) < demandWindow)
}

// Idle reports whether the holder can be forgotten.
func (h *Holder) Idle(now time.Time) bool {
	return h.running == 0 && !now.Before(h.until) && now.Sub(h.used) > LeaseTime
}

// Ask returns the request to send at now.
func (h *Holder) Ask(self vm.ID, now time.Time) Ask {
	h.asked = now
	a := Ask{From: self, Demand: max(h.peak, h.running) + h.refused, HeldSequence: h.sequence, Held: h.leased(now)}
	if a.Held > 0 {
		a.HeldFor = h.until.Sub(now)
	}
	h.peak, h.refused = h.running, 0
	return a
}

// Granted takes over the answer to an ask that was sent at the given time. An
// answer that comes later than that of a newer ask is ignored.
func (h *Holder) Granted(g Grant, sent time.Time) {
	until := sent.Add(g.Duration)
	overtaken := until.Equal(h.until) && g.Sequence < h.sequence // asked for at the same instant
	if until.Before(h.until) || overtaken {
		return
	}
	h.sequence, h.share, h.until = g.Sequence, g.Share, until
}
