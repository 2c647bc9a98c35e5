package link

import (
	"context"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"baywall.example/core/clock"
	"baywall.example/core/vm"
)

const (
	// minBackoff and maxBackoff bound the backoff after a failed dial.
	minBackoff = 50 * time.Millisecond
	maxBackoff = time.Second
)

// Pool keeps at most one outgoing link per VM. It is safe for concurrent use. Each VM's
// link has its own lock, so that a slow dial does not delay calls for other VMs.
type Pool struct {
	local   *Local
	handler Handler
	onUp    func(*Link)
	onDown  func(*Link)

	mu     sync.Mutex
	slots  map[vm.ID]*slot
	closed bool
}

// slot holds the link to one VM. No link is opened in a slot that was removed from its pool,
// as the pool could not close it.
type slot struct {
	mu       sync.Mutex
	removed  bool
	link     *Link
	address  string
	backoff  time.Duration
	retryAt  time.Time
	lastUsed time.Time // time of the last Get
}

// NewPool returns an empty pool. onUp runs once for each link that is established, and
// onDown once for each that ends; both may be nil.
func NewPool(local *Local, handler Handler, onUp, onDown func(*Link)) *Pool {
	return &Pool{local: local, handler: handler, onUp: onUp, onDown: onDown, slots: make(map[vm.ID]*slot)}
}

// errRemoved means that a slot was removed from its pool before it was locked.
var errRemoved = eris.New("link: slot removed")

// Get returns the link to the VM and dials if there is none. During the backoff after a
// failed dial, and once the pool is closed, it fails immediately. The callback for a new
// link runs without any lock held, as it may use the pool.
func (p *Pool) Get(ctx context.Context, v vm.VM) (*Link, error) {
	for {
		s := p.slot(v.ID)
		if s == nil {
			return nil, eris.Wrapf(ErrUnreachable, "%s: the pool is closed", v.ID)
		}
		l, isNew, err := p.getOrDial(ctx, s, v)
		if eris.Is(err, errRemoved) {
			continue
		}
		if isNew {
			p.watch(l)
		}
		return l, err
	}
}

func (p *Pool) getOrDial(ctx context.Context, s *slot, v vm.VM) (l *Link, isNew bool, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.removed {
		return nil, false, errRemoved
	}
	s.lastUsed = clock.Now()
	if s.link != nil && !s.link.Closed() && s.address == v.Link {
		return s.link, false, nil
	}
	if s.address == v.Link && clock.Now().Before(s.retryAt) {
		return nil, false, eris.Wrapf(ErrUnreachable, "%s: backing off after a failed dial", v.ID)
	}
	l, err = p.dial(ctx, s, v)
	return l, err == nil, err
}

func (p *Pool) dial(ctx context.Context, s *slot, v vm.VM) (*Link, error) {
	if s.link != nil {
		s.link.Close()
		s.link = nil
	}
	s.address = v.Link
	l, err := Dial(ctx, p.local, v.Link, p.handler)
	if err == nil && l.Remote != v.ID {
		l.Close()
		err = eris.Wrapf(ErrProtocol, "%s answered as %s", v.ID, l.Remote)
	}
	if err != nil {
		s.backoff = min(max(2*s.backoff, minBackoff), maxBackoff)
		s.retryAt = clock.Now().Add(s.backoff)
		return nil, err
	}
	s.link, s.backoff, s.retryAt = l, 0, time.Time{}
	return l, nil
}

func (p *Pool) watch(l *Link) {
	if p.onUp != nil {
		p.onUp(l)
	}
	go func() {
		<-l.Done()
		if p.onDown != nil {
			p.onDown(l)
		}
	}()
}

// Lookup returns the open link to a VM if there is one; it does not dial.
func (p *Pool) Lookup(id vm.ID) (*Link, bool) {
	p.mu.Lock()
	s := p.slots[id]
	p.mu.Unlock()
	if s == nil {
		return nil, false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.link == nil || s.link.Closed() {
		return nil, false
	}
	return s.link, true
}

// Retain closes the links to VMs for which keep returns false, also those that are being
// dialed.
func (p *Pool) Retain(keep func(vm.ID) bool) {
	p.mu.Lock()
	drop := p.remove(keep)
	p.mu.Unlock()
	for _, s := range drop {
		s.close()
	}
}

// remove removes the slots of VMs for which keep returns false. The caller holds the lock.
func (p *Pool) remove(keep func(vm.ID) bool) []*slot {
	var drop []*slot
	for id, s := range p.slots {
		if !keep(id) {
			drop = append(drop, s)
			delete(p.slots, id)
		}
	}
	return drop
}

// CloseIdle closes the links that Get has not returned since the given time. Each link
// costs both sides some tens of kilobytes, so links that are used only occasionally must
// not accumulate until there is one per VM.
func (p *Pool) CloseIdle(since time.Time) {
	for _, s := range p.all() {
		s.mu.Lock()
		if s.link != nil && s.lastUsed.Before(since) {
			s.link.Close()
			s.link = nil
		}
		s.mu.Unlock()
	}
}

// Links returns the open links.
func (p *Pool) Links() []*Link {
	var out []*Link
	for _, s := range p.all() {
		s.mu.Lock()
		if s.link != nil && !s.link.Closed() {
			out = append(out, s.link)
		}
		s.mu.Unlock()
	}
	return out
}

// Close closes every link, also those that are being dialed, and ends the pool: no link is
// opened after it has returned.
func (p *Pool) Close() {
	p.mu.Lock()
	p.closed = true
	drop := p.remove(func(vm.ID) bool { return false })
	p.mu.Unlock()
	for _, s := range drop {
		s.close()
	}
}

// close closes the link of a slot that was removed from its pool.
func (s *slot) close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.removed = true
	if s.link != nil {
		s.link.Close()
	}
}

// all returns a copy of the slots, so that each can be locked without holding p.mu.
func (p *Pool) all() []*slot {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := make([]*slot, 0, len(p.slots))
	for _, s := range p.slots {
		out = append(out, s)
	}
	return out
}

// slot returns the slot of a VM, or nil if the pool is closed.
func (p *Pool) slot(id vm.ID) *slot {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return nil
	}
	s := p.slots[id]
	if s == nil {
		s = &slot{}
		p.slots[id] = s
	}
	return s
}
