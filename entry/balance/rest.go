package balance

import (
	"math/rand/v2"
	"sync/atomic"
	"time"
)

// A backend server that turns a request away may ask this gateway for rest. It then gets nothing
// by any way until the rest is over, and its requests back a few at a time: each that it accepts
// lets one more be under way. A server that is still in need turns one request away, not a batch.

// unknownStay is for how long a request is taken to occupy a slot as long as none has been seen
// to end.
const unknownStay = time.Second

// returning bounds what a server gets after a rest.
type returning struct {
	window   int           // requests at a time, 0 = any number
	underWay *atomic.Int32 // of those sent since the rest
}

// full reports whether the server gets nothing more for the moment.
func (r *returning) full() bool { return r.window > 0 && int(r.underWay.Load()) >= r.window }

// accepted widens the window, until it is no bound any more.
func (r *returning) accepted(slots int) {
	if r.window == 0 {
		return
	}
	if r.window++; r.window >= slots {
		r.window = 0
	}
}

// Rests reports whether the server rests.
func (s *Server) Rests(now time.Time) bool { return now.Before(s.said.RestsUntil()) }

// usualStay returns for how long a request occupies a slot.
func (s *shard) usualStay() time.Duration {
	if s.occupied == 0 {
		return unknownStay
	}
	return s.occupied
}

// backAt returns when a server that rests, or returns from a rest, may get a request; false if it
// does neither.
func (s *shard) backAt(server *Server, now time.Time) (at time.Time, resting bool) {
	window := server.returning.window
	switch {
	case server.Rests(now):
		return server.said.RestsUntil(), true
	case server.returning.full():
		return now.Add(s.usualStay() / time.Duration(window)), true
	default:
		return time.Time{}, window > 0
	}
}

// Rested notes that the server turned a request away and wants nothing from this gateway for a
// time. It returns until when it gets nothing, and whether it rested before.
func (r *Registry) Rested(server *Server, rest time.Duration, now time.Time) (until time.Time, before bool) {
	s := r.shard(server.Service)
	s.mu.Lock()
	defer s.mu.Unlock()
	spread := returnSpread(rest, s.usualStay(), r.peers.Members(), server.Slots)
	until, before = server.said.Rest(now.Add(rest+rand.N(spread+1)), now)
	server.returning = returning{window: 1, underWay: new(atomic.Int32)}
	return until, before
}

// returnSpread returns over which time the first requests of all gateways after a rest are
// spread, zero if there is a slot for each: about as many are under way at a time as there are
// slots. A rest is not made more than twice as long by it.
func returnSpread(rest, stay time.Duration, members, slots int) time.Duration {
	if members <= slots {
		return 0
	}
	return min(rest, time.Duration(float64(members)/float64(max(1, slots))*float64(stay)))
}
