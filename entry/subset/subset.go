package subset

import (
	"cmp"
	"slices"
	"time"

	"baywall.example/core/rendezvous"
)

const (
	// MinPerZone is the least number of active gateways in a zone.
	MinPerZone = 3
	// RequestsPerCore is the request rate, in requests a second, that is planned for one
	// processor core. A request that streams 20 events takes about 1.2 ms of a core, so
	// that a gateway is busy for an eighth of the time. The reserve is for bursts of twice
	// the rate, which arrive without warning: a gateway short of processor time delays
	// every event.
	RequestsPerCore = 100.0
	// promoteDelay is how much later each further gateway in the order becomes active:
	// by then it has received the state of the gateway before it.
	promoteDelay = 300 * time.Millisecond
	// demoteDelay is how long a gateway that is not needed stays active, so that
	// fluctuating demand does not move callers each time.
	demoteDelay = 3 * time.Second
	// defaultCores is assumed for a gateway that does not report its processor time.
	defaultCores = 0.4
)

// Member is one gateway of a zone that accepts requests.
type Member struct {
	ID     string
	Cores  float64 // 0 = unknown
	Active bool
}

func (m Member) cores() float64 {
	if m.Cores > 0 {
		return m.Cores
	}
	return defaultCores
}

// Order returns the members in the order in which they become active.
func Order(zone []Member) []Member {
	out := rendezvous.Order(zone, "carry", func(m Member) string { return m.ID })
	slices.SortStableFunc(out, func(a, b Member) int { return cmp.Compare(b.cores(), a.cores()) })
	return out
}

// TargetSize returns how many members, counted in their order, must be active for the
// given number of requests a second.
func TargetSize(order []Member, requests float64) int {
	cores := 0.0
	for i, m := range order {
		if i >= MinPerZone && cores*RequestsPerCore >= requests {
			return i
		}
		cores += m.cores()
	}
	return len(order)
}

// Role tracks whether one gateway is active. The zero value is on standby.
type Role struct {
	active   bool
	needed   time.Time // since when this gateway is needed as a replacement, zero = it is not
	unneeded time.Time // since when it is not needed, zero = it is
}

// Decide returns whether the gateway with the id, one of its zone's members, is active
// when the zone gets the given number of requests a second.
func (r *Role) Decide(id string, zone []Member, requests float64, now time.Time) bool {
	order := Order(zone)
	target := TargetSize(order, requests)
	at := slices.IndexFunc(order, func(m Member) bool { return m.ID == id })
	if at >= 0 && at < target {
		r.active, r.unneeded, r.needed = true, time.Time{}, time.Time{}
		return true
	}
	ahead, needed := standbysBefore(order, at, target)
	if at < 0 || !needed {
		r.needed = time.Time{}
		r.demote(now)
		return r.active
	}
	r.unneeded = time.Time{}
	if r.needed.IsZero() {
		r.needed = now
	}
	r.active = r.active || now.Sub(r.needed) >= time.Duration(ahead)*promoteDelay
	return r.active
}

// demote puts a gateway that is not needed on standby once the delay is over.
func (r *Role) demote(now time.Time) {
	if r.unneeded.IsZero() {
		r.unneeded = now
	}
	if now.Sub(r.unneeded) >= demoteDelay {
		r.active = false
	}
}

// standbysBefore returns how many members on standby come before the member at the
// index, and whether the member at the index may be needed: fewer members than the
// target are active. The count includes members within the target: one of those that is
// still on standby has failed, or is about to become active.
func standbysBefore(order []Member, at, target int) (ahead int, needed bool) {
	active := 0
	for i, m := range order {
		switch {
		case i == at:
		case m.Active:
			active++
		case i < at:
			ahead++
		}
	}
	return ahead, active < target
}
