// Package backend keeps what one entry VM knows about the backend servers: the
// link to each agent, its load reports, and whether it may get new work.
//
// A backend server gets new work while the platform lists it as live, its agent
// is not draining, and the agent is not silent. Reports come every 200 ms and
// are the agent's heartbeat; silence of a second, or a broken link, makes the
// backend server suspect until it reports again. What a suspect one holds is
// not given up by that alone.
package backend

import (
	"context"
	"sync"
	"time"

	"baywall.example/core/contract"
	"baywall.example/core/link"
	"baywall.example/core/vm"
	"baywall.example/core/wire"
	"baywall.example/entry/routing"
)

// silence is how long an agent may be silent before it is suspect.
const silence = time.Second

// Backend is one backend server. It is safe for concurrent use.
type Backend struct {
	Runner *routing.Runner

	mu          sync.Mutex
	vm          vm.VM
	incarnation vm.Incarnation
	suspect     bool
	draining    bool
	revision    uint64
	closed      Closed
	alive       context.Context
	kill        context.CancelFunc
}

func newBackend(v vm.VM) *Backend {
	b := &Backend{Runner: routing.NewRunner(v.ID, v.Zone), vm: v}
	b.alive, b.kill = context.WithCancel(context.Background())
	return b
}

// VM returns the backend server's row of the platform's list.
func (b *Backend) VM() vm.VM {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.vm
}

// Usable reports whether the backend server may get new work.
func (b *Backend) Usable() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.vm.State == vm.StateLive && !b.suspect && !b.draining
}

// Closed tells until when a backend server takes no requests, and why.
type Closed struct {
	// Until is when its agent is asked again, at the latest: another process may have
	// taken the backend server's place.
	Until time.Time
	// Ends is when it takes requests by what its agent said.
	Ends   time.Time
	Reason contract.Reason // it is at the limit that it names, or rests
}

// longestRest bounds the time for which an agent is not asked whose backend server rests.
const longestRest = time.Second

// Close notes that the backend server takes no more requests for a time.
func (b *Backend) Close(reason contract.Reason, left time.Duration, now time.Time) Closed {
	c := Closed{Until: now.Add(left), Ends: now.Add(left), Reason: reason}
	if reason == contract.ReasonRest {
		c.Until = now.Add(min(left, longestRest))
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.closed = c
	return c
}

// Closed returns until when the backend server takes no requests; in the past if it does.
func (b *Backend) Closed() Closed {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.closed
}

// Incarnation returns that of the linked agent, 0 if there never was a link.
func (b *Backend) Incarnation() vm.Incarnation {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.incarnation
}

// Alive returns a context that ends when the backend server becomes suspect.
func (b *Backend) Alive() context.Context {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.alive
}

// setVM takes over a newer row and reports whether usability may have changed.
func (b *Backend) setVM(v vm.VM) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	changed := b.vm.State != v.State
	b.vm = v
	return changed
}

// setSuspect changes the suspicion and reports whether it was different.
func (b *Backend) setSuspect(suspect bool) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.suspect == suspect {
		return false
	}
	b.suspect = suspect
	if suspect {
		b.kill()
	} else {
		b.alive, b.kill = context.WithCancel(context.Background())
	}
	return true
}

// linked notes a new link.
func (b *Backend) linked(l *link.Link) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.incarnation != l.Incarnation {
		b.incarnation = l.Incarnation
		b.draining = false
		b.closed = Closed{}
	}
}

// report takes in a load report and tells whether usability changed.
func (b *Backend) report(r *wire.Report) bool {
	b.Runner.Report(r.GetInFlight(), r.GetQueued())
	b.mu.Lock()
	defer b.mu.Unlock()
	b.revision = r.GetConfigRevision()
	changed := b.draining != r.GetDraining()
	b.draining = r.GetDraining()
	return changed
}

// ConfigRevision returns the configuration revision the agent reported.
func (b *Backend) ConfigRevision() uint64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.revision
}
