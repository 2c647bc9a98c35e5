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

// ErrClosed means that a backend server is at its limit: nothing may be sent to it now.
var ErrClosed = eris.New("ratelimit: the backend server is at its limit")

const (
	// askTimeout bounds an ask for a permit: a gateway answers within a few milliseconds, and
	// the request can still be sent elsewhere.
	askTimeout = 150 * time.Millisecond
	// silentPause is for how long a server is left out after the gateway that grants did
	// not answer, or none is known.
	silentPause = 250 * time.Millisecond
)

// Network is what a Gate needs of its process.
type Network interface {
	// Grantor returns the gateway that grants permits for a server as this process sees
	// it, and whether that is this one; false if none is known.
	Grantor(server Key) (id vm.ID, own, known bool)
	// Part returns the Part of Fleet.
	Part() float64
	// Ask asks another gateway for a permit.
	Ask(ctx context.Context, grantor vm.ID, s Statement) (Grant, error)
}

// Gate is what each request to a backend server passes at the moment of sending. It is safe
// for concurrent use.
type Gate struct {
	table *Table
	net   Network

	mu      sync.Mutex
	grantor *Grantor
	servers map[Key]*serverState

	got, lacked, unanswered atomic.Uint64
}

// serverState is what a gate knows of one limited server.
type serverState struct {
	closed time.Time     // nothing is asked for before
	asking chan struct{} // closed when the ask under way has ended, nil = none is
}

// Counts are how often permits were asked for.
type Counts struct {
	Got        uint64 // used at once, but where the caller left meanwhile
	Lacked     uint64 // there was none
	Unanswered uint64 // the gateway that grants did not answer, or none was known
}

// NewGate returns the gate for the limits in a table.
func NewGate(table *Table, net Network) *Gate {
	return &Gate{table: table, net: net, grantor: NewGrantor(), servers: make(map[Key]*serverState)}
}

// Counts returns how often permits were asked for.
func (g *Gate) Counts() Counts {
	return Counts{Got: g.got.Load(), Lacked: g.lacked.Load(), Unanswered: g.unanswered.Load()}
}

// Opens returns when it is worth trying to send to a server that names a limit, and the
// limit; false if it names none.
func (g *Gate) Opens(server Key) (at time.Time, limit Known, limited bool) {
	limit, limited = g.table.Get(server)
	if !limited {
		return time.Time{}, Known{}, false
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if s := g.servers[server]; s != nil {
		at = s.closed
	}
	return at, limit, true
}

// Take takes the permit to send one request to a server now. It returns ErrClosed if there
// is none, and nil for a server without a limit.
func (g *Gate) Take(ctx context.Context, server Key) error {
	for {
		limit, limited := g.table.Get(server)
		if !limited {
			return nil
		}
		ours, wait := g.begin(server)
		switch {
		case ours != nil:
			return g.ask(ctx, ours, limit.Statement)
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

// begin begins an ask for a server, or returns a channel to wait with for the one that is
// under way; neither if it is not worth asking yet.
func (g *Gate) begin(server Key) (ours *serverState, wait <-chan struct{}) {
	g.mu.Lock()
	defer g.mu.Unlock()
	s := g.servers[server]
	if s == nil {
		s = &serverState{}
		g.servers[server] = s
	}
	switch {
	case s.asking != nil:
		return nil, s.asking
	case clock.Now().Before(s.closed):
		return nil, nil
	}
	s.asking = make(chan struct{})
	return s, nil
}

// ask asks for one permit.
func (g *Gate) ask(ctx context.Context, s *serverState, limit Statement) error {
	grant, answered := g.askGrantor(ctx, limit)
	switch {
	case !answered:
		g.unanswered.Add(1)
	case grant.Granted:
		g.got.Add(1)
	default:
		g.lacked.Add(1)
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	close(s.asking)
	s.asking = nil
	if !grant.Granted {
		s.closed = clock.Now().Add(grant.Wait)
	}
	if !grant.Granted || ctx.Err() != nil {
		return ErrClosed
	}
	return nil
}

func (g *Gate) askGrantor(ctx context.Context, limit Statement) (grant Grant, answered bool) {
	id, own, known := g.net.Grantor(limit.Server)
	if !known {
		return Grant{Wait: silentPause}, false
	}
	if own {
		return g.Grant(limit), true
	}
	// A caller that leaves must not end an exchange on a link that others use.
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), askTimeout)
	defer cancel()
	grant, err := g.net.Ask(ctx, id, limit)
	if err != nil {
		return Grant{Wait: silentPause}, false
	}
	return grant, true
}

// Grant answers an ask for a permit, by what this process knows of the limit if that is
// later.
func (g *Gate) Grant(asked Statement) Grant {
	limit, ok := g.table.Latest(asked.Server)
	if !ok || asked.supersedes(limit.Statement) {
		limit.Statement = asked
	}
	if !limit.Limited {
		return Grant{Granted: true} // the one that asks has not heard yet that it ended
	}
	_, own, known := g.net.Grantor(asked.Server)
	part := g.net.Part()
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.grantor.Handle(limit, Fleet{First: known && own, Part: part}, clock.Now())
}

// Expire forgets servers that name no limit any more, and for which others grant.
func (g *Gate) Expire(now time.Time) {
	g.mu.Lock()
	for server, s := range g.servers {
		if _, limited := g.table.Get(server); !limited && s.asking == nil {
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
