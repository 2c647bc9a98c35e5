// Package spread keeps the configuration and the list of VMs of one entry VM up
// to date and distributes them.
//
// The platform allows few reads, so only the first two usable entry VMs of each
// availability zone, in rendezvous order, watch it. All others learn of newer
// revisions from the membership probes and pull them from the sender of the
// probe. A change is announced to a few peers and to every linked agent
// immediately. A new process first pulls from its seeds and the platform.
package spread

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/rotisserie/eris"
	"github.com/rs/zerolog"
	"github.com/sourcegraph/conc"

	"baywall.example/core/clock"
	"baywall.example/core/configuration"
	"baywall.example/core/link"
	"baywall.example/core/platform"
	"baywall.example/core/rendezvous"
	"baywall.example/core/timeline"
	"baywall.example/core/vm"
	"baywall.example/core/wire"
	"baywall.example/core/zone"
	"baywall.example/entry/membership"
)

const (
	// watchersPerZone is how many entry VMs of a zone watch the platform.
	watchersPerZone = 2
	// watcherKey is the key of the watchers' rendezvous order.
	watcherKey = "platform-watch"
	// pullTimeout bounds one exchange with a peer.
	pullTimeout = 3 * time.Second
	// initialBackoff and maxBackoff bound the delay after a failed platform read.
	initialBackoff = 100 * time.Millisecond
	maxBackoff     = 5 * time.Second
	// watcherCheckInterval is how often a VM that is not a watcher checks whether it
	// has become one.
	watcherCheckInterval = 500 * time.Millisecond
	// bootstrapPeers is how many peers a new process pulls from.
	bootstrapPeers = 3
	// bootstrapTimeout bounds how long a new process waits for them.
	bootstrapTimeout = 2 * time.Second
	// peerIdle is how long an unused link to a peer is kept.
	peerIdle = 4 * time.Second
	// repairInterval is the least time between two pulls from a peer that has the
	// same revision with different content.
	repairInterval = 2 * time.Second
)

// Spreader distributes configuration and the list of VMs. It is safe for concurrent use.
type Spreader struct {
	Self     vm.ID
	Zone     zone.ID
	Config   *configuration.Store
	VMs      *configuration.VMs
	Source   platform.Source
	Prober   *membership.Prober
	Peers    *link.Pool
	Agents   *link.Pool
	Local    *link.Local
	Seeds    []string
	Recorder *timeline.Recorder
	Log      zerolog.Logger
	// OnList is called after a newer list was applied.
	OnList func(vm.List)

	ready      atomic.Bool
	mu         sync.Mutex
	pulling    map[vm.ID]bool
	lastRepair map[vm.ID]time.Time
	workers    conc.WaitGroup
}

// Run distributes updates until the context ends.
func (s *Spreader) Run(ctx context.Context) {
	s.workers.Go(func() { s.bootstrap(ctx) })
	s.workers.Go(func() { s.watchConfig(ctx) })
	s.workers.Go(func() { s.watchVMs(ctx) })
	s.workers.Go(func() { s.announceChanges(ctx) })
	s.workers.Go(func() { s.trimPeers(ctx) })
	s.workers.Wait()
}

// Ready reports whether this process may serve: it has a configuration and a
// list, and has tried to pull newer ones from its peers.
func (s *Spreader) Ready() bool { return s.ready.Load() }

// bootstrap brings a new process up to date before it serves. The platform may
// return stale data, so the process pulls from every seed and, once it has a
// list, from some of the listed peers. It does not wait for peers that fail to
// answer in time: in a partitioned part of the fleet, serving with the platform's
// data is better than not serving.
func (s *Spreader) bootstrap(ctx context.Context) {
	s.pullFromAll(ctx, s.Seeds)
	for s.Config.Revision() == 0 || s.VMs.List().Revision == 0 {
		config, vms := s.Config.Changed(), s.VMs.Changed()
		if s.Config.Revision() > 0 && s.VMs.List().Revision > 0 {
			break
		}
		select {
		case <-ctx.Done():
			return
		case <-config:
		case <-vms:
		}
	}
	s.pullFromAll(ctx, s.bootstrapPeers())
	s.ready.Store(true)
}

