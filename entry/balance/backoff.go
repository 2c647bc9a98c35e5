package balance

import (
	"math/rand/v2"
	"sync/atomic"
	"time"
)

// A backend server that rejects a request may ask this gateway for a backoff. It then
// gets no requests on any path until the backoff has ended. After that, the number of
// concurrent requests ramps up from one: each accepted request allows one more. A server
// that is still overloaded thus rejects one request, not a batch.

// defaultServiceTime is the assumed time for which a request occupies a slot until one
// has been measured.
const defaultServiceTime = time.Second

// rampUp bounds the concurrent requests to a server after a backoff.
type rampUp struct {
	window  int           // maximum number of concurrent requests, 0 = unbounded
	running *atomic.Int32 // requests sent since the backoff
}

// full reports whether the window allows no further request now.
func (r *rampUp) full() bool { return r.window > 0 && int(r.running.Load()) >= r.window }

// accepted widens the window by one request, and removes the bound when it reaches the
// slots.
func (r *rampUp) accepted(slots int) {
	if r.window == 0 {
		return
	}
	if r.window++; r.window >= slots {
		r.window = 0
	}
}

// HasBackoff reports whether the server is in a backoff.
func (s *Server) HasBackoff(now time.Time) bool { return now.Before(s.noticeState.BackoffUntil()) }

// usualServiceTime returns the measured time for which a request occupies a slot, or
// defaultServiceTime.
func (s *shard) usualServiceTime() time.Duration {
	if s.meanServiceTime == 0 {
		return defaultServiceTime
	}
	return s.meanServiceTime
}

// availableAt returns when a server in a backoff or ramp-up may get a request; false if it
// is in neither.
func (s *shard) availableAt(server *Server, now time.Time) (at time.Time, inBackoff bool) {
	window := server.rampUp.window
	switch {
	case server.HasBackoff(now):
		return server.noticeState.BackoffUntil(), true
	case server.rampUp.full():
		return now.Add(s.usualServiceTime() / time.Duration(window)), true
	default:
		return time.Time{}, window > 0
	}
}

// StartBackoff records that the server asked this gateway for a backoff. It returns the
// end of the backoff, and whether the server was in a backoff before.
func (r *Registry) StartBackoff(server *Server, backoff time.Duration, now time.Time) (until time.Time, before bool) {
	s := r.shard(server.Service)
	s.mu.Lock()
	defer s.mu.Unlock()
	jitter := backoffJitter(backoff, s.usualServiceTime(), r.peers.Members(), server.Slots)
	until, before = server.noticeState.Backoff(now.Add(backoff+rand.N(jitter+1)), now)
	server.rampUp = rampUp{window: 1, running: new(atomic.Int32)}
	return until, before
}

// backoffJitter returns the interval over which the first requests of all gateways after
// a backoff are spread, so that the number of concurrent ones is about the number of
// slots. It is zero if there is a slot for each gateway. It is at most the length of the
// backoff.
func backoffJitter(backoff, serviceTime time.Duration, members, slots int) time.Duration {
	if members <= slots {
		return 0
	}
	return min(backoff, time.Duration(float64(members)/float64(max(1, slots))*float64(serviceTime)))
}
