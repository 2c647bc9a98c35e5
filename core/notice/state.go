package notice

import (
	"sync"
	"time"
)

// State is the known state of one incarnation of a backend server. It is safe for
// concurrent use.
type State struct {
	mu           sync.Mutex
	backoffUntil time.Time // end of the backoff, zero = none was ever requested
	leaving      Source    // what first reported that the server leaves, empty = it does not leave

	// unlistedSince is the time since which it is not listed, zero = it is listed. It is
	// guarded by the lock of the Table.
	unlistedSince time.Time
}

// Source identifies what reported a state.
type Source string

// Sources.
const (
	FromEntry  Source = "entry"
	FromAnswer Source = "answer"
)

// Backoff records that the server requested a backoff until the given time. It returns the
// end of the server's backoff, and whether one was in effect before.
func (s *State) Backoff(until, now time.Time) (end time.Time, active bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	active = now.Before(s.backoffUntil)
	if until.After(s.backoffUntil) {
		s.backoffUntil = until
	}
	return s.backoffUntil, active
}

// BackoffUntil returns the end of the server's backoff. It is in the past if none is in
// effect.
func (s *State) BackoffUntil() time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.backoffUntil
}

// Leave records that the server leaves, and reports whether this was unknown before.
func (s *State) Leave(from Source) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.leaving != "" {
		return false
	}
	s.leaving = from
	return true
}

// Leaving reports whether the server leaves, and what reported it first.
func (s *State) Leaving() (from Source, leaves bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.leaving, s.leaving != ""
}
