package balance

import (
	"math"
	"time"

	"baywall.example/core/ratelimit"
)

// A backend server that announced a limit, or is cold, gets a request only with a permit.
// Until one is available, requests go to the other servers; the server does not count as
// full or ejected.

// Limits provides the limits of backend servers.
type Limits interface {
	// Limited returns the number of limits.
	Limited() int
	// Opens returns the earliest time at which a request to the server with the key may
	// get a permit; false if there is no limit with this key.
	Opens(server ratelimit.Key) (at time.Time, limit ratelimit.KnownLimit, limited bool)
}

// LimitBy sets the source of the limits. It must be called before any other method.
func (r *Registry) LimitBy(l Limits) { r.limits = l }

// opens returns when a server with a limit may get a request, and its limit; false if it
// has none.
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

// mayTakeLimited reports whether a server whose limit opens at a time may get a request
// of the demand.
func (d Demand) mayTakeLimited(opens, now time.Time) bool { return !d.Unlimited && !now.Before(opens) }

// preferUnlimited drops the candidates that have a limit if there are others.
func preferUnlimited(c []candidate) []candidate {
	unlimited := c[:0:len(c)]
	for _, one := range c {
		if !one.limited {
			unlimited = append(unlimited, one)
		}
	}
	if len(unlimited) == 0 {
		return c
	}
	return unlimited
}

// Permits is the capacity of a service's servers under limits and backoffs.
type Permits struct {
	// Open is the number of servers that may get a request now, with or without a limit.
	Open int
	// Next is the time until the first of the others may get a request.
	Next time.Duration
	// InBackoff is the number of servers in a backoff or the ramp-up after one.
	InBackoff int
	// PerSecond is the sum of the limits and of the service rates of servers in a backoff
	// or ramp-up; infinite if a server has none of these.
	PerSecond float64
}

// Permits returns the capacity of a service's servers under limits and backoffs.
func (r *Registry) Permits(service string, now time.Time) Permits {
	s := r.shard(service)
	s.mu.Lock()
	defer s.mu.Unlock()
	var out Permits
	for _, server := range s.servers {
		if !server.eligible(now) {
			continue
		}
		at, perSecond, limited := r.opens(server)
		if back, inBackoff := s.availableAt(server, now); inBackoff {
			if back.After(at) {
				at = back
			}
			if !limited {
				perSecond = float64(max(1, server.Slots)) / s.usualServiceTime().Seconds()
			}
			limited = true
			out.InBackoff++
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

// LimitEnded starts the slow start of a server whose limit ended: all gateways left the
// server out, and would otherwise send requests to it at the same moment.
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

// IDOf returns the id of the listed server that has a limit with the key, empty if there
// is none.
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