// bootstrapPeers returns the link addresses of some other entry VMs. The rendezvous
// order differs by VM, so that starting VMs do not all pull from the same ones.
func (s *Spreader) bootstrapPeers() []string {
	var out []string
	order := rendezvous.Order(s.VMs.List().WithRole(vm.RoleEntry), string(s.Self), func(v vm.VM) string { return string(v.ID) })
	for _, v := range order {
		if v.ID != s.Self && len(out) < bootstrapPeers {
			out = append(out, v.Link)
		}
	}
	return out
}

func (s *Spreader) pullFromAll(ctx context.Context, addresses []string) {
	ctx, cancel := context.WithTimeout(ctx, bootstrapTimeout)
	defer cancel()
	var wg conc.WaitGroup
	for _, address := range addresses {
		wg.Go(func() {
			l, err := link.Dial(ctx, s.Local, address, nil)
			if err != nil {
				return
			}
			defer l.Close()
			s.pullFrom(ctx, l)
		})
	}
	wg.Wait()
}

// isWatcher reports whether this VM is among the first usable entry VMs of its
// availability zone, in rendezvous order. Without a list, every VM is a watcher.
func (s *Spreader) isWatcher() bool {
	list := s.VMs.List()
	if list.Revision == 0 {
		return true
	}
	var candidates []vm.ID
	for _, v := range list.WithRole(vm.RoleEntry) {
		if v.Zone == s.Zone && (v.ID == s.Self || s.Prober.Usable(v)) {
			candidates = append(candidates, v.ID)
		}
	}
	order := rendezvous.Order(candidates, watcherKey, func(id vm.ID) string { return string(id) })
	for _, id := range order[:min(watchersPerZone, len(order))] {
		if id == s.Self {
			return true
		}
	}
	return false
}

// watchLoop calls read while this VM is a watcher, with backoff after failures.
func (s *Spreader) watchLoop(ctx context.Context, subject string, read func(context.Context) error) {
	retryDelay := backoff.NewExponentialBackOff()
	retryDelay.InitialInterval, retryDelay.MaxInterval = initialBackoff, maxBackoff
	healthy := true
	for ctx.Err() == nil {
		if !s.isWatcher() {
			wait(ctx, watcherCheckInterval)
			continue
		}
		err := read(ctx)
		if err == nil || eris.Is(err, platform.ErrUnchanged) {
			retryDelay.Reset()
			s.recordHealth(&healthy, true, subject, "")
			continue
		}
		if ctx.Err() != nil {
			return
		}
		s.recordHealth(&healthy, false, subject, err.Error())
		wait(ctx, retryDelay.NextBackOff())
	}
}

func (s *Spreader) recordHealth(was *bool, now bool, subject, reason string) {
	if *was == now {
		return
	}
	*was = now
	choice := "unavailable: keep what is in force"
	if now {
		choice = "available"
	}
	s.Recorder.Record(timeline.Event{Kind: timeline.KindPlatform, Subject: subject, Choice: choice, Reason: reason})
}

