package ratelimit

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"baywall.example/core/clock"
	"baywall.example/core/vm"
)

// ErrClosed means that a backend server is at its limit and must not be sent a request
// now.
var ErrClosed = eris.New("ratelimit: the backend server is at its limit")

const (
	// permitTimeout bounds a permit request. A gateway answers within a few milliseconds,
	// and the client request can still be sent to another server.
	permitTimeout = 150 * time.Millisecond
	// unansweredBackoff is how long a server is not selected after its grantor did not
	// answer, or if no grantor is known.
	unansweredBackoff = 250 * time.Millisecond
)

// Network is what a Gate needs from its process.
type Network interface {
	// Grantor returns the gateway that grants permits for a server in the view of this
	// process, and whether that is this process. known is false if there is none.
	Grantor(server Key) (id vm.ID, own, known bool)
	// ReachableFraction returns the fraction of a limit that this process may grant; see the
	// function of the same name.
	ReachableFraction() float64
	// RequestPermit requests a permit from another gateway.
	RequestPermit(ctx context.Context, grantor vm.ID, s Observation) (Grant, error)
}

// Gate admits each request to a backend server at the moment of sending. It is safe for
// concurrent use.
type Gate struct {
	table *Table
	net   Network

	mu      sync.Mutex
	grantor *Grantor
	servers map[Key]*serverState

	granted, denied, unanswered atomic.Uint64
}

// serverState is the state of a gate for one server with a limit.
type serverState struct {
	closedUntil time.Time     // no permit is requested before this time
	pending     chan struct{} // closed when the pending permit request has ended, nil = none
}

// Counts are the numbers of permit requests by result.
type Counts struct {
	Got        uint64 // granted, and used at once unless the caller left in the meantime
	Denied     uint64 // denied
	Unanswered uint64 // the grantor did not answer, or none was known
}

// NewGate returns a gate that enforces the limits in a table.
func NewGate(table *Table, net Network) *Gate {
	return &Gate{table: table, net: net, grantor: NewGrantor(), servers: make(map[Key]*serverState)}
}

// Counts returns the numbers of permit requests by result.
func (g *Gate) Counts() Counts {
	return Counts{Got: g.granted.Load(), Denied: g.denied.Load(), Unanswered: g.unanswered.Load()}
}

// Opens returns when a request may next be tried at a server with a limit, and the limit.
// limited is false if the server has none.
func (g *Gate) Opens(server Key) (at time.Time, limit KnownLimit, limited bool) {
	limit, limited = g.table.Get(server)
	if !limited {
		return time.Time{}, KnownLimit{}, false
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if s := g.servers[server]; s != nil {
		at = s.closedUntil
	}
	return at, limit, true
}

// Take acquires the permit to send one request to a server now. It returns ErrClosed if no
// permit is available, and nil for a server without a limit.
func (g *Gate) Take(ctx context.Context, server Key) error {
	for {
		limit, limited := g.table.Get(server)
		if !limited {
			return nil
		}
		started, wait := g.startRequest(server)
		switch {
		case started != nil:
			return g.requestPermit(ctx, started, limit.Observation)
		case wait == nil:
			return ErrClosed
		}
		select {
		case <-wait:
		case <-ctx.Done():
			return ErrClosed
		}
	}
}

// startRequest starts a permit request for a server and returns its state. If another
// request is pending, it returns the channel that is closed when that one has ended. If it
// is too early for a request, it returns neither.
func (g *Gate) startRequest(server Key) (started *serverState, wait <-chan struct{}) {
	g.mu.Lock()
	defer g.mu.Unlock()
	s := g.servers[server]
	if s == nil {
		s = &serverState{}
		g.servers[server] = s
	}
	switch {
	case s.pending != nil:
		return nil, s.pending
	case clock.Now().Before(s.closedUntil):
		return nil, nil
	}
	s.pending = make(chan struct{})
	return s, nil
}

// requestPermit requests one permit.
func (g *Gate) requestPermit(ctx context.Context, s *serverState, limit Observation) error {
	grant, answered := g.requestFromGrantor(ctx, limit)
	switch {
	case !answered:
		g.unanswered.Add(1)
	case grant.Granted:
		g.granted.Add(1)
	default:
		g.denied.Add(1)
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	close(s.pending)
	s.pending = nil
	if !grant.Granted {
		s.closedUntil = clock.Now().Add(grant.Wait)
	}
	if !grant.Granted || ctx.Err() != nil {
		return ErrClosed
	}
	return nil
}

func (g *Gate) requestFromGrantor(ctx context.Context, limit Observation) (grant Grant, answered bool) {
	id, own, known := g.net.Grantor(limit.Server)
	if !known {
		return Grant{Wait: unansweredBackoff}, false
	}
	if own {
		return g.Grant(limit), true
	}
	// Other callers share the exchange, so it must not end when this caller leaves.
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), permitTimeout)
	defer cancel()
	grant, err := g.net.RequestPermit(ctx, id, limit)
	if err != nil {
		return Grant{Wait: unansweredBackoff}, false
	}
	return grant, true
}

// Grant answers a permit request. It uses this process's own observation of the limit if
// that is newer.
func (g *Gate) Grant(requested Observation) Grant {
	limit, ok := g.table.Latest(requested.Server)
	if !ok || requested.supersedes(limit.Observation) {
		limit.Observation = requested
	}
	if !limit.Limited {
		return Grant{Granted: true} // the requester does not know yet that the limit ended
	}
	_, own, known := g.net.Grantor(requested.Server)
	fraction := g.net.ReachableFraction()
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.grantor.Handle(limit, FleetView{IsGrantor: known && own, ReachableFraction: fraction}, clock.Now())
}

// Expire removes the state of servers that no longer have a limit, and the buckets of
// servers for which another gateway is the grantor.
func (g *Gate) Expire(now time.Time) {
	g.mu.Lock()
	for server, s := range g.servers {
		if _, limited := g.table.Get(server); !limited && s.pending == nil {
			delete(g.servers, server)
		}
	}
	buckets := g.grantor.Servers()
	g.mu.Unlock()
	for _, server := range buckets {
		if _, own, known := g.net.Grantor(server); !known || !own {
			g.mu.Lock()
			g.grantor.Drop(server)
			g.mu.Unlock()
		}
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.grantor.Expire(now)
}
