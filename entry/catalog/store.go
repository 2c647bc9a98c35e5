package catalog

import (
	"sync"
	"sync/atomic"
)

// Store holds the snapshot in force. It is safe for concurrent use.
type Store struct {
	mu      sync.Mutex
	current atomic.Pointer[Snapshot]
}

// Current returns the snapshot in force, nil before the first one.
func (s *Store) Current() *Snapshot { return s.current.Load() }

// Version returns the version in force, 0 before the first one.
func (s *Store) Version() uint64 {
	if c := s.Current(); c != nil {
		return c.Version
	}
	return 0
}

// Apply puts the snapshot in force unless one of the same or a higher version
// is. It reports whether it did.
func (s *Store) Apply(next *Snapshot) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if next.Version <= s.Version() {
		return false
	}
	s.current.Store(next)
	return true
}
