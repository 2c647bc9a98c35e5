package backend

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/conc"

	"baywall.example/core/link"
	"baywall.example/core/timeline"
	"baywall.example/core/vm"
	"baywall.example/core/wire"
	"baywall.example/entry/routing"
)

// relinkInterval is the time between two attempts to connect to suspect or new
// backend servers.
const relinkInterval = 200 * time.Millisecond

// Directory holds the backend servers of all services. It is safe for
// concurrent use; choosing among a service's backend servers takes no lock.
type Directory struct {
	pool     *link.Pool
	recorder *timeline.Recorder
	onReport func(vm.ID, *wire.Report)
	workers  conc.WaitGroup

	mu       sync.Mutex
	backends map[vm.ID]*Backend
	stopped  bool // no further worker is started
	usable   atomic.Pointer[map[string]*Choice]
}

// Choice is the set of backend servers of one service that may get new requests.
// Both slices have the same order.
type Choice struct {
	Backends []*Backend
	Runners  []*routing.Runner
}

// Available returns the backend servers that accept requests at the given time. If none does, it
// also returns the period without requests that ends first.
func (c Choice) Available(now time.Time) (open Choice, next Backoff) {
	for i, b := range c.Backends {
		if backoff := b.Backoff(); backoff.Until.After(now) {
			if next.Reason == "" || backoff.Ends.Before(next.Ends) {
				next = backoff
			}
			continue
		}
		open.Backends = append(open.Backends, b)
		open.Runners = append(open.Runners, c.Runners[i])
	}
	switch len(open.Backends) {
	case len(c.Backends):
		return c, Backoff{}
	case 0:
		return open, next
	default:
		return open, Backoff{}
	}
}

// NewDirectory returns an empty directory. The handler serves the links of its
// pool. The callbacks run for each new link to a listed VM and for each report.
func NewDirectory(local *link.Local, handler link.Handler, recorder *timeline.Recorder, onUp func(*link.Link), onReport func(vm.ID, *wire.Report)) *Directory {
	d := &Directory{recorder: recorder, onReport: onReport, backends: make(map[vm.ID]*Backend)}
	d.usable.Store(&map[string]*Choice{})
	d.pool = link.NewPool(local, handler, func(l *link.Link) {
		if d.linkUp(l) {
			onUp(l)
		}
	}, d.linkDown)
	return d
}

// Pool returns the links to agents.
func (d *Directory) Pool() *link.Pool { return d.pool }

// SetList applies a new list from the platform.
func (d *Directory) SetList(list vm.List) {
	d.mu.Lock()
	listed := make(map[vm.ID]struct{})
	for _, v := range list.WithRole(vm.RoleBackend) {
		listed[v.ID] = struct{}{}
		if b := d.backends[v.ID]; b != nil {
			if b.setVM(v) && v.State == vm.StateLeaving {
				d.recorder.Record(timeline.Event{Kind: timeline.KindLeaving, Subject: string(v.ID), Reason: "platform list"})
			}
			continue
		}
		d.backends[v.ID] = newBackend(v)
	}
	for id, b := range d.backends {
		if _, ok := listed[id]; !ok {
			b.setSuspect(true)
			delete(d.backends, id)
		}
	}
	d.rebuild()
	d.mu.Unlock()
	d.pool.Retain(func(id vm.ID) bool { _, ok := listed[id]; return ok })
}

// rebuild recomputes the choices of all services. The caller holds the lock.
func (d *Directory) rebuild() {
	choices := make(map[string]*Choice)
	for _, b := range d.backends {
		if !b.Usable() {
			continue
		}
		for _, service := range b.VM().Services {
			c := choices[service]
			if c == nil {
				c = &Choice{}
				choices[service] = c
			}
			c.Backends = append(c.Backends, b)
			c.Runners = append(c.Runners, b.Runner)
		}
	}
	d.usable.Store(&choices)
}

func (d *Directory) refresh() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.rebuild()
}

// Usable returns the backend servers of a service that may get new requests.
func (d *Directory) Usable(service string) Choice {
	if c := (*d.usable.Load())[service]; c != nil {
		return *c
	}
	return Choice{}
}

// Find returns the backend server with the id, if it is listed.
func (d *Directory) Find(id vm.ID) (*Backend, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	b, ok := d.backends[id]
	return b, ok
}

