package ratelimit

import (
	"sync"
	"time"

	"github.com/rs/zerolog"
)

// Single enforces the limit of one backend server in a process that handles all requests
// to it. It is safe for concurrent use.
type Single struct {
	table *Table

	mu      sync.Mutex
	grantor *Grantor
}

// onlyServer is the key of the server in the tables of a Single.
const onlyServer Key = 1

// NewSingle returns a Single for a server that has not reported anything yet.
func NewSingle(name string, log zerolog.Logger) *Single {
	return &Single{table: NewTable(func(Key) string { return name }, log), grantor: NewGrantor()}
}

// Record stores what an answer reported about the limit. sent is when the request was
// sent.
func (s *Single) Record(r Report, sent, now time.Time) { s.table.Record(onlyServer, r, sent, now) }

// Take acquires the permit to send a request now. If there is none, it returns the time
// after which to try again.
func (s *Single) Take(now time.Time) (wait time.Duration, ok bool) {
	limit, limited := s.table.Get(onlyServer)
	if !limited {
		return 0, true
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	grant := s.grantor.Handle(limit, FleetView{IsGrantor: true, ReachableFraction: 1}, now)
	return grant.Wait, grant.Granted
}
