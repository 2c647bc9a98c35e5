package notice

import (
	"sync"
	"time"
)

// State is what is known of one incarnation of a backend server. It is safe for concurrent use.
type State struct {
	mu      sync.Mutex
	rests   time.Time // until then it wants no requests, zero = it never asked
	leaving Source    // that told so first, empty = it does not leave

	unlisted time.Time // since when it is not listed, zero = it is; under the table's lock
}

// Source is from where something is known.
type Source string

// Sources.
const (
	FromEntry  Source = "entry"
	FromAnswer Source = "answer"
)

// Rest notes that the server wants no requests until a time. It returns the end of its rest, and
// whether it rested before.
func (s *State) Rest(until, now time.Time) (end time.Time, rested bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	rested = now.Before(s.rests)
	if until.After(s.rests) {
		s.rests = until
	}
	return s.rests, rested
}

// RestsUntil returns until when the server wants no requests; in the past if it does not rest.
func (s *State) RestsUntil() time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.rests
}

// Leave notes that the server leaves, and reports whether that is new.
func (s *State) Leave(from Source) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.leaving != "" {
		return false
	}
	s.leaving = from
	return true
}

// Leaving returns what told first that the server leaves, false if it does not.
func (s *State) Leaving() (from Source, leaves bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.leaving, s.leaving != ""
}
