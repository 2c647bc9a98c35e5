package notice

import (
	"sync"
	"time"
)

// Key is the hash of an incarnation of a backend server.
type Key uint64

// keptFor is how long the State of an incarnation is kept after it was listed last: a store that
// returns from a copy may list it again.
const keptFor = 10 * time.Minute

// Table holds the State of each incarnation. It is safe for concurrent use.
type Table struct {
	mu     sync.Mutex
	states map[Key]*State
}

// NewTable returns an empty table.
func NewTable() *Table { return &Table{states: make(map[Key]*State)} }

// Of returns the State of an incarnation that is listed from now on.
func (t *Table) Of(server Key) *State {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.states[server]
	if s == nil {
		s = &State{}
		t.states[server] = s
	}
	s.unlisted = time.Time{}
	return s
}

// Unlist notes that an incarnation is not listed any more.
func (t *Table) Unlist(server Key, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if s := t.states[server]; s != nil {
		s.unlisted = now
	}
}

// Expire forgets incarnations that have not been listed for long. A rest is not forgotten before
// its end.
func (t *Table) Expire(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for server, s := range t.states {
		if !s.unlisted.IsZero() && now.Sub(s.unlisted) >= keptFor && !now.Before(s.RestsUntil()) {
			delete(t.states, server)
		}
	}
}
