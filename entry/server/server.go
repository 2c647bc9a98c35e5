// Package server runs the entry VM's process: HTTP for callers, the resource API,
// links to agents and peers, membership, and the distribution of configuration.
package server

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"github.com/rs/zerolog"
	"github.com/sourcegraph/conc"

	"baywall.example/core/clock"
	"baywall.example/core/configuration"
	"baywall.example/core/inbound"
	"baywall.example/core/link"
	"baywall.example/core/platform"
	"baywall.example/core/timeline"
	"baywall.example/core/vm"
	"baywall.example/core/wire"
	"baywall.example/core/zone"
	"baywall.example/entry/api"
	"baywall.example/entry/backend"
	"baywall.example/entry/dispatch"
	"baywall.example/entry/limits"
	"baywall.example/entry/membership"
	"baywall.example/entry/quarantine"
	"baywall.example/entry/retry"
	"baywall.example/entry/spread"
)

// ErrStart is returned if the process cannot start.
var ErrStart = eris.New("entry: start")

// Server is one entry VM's process.
type Server struct {
	settings  Settings
	log       zerolog.Logger
	local     *link.Local
	recorder  *timeline.Recorder
	config    *configuration.Store
	vms       *configuration.VMs
	directory *backend.Directory
	peers     *link.Pool
	prober    *membership.Prober
	spreader  *spread.Spreader
	api       *api.API
	fleet     *membership.Fleet
	limiter   *limits.Limiter
	retries   *retry.Budgets

	draining  atomic.Bool
	traffic   atomic.Int64 // bytes on all links
	listeners *inbound.Set
	http      *inbound.Listener
	links     *inbound.Listener
	ctx       context.Context
	stop      context.CancelFunc
	workers   conc.WaitGroup

	suspects *quarantine.Table

	revisionsMu sync.Mutex
	revisions   map[vm.ID]uint64 // last passed on through membership, by agent
}

// New returns a process for validated settings. Start runs it.
func New(s Settings, log zerolog.Logger, now time.Time) *Server {
	id := vm.ID(s.VM)
	e := &Server{
		settings:  s,
		log:       log,
		recorder:  timeline.NewRecorder(id, timeline.DefaultCapacity, log),
		config:    configuration.NewStore(false),
		vms:       configuration.NewVMs(),
		revisions: make(map[vm.ID]uint64),
		suspects:  quarantine.NewTable(id, func() time.Duration { return membership.Interval }, log),
		listeners: inbound.NewSet(s.Clients, log),
	}
	e.ctx, e.stop = context.WithCancel(context.Background())
	host, _, _ := net.SplitHostPort(s.Link.Listen)
	e.local = &link.Local{
		VM: id, Incarnation: vm.NewIncarnation(now), Role: vm.RoleEntry, Zone: zone.ID(s.Zone),
		BindIP: host, Clock: e.recorder.Clock(), Log: log, Traffic: &e.traffic,
		Revisions: func() (uint64, uint64) { return e.config.Revision(), e.vms.List().Revision },
	}
	e.directory = backend.NewDirectory(e.local, e, e.recorder, e.onAgentLink, e.onAgentReport)
	e.peers = link.NewPool(e.local, e, nil, nil)
	return e
}

// Start opens the listeners and starts to serve.
func (e *Server) Start() error {
	prober, err := membership.NewProber(e.settings.Probe.Listen, e.self, e.onProbe, e.recorder, e.log)
	if err != nil {
		return eris.Wrapf(ErrStart, "probe.listen: %v", err)
	}
	e.prober = prober
	e.links, err = e.listeners.Listen(inbound.Options{Name: "links", Address: e.settings.Link.Listen, Kind: inbound.KindLinks})
	if err != nil {
		return eris.Wrapf(ErrStart, "link.listen: %v", err)
	}
	e.http, err = e.listeners.Listen(inbound.Options{Name: "http", Address: e.settings.HTTP.Listen})
	if err != nil {
		e.links.Close()
		return eris.Wrapf(ErrStart, "http.listen: %v", err)
	}
	e.wire()
	e.workers.Go(func() { e.listeners.Run(e.ctx) })
	e.workers.Go(func() { _ = link.Accept(e.links, e.local, e.authorize, e) })
	e.workers.Go(func() { e.prober.Run(e.ctx) })
	e.workers.Go(func() { e.spreader.Run(e.ctx) })
	e.workers.Go(func() { e.fleet.Run(e.ctx) })
	e.workers.Go(func() { e.limiter.Run(e.ctx) })
	e.workers.Go(func() { e.pullSuspects(e.ctx) })
	e.workers.Go(func() { e.expireSuspects(e.ctx) })
	e.workers.Go(func() { e.refreshGrantors(e.ctx) })
	e.workers.Go(func() { e.directory.Run(e.ctx, e.api.InSubset) })
	e.workers.Go(func() { _ = e.http.Serve(e.api, e.api.RefuseHead) })
	e.recorder.Record(timeline.Event{Kind: timeline.KindStart, Subject: e.settings.HTTP.Listen})
	return nil
}

