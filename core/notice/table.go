package notice

import (
	"sync"
	"time"
)

// Key is the hash of an incarnation of a backend server.
type Key uint64

// stateRetention is how long the State of an incarnation is retained after it was last
// listed: a store that is restored from a copy may list it again.
const stateRetention = 10 * time.Minute

// Table holds the State of each incarnation of a backend server. It is safe for concurrent
// use.
type Table struct {
	mu     sync.Mutex
	states map[Key]*State
}

// NewTable returns an empty table.
func NewTable() *Table { return &Table{states: make(map[Key]*State)} }

// Of returns the State of an incarnation and marks it as listed.
func (t *Table) Of(server Key) *State {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.states[server]
	if s == nil {
		s = &State{}
		t.states[server] = s
	}
	s.unlistedSince = time.Time{}
	return s
}

// Unlist marks an incarnation as no longer listed.
func (t *Table) Unlist(server Key, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if s := t.states[server]; s != nil {
		s.unlistedSince = now
	}
}

// Expire removes incarnations that have not been listed for stateRetention, unless their
// backoff has not ended yet.
func (t *Table) Expire(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for server, s := range t.states {
		if !s.unlistedSince.IsZero() && now.Sub(s.unlistedSince) >= stateRetention && !now.Before(s.BackoffUntil()) {
			delete(t.states, server)
		}
	}
}