func wait(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

func (s *Spreader) watchConfig(ctx context.Context) {
	s.watchLoop(ctx, "configuration", func(ctx context.Context) error {
		batch, err := s.Source.Configuration(ctx, s.Config.Revision())
		if err != nil {
			return err
		}
		configuration.RecordChanges(s.Recorder, s.Config.Apply(batch))
		return nil
	})
}

func (s *Spreader) watchVMs(ctx context.Context) {
	s.watchLoop(ctx, "vms", func(ctx context.Context) error {
		list, err := s.Source.VMs(ctx, s.VMs.List().Revision)
		if err != nil {
			return err
		}
		s.applyList(list)
		return nil
	})
}

func (s *Spreader) applyList(list vm.List) {
	if s.VMs.Apply(list) {
		s.listChanged()
	}
}

func (s *Spreader) listChanged() {
	list := s.VMs.List()
	s.Prober.SetList(list)
	s.Peers.Retain(func(id vm.ID) bool { _, ok := list.Find(id); return ok })
	s.OnList(list)
}

// trimPeers closes unused links to peers.
func (s *Spreader) trimPeers(ctx context.Context) {
	for ctx.Err() == nil {
		wait(ctx, peerIdle/4)
		s.Peers.CloseIdle(clock.Now().Add(-peerIdle))
	}
}

// announceChanges announces every change to peers and agents.
func (s *Spreader) announceChanges(ctx context.Context) {
	for {
		config, vms := s.Config.Changed(), s.VMs.Changed()
		s.Prober.Gossip()
		for _, l := range s.Agents.Links() {
			s.workers.Go(func() { s.Announce(l) })
		}
		select {
		case <-ctx.Done():
			return
		case <-config:
		case <-vms:
		}
	}
}

// Announce sends an agent the revisions that this VM has.
func (s *Spreader) Announce(l *link.Link) {
	stream, err := l.Open(context.Background())
	if err != nil {
		return
	}
	defer stream.Close()
	n := &wire.Announce{ConfigRevision: s.Config.Revision(), VmsRevision: s.VMs.List().Revision}
	_ = stream.SendCall(&wire.Call{Body: &wire.Call_Announce{Announce: n}})
}

// OnProbe handles a probe: it pulls from the sender if that has newer or different data.
func (s *Spreader) OnProbe(ctx context.Context, from vm.ID, p *wire.Probe) {
	if !s.beginPull(from, p) {
		return
	}
	s.workers.Go(func() {
		defer s.endPull(from)
		v, ok := s.VMs.List().Find(from)
		if !ok {
			return
		}
		l, err := s.Peers.Get(ctx, v)
		if err != nil {
			s.Log.Debug().Str("vm", string(from)).Err(err).Msg("cannot connect to peer")
			return
		}
		s.pullFrom(ctx, l)
	})
}

// beginPull decides whether to pull and, if so, marks the pull as running.
func (s *Spreader) beginPull(from vm.ID, p *wire.Probe) bool {
	revision := s.Config.Revision()
	newer := p.GetConfigRevision() > revision || p.GetVmsRevision() > s.VMs.List().Revision
	digests := s.Config.Digest()
	differs := p.GetConfigRevision() == revision && p.GetConfigDigest() != digests.Core^digests.Teams
	if !newer && !differs {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.pulling == nil {
		s.pulling = make(map[vm.ID]bool)
		s.lastRepair = make(map[vm.ID]time.Time)
	}
	if s.pulling[from] {
		return false
	}
	if !newer {
		if clock.Since(s.lastRepair[from]) < repairInterval {
			return false
		}
		s.lastRepair[from] = clock.Now()
	}
	s.pulling[from] = true
	return true
}

func (s *Spreader) endPull(from vm.ID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.pulling, from)
}

func (s *Spreader) pullFrom(ctx context.Context, l *link.Link) {
	ctx, cancel := context.WithTimeout(ctx, pullTimeout)
	defer cancel()
	reply, err := l.Call(ctx, &wire.Call{Body: &wire.Call_Pull{Pull: configuration.NewPull(s.Config, s.VMs)}})
	if err != nil {
		s.Log.Debug().Str("vm", string(l.Remote)).Err(err).Msg("pull failed")
		return
	}
	changes, listChanged := configuration.ApplyPull(reply.GetPull(), s.Config, s.VMs)
	configuration.RecordChanges(s.Recorder, changes)
	if listChanged {
		s.listChanged()
	}
}