func (e *Server) wire() {
	e.spreader = &spread.Spreader{
		Self: e.local.VM, Zone: e.local.Zone, Config: e.config, VMs: e.vms,
		Source: platform.NewClient(e.settings.Platform.URL, e.settings.Platform.Wait),
		Prober: e.prober, Peers: e.peers, Agents: e.directory.Pool(), Local: e.local,
		Seeds: e.settings.Seeds, Recorder: e.recorder, Log: e.log, OnList: e.directory.SetList,
	}
	e.fleet = membership.NewFleet(e.local.VM, e.vms, e.prober)
	e.limiter = limits.New(e.local.VM, &shareNetwork{server: e})
	e.retries = retry.NewBudgets(string(e.local.VM), e.settings.Retry.Limit(), retryFleet{e}, e.log, clock.Now, nil)
	e.api = api.New(api.Environment{
		Self: e.local.VM, Zone: e.local.Zone, Config: e.config, VMs: e.vms,
		Directory: e.directory, Prober: e.prober, Fleet: e.fleet, Peers: e.peers, Recorder: e.recorder,
		Dispatcher: dispatch.New(e.directory, e.config, e.recorder, e.suspects, e.retries, e.listeners, e.settings.Callers.AnswerWindow), Limiter: e.limiter,
		Draining: e.draining.Load, LinkBytes: e.traffic.Load, Ready: e.ready, Log: e.log,
		AddressTTL: e.settings.Callers.AddressTTL, TicketTTL: e.settings.Callers.TicketTTL,
		MaxBody: int64(e.settings.Callers.MaxBody), MaxWatches: e.settings.Callers.MaxWatches, Listeners: e.listeners,
		MaxEvents: e.settings.Callers.MaxEvents, AnswerWindow: e.settings.Callers.AnswerWindow,
	})
}

// Stop announces that this VM is draining, continues to serve for the linger time,
// waits for the requests in flight and then ends the process.
func (e *Server) Stop(ctx context.Context) error {
	e.draining.Store(true)
	e.recorder.Record(timeline.Event{Kind: timeline.KindDrain})
	e.prober.Gossip()
	ctx, cancel := context.WithTimeout(ctx, e.settings.Drain.Timeout)
	defer cancel()
	timer := time.NewTimer(*e.settings.Drain.Linger)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
	err := e.http.Shutdown(ctx)
	if err != nil {
		_ = e.http.Abort()
	}
	e.recorder.Record(timeline.Event{Kind: timeline.KindStop})
	e.links.Close()
	e.stop()
	e.peers.Close()
	e.workers.Wait()
	if err != nil {
		return eris.Wrap(err, "entry: drain timeout")
	}
	return nil
}

// ready reports whether the process may serve callers: it is up to date, and has run
// without a pause for a lease time, so that it can grant shares of team limits.
func (e *Server) ready() bool {
	awake := e.fleet.Snapshot().AwakeSince
	return e.spreader.Ready() && clock.Since(awake) >= limits.LeaseTime
}

func (e *Server) self() membership.Self {
	d := e.config.Digest()
	return membership.Self{
		VM: e.local.VM, Incarnation: e.local.Incarnation, ConfigRevision: e.config.Revision(),
		ConfigDigest: d.Core ^ d.Teams, VMsRevision: e.vms.List().Revision, Draining: e.draining.Load(),
		Suspects: e.suspects.Report(clock.Now()),
	}
}

func (e *Server) onProbe(from vm.ID, p *wire.Probe) {
	e.suspects.Receive(from, p.GetSuspects(), clock.Now())
	e.spreader.OnProbe(e.ctx, from, p)
}

func (e *Server) onAgentLink(l *link.Link) { e.spreader.Announce(l) }

// onAgentReport passes a changed revision of an agent on to the other entry VMs and
// announces the current revisions to an agent that lags behind.
func (e *Server) onAgentReport(id vm.ID, r *wire.Report) {
	e.revisionsMu.Lock()
	previous := e.revisions[id]
	e.revisions[id] = r.GetConfigRevision()
	e.revisionsMu.Unlock()
	if previous != r.GetConfigRevision() {
		e.prober.Learn(&wire.News{Vm: string(id), Incarnation: r.GetIncarnation(), ConfigRevision: r.GetConfigRevision()})
	}
	behind := r.GetConfigRevision() < e.config.Revision() || r.GetVmsRevision() < e.vms.List().Revision
	if l, ok := e.directory.Pool().Lookup(id); ok && behind {
		e.spreader.Announce(l)
	}
}

func (e *Server) authorize(h *wire.Hello, remote net.Addr) error {
	return configuration.Authorize(e.vms.List(), h, remote)
}

// ServeStream handles one call from another VM.
func (e *Server) ServeStream(_ context.Context, from *link.Link, s *link.Stream, call *wire.Call) {
	switch body := call.GetBody().(type) {
	case *wire.Call_Pull:
		reply := configuration.ReplyToPull(body.Pull, e.config, e.vms)
		_ = s.SendReply(&wire.Reply{Body: &wire.Reply_Pull{Pull: reply}})
	case *wire.Call_Shares:
		reply := grantsToWire(e.limiter.Grant(shareRequestsFromWire(from.Remote, body.Shares)))
		_ = s.SendReply(&wire.Reply{Body: &wire.Reply_Shares{Shares: reply}})
	case *wire.Call_Retry:
		reply := e.retries.Grant(body.Retry.GetService()).ToWire()
		_ = s.SendReply(&wire.Reply{Body: &wire.Reply_Retry{Retry: reply}})
	case *wire.Call_Suspects:
		known := &wire.Suspects{Suspects: e.suspects.FullReport(clock.Now())}
		_ = s.SendReply(&wire.Reply{Body: &wire.Reply_Suspects{Suspects: known}})
	case *wire.Call_Timeline:
		events := e.recorder.Select(timeline.FilterFromWire(body.Timeline))
		_ = s.SendReply(&wire.Reply{Body: &wire.Reply_Timeline{Timeline: timeline.EventsToWire(events)}})
	default:
		e.log.Warn().Str("vm", string(from.Remote)).Msg("unexpected call")
	}
}
