package upstream

import (
	"context"
	"errors"
	"sync"
	"syscall"
	"time"

	"baywall.example/core/clock"
)

// Liveness is the state of a backend server's process as a new connection shows it.
type Liveness int

// Liveness states.
const (
	Silent    Liveness = iota + 1 // no reply in time: the process's state is unknown
	Listening                     // a process accepts connections at the address
	Ended                         // the host refuses the connection: no process listens
)

// String returns the liveness's name.
func (l Liveness) String() string { return [...]string{"", "silent", "listening", "ended"}[l] }

// livenessProbe holds the latest liveness probe of a backend server. The mutex is held
// during a probe.
type livenessProbe struct {
	mu       sync.Mutex
	finished time.Time
	result   Liveness
}

// Liveness opens a connection to find out whether the backend server's process has ended.
// An accepted connection is put into the pool for a later request. When a server ends, all
// requests on it are lost within the same millisecond; their concurrent calls share one
// probe, as each probe costs the server a connection.
func (p *Pool) Liveness(ctx context.Context) Liveness {
	started := clock.Now()
	p.livenessProbe.mu.Lock()
	defer p.livenessProbe.mu.Unlock()
	if p.livenessProbe.result != 0 && !started.After(p.livenessProbe.finished) {
		return p.livenessProbe.result // this probe was running when the call began
	}
	p.livenessProbe.result = p.probeLiveness(ctx)
	p.livenessProbe.finished = clock.Now()
	return p.livenessProbe.result
}

func (p *Pool) probeLiveness(ctx context.Context) Liveness {
	raw, err := p.dialer.DialContext(ctx, "tcp", p.address)
	if errors.Is(err, syscall.ECONNREFUSED) {
		return Ended
	}
	if err != nil {
		return Silent
	}
	c := newConn(raw)
	c.expires = clock.Now().Add(defaultIdle)
	p.put(c)
	return Listening
}
