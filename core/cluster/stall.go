package cluster

import (
	"sync"
	"time"
)

const (
	// stalledFrom is the time between two looks for due heartbeats from which a process is
	// taken to have stood still, drainTime the time in which it reads what came meanwhile.
	stalledFrom = 500 * time.Millisecond
	drainTime   = 100 * time.Millisecond
)

// stall tells whether datagrams may have waited in the socket while the process stood still:
// the ages in them are too low then, by as long. It is safe for concurrent use.
type stall struct {
	mu     sync.Mutex
	looked time.Time // for due heartbeats; zero = not yet
	until  time.Time // what is read before may have waited
}

// look notes a look for due heartbeats.
func (s *stall) look(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stalled(now) {
		s.until = now.Add(drainTime)
	}
	s.looked = now
}

// waited reports whether a datagram that is read now may have waited.
func (s *stall) waited(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.stalled(now) || now.Before(s.until)
}

func (s *stall) stalled(now time.Time) bool {
	return !s.looked.IsZero() && now.Sub(s.looked) >= stalledFrom
}
