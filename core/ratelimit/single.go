package ratelimit

import (
	"sync"
	"time"

	"github.com/rs/zerolog"
)

// Single keeps the limit of one backend server for a process through which all requests to
// it go. It is safe for concurrent use.
type Single struct {
	table *Table

	mu      sync.Mutex
	grantor *Grantor
}

// onlyServer is the key of the server in the tables of a Single.
const onlyServer Key = 1

// NewSingle returns the limit of a server that has not said anything yet.
func NewSingle(name string, log zerolog.Logger) *Single {
	return &Single{table: NewTable(func(Key) string { return name }, log), grantor: NewGrantor()}
}

// Heard takes what an answer said, to a request that was sent at a time.
func (s *Single) Heard(said Said, sent, now time.Time) { s.table.Heard(onlyServer, said, sent, now) }

// Take takes the permit to send a request now. If there is none, it returns after which time
// it is worth trying again.
func (s *Single) Take(now time.Time) (wait time.Duration, ok bool) {
	limit, limited := s.table.Get(onlyServer)
	if !limited {
		return 0, true
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	grant := s.grantor.Handle(limit, Fleet{First: true, Part: 1}, now)
	return grant.Wait, grant.Granted
}
