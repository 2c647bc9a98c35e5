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

// Apply puts the snapshot in force and reports whether it did. It refuses a version lower
// than the current one, and the same version unless that was rewritten in the source.
func (s *Store) Apply(next *Snapshot, rewritten bool) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if next.Version < s.Version() || next.Version == s.Version() && !rewritten {
		return false
	}
	s.current.Store(next)
	return true
}
