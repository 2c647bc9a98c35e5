package cluster

import (
	"sync"
	"time"
)

const (
	// stallThreshold is the time between two ticks from which the process counts as
	// stalled. drainTime is how long it then needs to read the datagrams that arrived in
	// the meantime.
	stallThreshold = 500 * time.Millisecond
	drainTime      = 100 * time.Millisecond
)

// stall detects whether datagrams may have waited in the socket buffer while the process
// was stalled. The ages that they carry are then too low by the waiting time. It is safe
// for concurrent use.
type stall struct {
	mu         sync.Mutex
	lastTick   time.Time // time of the latest tick; zero = none yet
	drainUntil time.Time // datagrams read before this time may have waited
}

// recordTick records a tick of the process.
func (s *stall) recordTick(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stalled(now) {
		s.drainUntil = now.Add(drainTime)
	}
	s.lastTick = now
}

// mayHaveWaited reports whether a datagram that is read now may have waited in the socket
// buffer.
func (s *stall) mayHaveWaited(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.stalled(now) || now.Before(s.drainUntil)
}

func (s *stall) stalled(now time.Time) bool {
	return !s.lastTick.IsZero() && now.Sub(s.lastTick) >= stallThreshold
}