// Link returns the link to a backend server's agent and dials it if needed. A
// failure makes the backend server suspect.
func (d *Directory) Link(ctx context.Context, b *Backend) (*link.Link, error) {
	l, err := d.pool.Get(ctx, b.VM())
	if err != nil {
		d.suspect(b, "unreachable")
		return nil, err
	}
	return l, nil
}

func (d *Directory) suspect(b *Backend, reason string) {
	if !b.setSuspect(true) {
		return
	}
	d.refresh()
	d.recorder.Record(timeline.Event{Kind: timeline.KindSuspect, Subject: string(b.VM().ID), Reason: reason})
}

// linkUp starts to watch a new link. If its VM is not listed, linkUp closes the link and
// returns false: nobody would watch it once the VM is listed again.
func (d *Directory) linkUp(l *link.Link) bool {
	b, ok := d.Find(l.Remote)
	if !ok {
		l.Close()
		return false
	}
	b.linked(l)
	d.recorder.Record(timeline.Event{Kind: timeline.KindLinkUp, Subject: string(l.Remote)})
	d.startWorker(func() { d.watch(b, l) })
	return true
}

// startWorker runs f in a goroutine that Run waits for, unless Run has ended.
func (d *Directory) startWorker(f func()) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.stopped {
		d.workers.Go(f)
	}
}

// stop closes all links and waits for the workers.
func (d *Directory) stop() {
	d.pool.Close()
	d.mu.Lock()
	d.stopped = true
	d.mu.Unlock()
	d.workers.Wait()
}

func (d *Directory) linkDown(l *link.Link) {
	d.recorder.Record(timeline.Event{Kind: timeline.KindLinkDown, Subject: string(l.Remote)})
	if b, ok := d.Find(l.Remote); ok {
		d.suspect(b, "link lost")
	}
}

// watch receives the load reports on one link until the link ends.
func (d *Directory) watch(b *Backend, l *link.Link) {
	s, err := l.Open(context.Background())
	if err != nil {
		return
	}
	defer s.Close()
	if s.SendCall(&wire.Call{Body: &wire.Call_Watch{Watch: &wire.Watch{}}}) != nil {
		return
	}
	timer := time.AfterFunc(reportTimeout, func() { d.suspect(b, "no report") })
	defer timer.Stop()
	for {
		reply, err := s.RecvReply()
		if err != nil {
			return
		}
		timer.Reset(reportTimeout)
		r := reply.GetReport()
		changed := b.report(r)
		recovered := b.setSuspect(false)
		if changed || recovered {
			d.refresh()
		}
		if recovered {
			d.recorder.Record(timeline.Event{Kind: timeline.KindAlive, Subject: string(l.Remote), Reason: "reports again"})
		}
		d.onReport(l.Remote, r)
	}
}

// Run maintains links to the backend servers of the services for which wanted
// returns true, until the context ends.
func (d *Directory) Run(ctx context.Context, wanted func(service string) bool) {
	ticker := time.NewTicker(relinkInterval)
	defer ticker.Stop()
	for {
		d.relink(ctx, wanted)
		select {
		case <-ctx.Done():
			d.stop()
			return
		case <-ticker.C:
		}
	}
}

func (d *Directory) relink(ctx context.Context, wanted func(string) bool) {
	var wg conc.WaitGroup
	for _, b := range d.unlinked(wanted) {
		wg.Go(func() { _, _ = d.Link(ctx, b) })
	}
	wg.Wait()
}

// unlinked returns the wanted backend servers that have no link. It calls the pool
// without holding the directory's lock, as the pool's callbacks take that lock.
func (d *Directory) unlinked(wanted func(string) bool) []*Backend {
	var out []*Backend
	for _, b := range d.all() {
		v := b.VM()
		if _, open := d.pool.Lookup(v.ID); !open && slices.ContainsFunc(v.Services, wanted) {
			out = append(out, b)
		}
	}
	return out
}

func (d *Directory) all() []*Backend {
	d.mu.Lock()
	defer d.mu.Unlock()
	out := make([]*Backend, 0, len(d.backends))
	for _, b := range d.backends {
		out = append(out, b)
	}
	return out
}
