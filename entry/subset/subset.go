package subset

import (
	"cmp"
	"slices"
	"time"

	"baywall.example/core/rendezvous"
)

const (
	// LeastPerZone is how many gateways of a zone carry requests at least.
	LeastPerZone = 3
	// RequestsPerCore is for how many requests a second a processor core is counted.
	// A request that streams 20 events takes some 1.2 ms of a core, so that gateways
	// are an eighth busy: bursts of twice the rate come at once, and a gateway whose
	// processor is late makes each event late.
	RequestsPerCore = 100.0
	// promoteDelay is how much later each further gateway in the order becomes active:
	// the one before it is heard by then.
	promoteDelay = 300 * time.Millisecond
	// demoteDelay is how long a gateway that is not wanted goes on: demand that comes
	// and goes must not move callers each time.
	demoteDelay = 3 * time.Second
	// defaultCores is assumed of a gateway that does not say its processor time.
	defaultCores = 0.4
)

// Member is one gateway of a zone that takes requests.
type Member struct {
	ID     string
	Cores  float64 // 0 = not known
	Active bool
}

func (m Member) cores() float64 {
	if m.Cores > 0 {
		return m.Cores
	}
	return defaultCores
}

// Order returns the members in the order in which they are to carry requests.
func Order(zone []Member) []Member {
	out := rendezvous.Order(zone, "carry", func(m Member) string { return m.ID })
	slices.SortStableFunc(out, func(a, b Member) int { return cmp.Compare(b.cores(), a.cores()) })
	return out
}

// Wanted returns how many members, in their order, the zone's requests a second need.
func Wanted(order []Member, requests float64) int {
	cores := 0.0
	for i, m := range order {
		if i >= LeastPerZone && cores*RequestsPerCore >= requests {
			return i
		}
		cores += m.cores()
	}
	return len(order)
}

// Role is one gateway's part. The zero value stands by.
type Role struct {
	active  bool
	lacking time.Time // since when this gateway is needed, zero = it is not
	spare   time.Time // since when it is not wanted, zero = it is
}

// Decide returns whether the gateway with the id, one of its zone's members, carries
// requests, as its zone gets them a second.
func (r *Role) Decide(id string, zone []Member, requests float64, now time.Time) bool {
	order := Order(zone)
	wanted := Wanted(order, requests)
	at := slices.IndexFunc(order, func(m Member) bool { return m.ID == id })
	if at >= 0 && at < wanted {
		r.active, r.spare, r.lacking = true, time.Time{}, time.Time{}
		return true
	}
	ahead, lacking := standbysBefore(order, at, wanted)
	if at < 0 || !lacking {
		r.lacking = time.Time{}
		r.rest(now)
		return r.active
	}
	r.spare = time.Time{}
	if r.lacking.IsZero() {
		r.lacking = now
	}
	r.active = r.active || now.Sub(r.lacking) >= time.Duration(ahead)*promoteDelay
	return r.active
}

// rest lets a gateway that is not wanted stand by once the delay is over.
func (r *Role) rest(now time.Time) {
	if r.spare.IsZero() {
		r.spare = now
	}
	if now.Sub(r.spare) >= demoteDelay {
		r.active = false
	}
}

// standbysBefore returns how many standbys come before the member at the index, the
// wanted ones included, and whether fewer members than wanted are active. One that is
// wanted and still stands by has failed, or is about to become active.
func standbysBefore(order []Member, at, wanted int) (ahead int, lacking bool) {
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
	return ahead, active < wanted
}
