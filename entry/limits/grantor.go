package limits

import (
	"math"
	"time"

	"baywall.example/core/vm"
)

const (
	// LeaseTime is how long a share may be used without renewal. A process may grant
	// shares after it has run for this time.
	LeaseTime = time.Second
	// basePart is the fraction of a limit that is split evenly.
	basePart = 0.25
	// headroom is the factor by which a grant exceeds the demand if the pool suffices for
	// all holders.
	headroom = 1.5
)

// Base returns the share of a limit that each of n entry VMs always owns. It is at least 1.
func Base(limit, n int) int {
	return max(1, int(math.Ceil(basePart*float64(limit)/float64(max(1, n)))))
}

// pool returns the part of a limit that can be leased to the reachable ones of n entry VMs.
func pool(limit, n, reachable int) int {
	remainder := max(0, limit-n*Base(limit, n))
	return remainder * min(reachable, n) / max(1, n)
}

// LeaseRequest is a request for a lease on a share of one team's limit.
type LeaseRequest struct {
	From   vm.ID
	Demand int // peak of running requests plus refused ones, since the last lease request
	// HeldSequence and HeldFor are the sequence number and the remaining time of the lease
	// that the holder has. Held is the share of that lease, or the number of requests that
	// run beyond the holder's base share if there are more of them.
	HeldSequence uint64
	Held         int
	HeldFor      time.Duration
}

// Grant is a leased share.
type Grant struct {
	Sequence uint64
	Share    int
	Duration time.Duration
}

// Grantor leases shares of one team's pool. It is a pure state machine and not safe for
// concurrent use.
type Grantor struct {
	next    uint64
	holders map[vm.ID]*holderState
}

// holderState is the state of one holder as known to the grantor.
type holderState struct {
	demand int
	// held is the Held of the latest request. It counts as long as the holder has any lease,
	// since requests go on when a share is lowered or a lease ends.
	held         int
	heldSequence uint64
	leases       []lease // newest last; earlier ones count until a later one is confirmed or they end
}

type lease struct {
	sequence uint64
	share    int
	until    time.Time
}

// NewGrantor returns a grantor without leases. Its sequence numbers start at the current
// time in nanoseconds, so that they differ from those of an earlier grantor.
func NewGrantor(now time.Time) *Grantor {
	return &Grantor{next: uint64(now.UnixNano()), holders: make(map[vm.ID]*holderState)}
}

// Fleet is the view that one entry VM has of the fleet.
type Fleet struct {
	Listed    int // entry VMs on the list
	Reachable int // listed entry VMs that are usable, including this one
	// GrantorSince is the time since which this VM has been the team's grantor. Leases of an
	// earlier grantor may still be in use after it.
	GrantorSince time.Time
}

// Handle answers a request for a lease on a share of the limit.
func (g *Grantor) Handle(a LeaseRequest, limit int, f Fleet, now time.Time) Grant {
	g.expire(now)
	h := g.holders[a.From]
	if h == nil {
		h = &holderState{}
		g.holders[a.From] = h
	}
	h.demand = a.Demand
	h.confirm(a, now)
	available := pool(limit, f.Listed, f.Reachable) - g.heldByOthers(a.From)
	target := g.target(a.From, pool(limit, f.Listed, f.Reachable), Base(limit, f.Listed))
	share := max(0, min(target, available))
	if now.Sub(f.GrantorSince) < LeaseTime {
		share = min(share, a.Held) // leases of an earlier grantor may be in use
	}
	g.next++
	h.leases = append(h.leases, lease{sequence: g.next, share: share, until: now.Add(LeaseTime)})
	return Grant{Sequence: g.next, Share: share, Duration: LeaseTime}
}

// confirm drops the leases before the one that the holder reports to use. If this grantor
// does not know that lease, an earlier grantor granted it, and it is added.
func (h *holderState) confirm(a LeaseRequest, now time.Time) {
	if a.HeldSequence < h.heldSequence { // a later request has overtaken this one
		h.held = max(h.held, a.Held)
	} else {
		h.held, h.heldSequence = a.Held, a.HeldSequence
	}
	for i, l := range h.leases {
		if l.sequence == a.HeldSequence {
			h.leases = h.leases[i:]
			return
		}
	}
	if a.Held > 0 && a.HeldFor > 0 {
		h.leases = append(h.leases, lease{sequence: a.HeldSequence, share: a.Held, until: now.Add(min(a.HeldFor, LeaseTime))})
	}
}

// maxInUse returns the largest share that the holder may be using.
func (h *holderState) maxInUse() int {
	most := h.held
	for _, l := range h.leases {
		most = max(most, l.share)
	}
	return most
}

func (g *Grantor) heldByOthers(id vm.ID) int {
	sum := 0
	for other, h := range g.holders {
		if other != id {
			sum += h.maxInUse()
		}
	}
	return sum
}

// target returns a holder's part of the pool. If the pool suffices for all, this is the
// holder's demand plus headroom; otherwise it is capped at the level at which all holders
// that want more get the same (max-min fairness).
func (g *Grantor) target(id vm.ID, pool, base int) int {
	want := func(h *holderState) int {
		return max(0, int(headroom*float64(h.demand))+1-base)
	}
	total := 0
	for _, h := range g.holders {
		total += want(h)
	}
	own := want(g.holders[id])
	if total <= pool {
		return own
	}
	low, high := 0, pool
	for low < high {
		level := (low + high + 1) / 2
		sum := 0
		for _, h := range g.holders {
			sum += min(level, want(h))
		}
		if sum <= pool {
			low = level
		} else {
			high = level - 1
		}
	}
	return min(own, low)
}

// expire drops leases that have ended, and holders without leases.
func (g *Grantor) expire(now time.Time) {
	for id, h := range g.holders {
		active := h.leases[:0]
		for _, l := range h.leases {
			if now.Before(l.until) {
				active = append(active, l)
			}
		}
		h.leases = active
		if len(active) == 0 {
			delete(g.holders, id)
		}
	}
}

// Idle reports whether no lease is left.
func (g *Grantor) Idle(now time.Time) bool {
	g.expire(now)
	return len(g.holders) == 0
}
