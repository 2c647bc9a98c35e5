package balance

import (
	"math"
	"time"

	"baywall.example/core/ratelimit"
)

// A backend server with a limit, as it names one or is cold, gets a request when there is a
// permit for it, and is left out until then: it is neither full nor ejected, and the others
// take the work.

// Limits tells which backend servers have a limit.
type Limits interface {
	// Limited returns how many limits there are.
	Limited() int
	// Opens returns when it is worth trying to send to a server by one of its keys; false if
	// it has no such limit.
	Opens(server ratelimit.Key) (at time.Time, limit ratelimit.Known, limited bool)
}

// LimitBy sets who tells which servers have limits. It is to be called before all else.
func (r *Registry) LimitBy(l Limits) { r.limits = l }

// opens returns when a server with a limit may get a request; false if it has none.
func (r *Registry) opens(server *Server) (at time.Time, perSecond float64, limited bool) {
	if r.limits == nil || r.limits.Limited() == 0 {
		return time.Time{}, 0, false
	}
	for _, key := range server.Limits() {
		opens, limit, has := r.limits.Opens(key)
		if !has {
			continue
		}
		if opens.After(at) {
			at = opens
		}
		if !limited || limit.Limit < perSecond {
			perSecond = limit.Limit
		}
		limited = true
	}
	return at, perSecond, limited
}

// mayTakeLimited reports whether a server that opens at a time may get a request of the
// demand.
func (d Demand) mayTakeLimited(opens, now time.Time) bool { return !d.Unlimited && !now.Before(opens) }

// preferUnlimited drops the candidates that name a limit if there are others.
func preferUnlimited(c []candidate) []candidate {
	kept := c[:0:len(c)]
	for _, one := range c {
		if !one.limited {
			kept = append(kept, one)
		}
	}
	if len(kept) == 0 {
		return c
	}
	return kept
}

// Permits is what the servers of a service take, as far as they name limits or rest.
type Permits struct {
	// Open is how many servers may get a request now, with a limit or without.
	Open int
	// Next is when the next of the others may.
	Next time.Duration
	// Resting is how many servers rest, or return from a rest.
	Resting int
	// PerSecond is the sum of the limits and of what servers take that rest, infinite where one
	// does neither.
	PerSecond float64
}

// Permits returns what the servers of a service take.
func (r *Registry) Permits(service string, now time.Time) Permits {
	s := r.shard(service)
	s.mu.Lock()
	defer s.mu.Unlock()
	var out Permits
	for _, server := range s.servers {
		if !server.fit(now) {
			continue
		}
		at, perSecond, limited := r.opens(server)
		if back, resting := s.backAt(server, now); resting {
			if back.After(at) {
				at = back
			}
			if !limited {
				perSecond = float64(max(1, server.Slots)) / s.usualStay().Seconds()
			}
			limited = true
			out.Resting++
		}
		wait := at.Sub(now)
		switch {
		case !limited:
			out.Open++
			out.PerSecond = math.Inf(1)
			continue
		case wait <= 0:
			out.Open++
		case out.Next == 0 || wait < out.Next:
			out.Next = wait
		}
		out.PerSecond += perSecond
	}
	if out.Open > 0 {
		out.Next = 0
	}
	return out
}

// LimitEnded gives a server whose limit ended its requests back slowly: all gateways left
// it out, and would send to it at once.
func (r *Registry) LimitEnded(key ratelimit.Key, now time.Time) {
	for _, s := range r.all() {
		s.mu.Lock()
		for _, server := range s.servers {
			if server.isLimitedBy(key) {
				server.slowStart = now
			}
		}
		s.mu.Unlock()
	}
}

// IDOf returns the id of the listed server with a key, empty if there is none.
func (r *Registry) IDOf(key ratelimit.Key) string {
	for _, s := range r.all() {
		s.mu.Lock()
		for _, server := range s.servers {
			if server.isLimitedBy(key) {
				s.mu.Unlock()
				return server.ID
			}
		}
		s.mu.Unlock()
	}
	return ""
}
