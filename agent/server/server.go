// Package server implements the agent: the only process on a backend server's VM that
// sends requests and orders to the backend server.
//
// It accepts links from entry VMs and other agents, runs attempts and keeps a record of
// them, reports load, pulls configuration from the entry VMs that link to it, and takes
// part in switches of its group's expert map.
package server

import (
	"context"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"github.com/rs/zerolog"
	"github.com/sourcegraph/conc"

	"baywall.example/agent/engine"
	"baywall.example/agent/group"
	"baywall.example/agent/record"
	"baywall.example/core/configuration"
	"baywall.example/core/contract"
	"baywall.example/core/expertmap"
	"baywall.example/core/inbound"
	"baywall.example/core/link"
	"baywall.example/core/notice"
	"baywall.example/core/ratelimit"
	"baywall.example/core/resource"
	"baywall.example/core/timeline"
	"baywall.example/core/vm"
	"baywall.example/core/wire"
	"baywall.example/core/zone"
)

// ErrStart means that the agent could not start.
var ErrStart = eris.New("agent: cannot start")

// Server is one agent process.
type Server struct {
	settings    Settings
	log         zerolog.Logger
	incarnation vm.Incarnation
	recorder    *timeline.Recorder
	local       *link.Local
	config      *configuration.Store
	vms         *configuration.VMs
	table       *record.Table
	engine      *engine.Client
	limit       *ratelimit.Single
	pool        *link.Pool
	groups      *group.Set
	metrics     *metrics

	inFlight    atomic.Int64
	traffic     atomic.Int64 // bytes of all links
	draining    atomic.Bool
	noticeState atomic.Pointer[notice.State] // of the backend server process that runs now
	load        atomic.Pointer[engine.Load]
	active      inFlightGate
	workers     conc.WaitGroup
	stop        context.CancelFunc
	listeners   *inbound.Set
	links       *inbound.Listener
	debug       *inbound.Listener
}

// inFlightGate counts running attempts and lets a drain wait until there are none.
type inFlightGate struct {
	mu    sync.Mutex
	count int
	idle  chan struct{} // closed when count is 0, nil if nobody waits
}

func (g *inFlightGate) enter() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.count++
}

func (g *inFlightGate) leave() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.count--
	if g.count == 0 && g.idle != nil {
		close(g.idle)
		g.idle = nil
	}
}

func (g *inFlightGate) wait(ctx context.Context) error {
	g.mu.Lock()
	if g.count == 0 {
		g.mu.Unlock()
		return nil
	}
	if g.idle == nil {
		g.idle = make(chan struct{})
	}
	idle := g.idle
	g.mu.Unlock()
	select {
	case <-idle:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// New returns an agent with validated settings; Start runs it.
func New(s Settings, log zerolog.Logger, now time.Time) *Server {
	id := vm.ID(s.VM)
	a := &Server{
		settings:    s,
		log:         log,
		incarnation: vm.NewIncarnation(now),
		recorder:    timeline.NewRecorder(id, timeline.DefaultCapacity, log),
		config:      configuration.NewStore(true),
		vms:         configuration.NewVMs(),
		engine:      engine.New(s.Engine.Address),
		limit:       ratelimit.NewSingle(s.VM, log),
		listeners:   inbound.NewSet(s.Clients, log),
	}
	a.engine.SetReceiveBuffer(s.Clients.BackendReceiveBuffer)
	a.table = record.NewTable(id, a.incarnation, record.Limits{
		Retention:   s.Record.Retention,
		TicketGrace: s.Record.TicketGrace,
		ClockSkew:   s.Record.ClockSkew,
		AnswerBytes: int64(s.Record.AnswerBytes),
	})
	host, _, _ := net.SplitHostPort(s.Link.Listen)
	a.local = &link.Local{
		VM: id, Incarnation: a.incarnation, Role: vm.RoleBackend, Zone: zone.ID(s.Zone),
		BindIP: host, Clock: a.recorder.Clock(), Log: log, Revisions: a.revisions, Traffic: &a.traffic,
		CallBudget: a.listeners.Bodies(),
	}
	a.pool = link.NewPool(a.local, a, nil, nil)
	a.groups = group.NewSet(group.Environment{
		VM: id, Incarnation: a.incarnation, Engine: a.engine, Pool: a.pool,
		Directory: publishedConfig{a.config, a.vms}, Recorder: a.recorder, Log: log,
	})
	a.noticeState.Store(&notice.State{})
	a.metrics = newMetrics(a)
	a.load.Store(&engine.Load{})
	return a
}

// publishedConfig implements group.Directory from the configuration that operators publish.
type publishedConfig struct {
	config *configuration.Store
	vms    *configuration.VMs
}

// Groups returns all groups in the configuration.
func (p publishedConfig) Groups() map[string]*resource.Group { return p.config.View().Groups }

// Intent returns the service's published intent, or the default one.
func (p publishedConfig) Intent(service string) resource.Intent {
	if i := p.config.View().Intents[service]; i != nil {
		return *i
	}
	var i resource.Intent
	i.Provision()
	return i
}

// LearnShape does nothing: the shape is part of the configuration.
func (p publishedConfig) LearnShape(expertmap.Shape) {}

// Find returns a VM from the list, or one without an address if it is not listed.
func (p publishedConfig) Find(id vm.ID) vm.VM {
	v, _ := p.vms.List().Find(id)
	v.ID = id
	return v
}

func (a *Server) revisions() (config, vms uint64) {
	return a.config.Revision(), a.vms.List().Revision
}

// Start opens the listeners and starts serving.
func (a *Server) Start() error {
	ln, err := a.listeners.Listen(inbound.Options{Name: "links", Address: a.settings.Link.Listen, Kind: inbound.KindLinks})
	if err != nil {
		return eris.Wrapf(ErrStart, "link.listen: %v", err)
	}
	a.links = ln
	ctx, cancel := context.WithCancel(context.Background())
	a.stop = cancel
	a.workers.Go(func() { a.listeners.Run(ctx) })
	a.workers.Go(func() { _ = link.Accept(ln, a.local, a.authorize, a) })
	a.workers.Go(func() { a.clearEndedNotices(ctx) })
	if a.settings.Engine.Kind == KindEngine {
		a.workers.Go(func() { a.pollLoad(ctx) })
		a.workers.Go(func() { a.groups.Run(ctx) })
	}
	if a.settings.Debug.Listen != "" {
		if err := a.serveDebug(); err != nil {
			cancel()
			ln.Close()
			return err
		}
	}
	a.recorder.Record(timeline.Event{Kind: timeline.KindStart, Subject: a.settings.Link.Listen})
	return nil
}

// Stop refuses new attempts, waits for those in flight and for the linger time to pass,
// both bounded by the drain timeout, and then shuts down.
func (a *Server) Stop(ctx context.Context) error {
	a.draining.Store(true)
	a.recorder.Record(timeline.Event{Kind: timeline.KindDrain})
	ctx, cancel := context.WithTimeout(ctx, a.settings.Drain.Timeout)
	defer cancel()
	linger := time.NewTimer(*a.settings.Drain.Linger)
	defer linger.Stop()
	err := a.active.wait(ctx)
	select {
	case <-linger.C:
	case <-ctx.Done():
	}
	a.recorder.Record(timeline.Event{Kind: timeline.KindStop})
	a.stop()
	a.links.Close()
	if a.debug != nil {
		_ = a.debug.Abort()
	}
	a.pool.Close()
	a.workers.Wait()
	if err != nil {
		return eris.Wrap(err, "agent: drain timeout")
	}
	return nil
}

// authorize accepts links only from listed VMs at their listed address. Before the first
// list arrives, there is nothing to check against and every VM may link.
func (a *Server) authorize(h *wire.Hello, remote net.Addr) error {
	return configuration.Authorize(a.vms.List(), h, remote)
}

// ServeStream handles one call from another VM.
func (a *Server) ServeStream(ctx context.Context, from *link.Link, s *link.Stream, call *wire.Call) {
	if !a.allowed(from, call) {
		a.log.Warn().Str("vm", string(from.Remote)).Msg("call refused: not permitted for this VM")
		return
	}
	switch body := call.GetBody().(type) {
	case *wire.Call_Attempt:
		a.active.enter()
		defer a.active.leave()
		a.serveAttempt(ctx, s, body.Attempt)
	case *wire.Call_Resume:
		a.active.enter()
		defer a.active.leave()
		a.serveResume(ctx, s, body.Resume)
	case *wire.Call_Fate:
		a.serveFate(s, body.Fate)
	case *wire.Call_Watch:
		a.serveReports(ctx, s)
	case *wire.Call_Announce:
		a.pull(ctx, from, body.Announce)
	case *wire.Call_Pull:
		reply := configuration.ReplyToPull(body.Pull, a.config, a.vms)
		_ = s.SendReply(&wire.Reply{Body: &wire.Reply_Pull{Pull: reply}})
	case *wire.Call_SwitchRelay:
		err := a.groups.Relay(ctx, body.SwitchRelay, func(r *wire.SwitchRelayReply) error {
			return s.SendReply(&wire.Reply{Body: &wire.Reply_SwitchRelay{SwitchRelay: r}})
		})
		if err != nil {
			a.log.Info().Err(err).Str("vm", string(from.Remote)).Msg("failed to send replies to a switch order")
		}
	case *wire.Call_Timeline:
		events := a.recorder.Select(timeline.FilterFromWire(body.Timeline))
		_ = s.SendReply(&wire.Reply{Body: &wire.Reply_Timeline{Timeline: timeline.EventsToWire(events)}})
	default:
		a.log.Warn().Str("vm", string(from.Remote)).Msg("unexpected call")
	}
}

// allowed reports whether a VM may make a call: only entry VMs send requests and
// announcements, and only a group's ranks send orders about its expert map.
func (a *Server) allowed(from *link.Link, call *wire.Call) bool {
	switch body := call.GetBody().(type) {
	case *wire.Call_Attempt, *wire.Call_Resume, *wire.Call_Fate, *wire.Call_Watch, *wire.Call_Announce:
		return from.Role == vm.RoleEntry
	case *wire.Call_SwitchRelay:
		g := a.config.View().Groups[body.SwitchRelay.GetOrder().GetGroup()]
		return g != nil && slices.Contains(g.Ranks, from.Remote)
	default:
		return true
	}
}

// pull fetches announced configuration over the link on which the announcement came.
func (a *Server) pull(ctx context.Context, from *link.Link, n *wire.Announce) {
	config, vms := a.revisions()
	if n.GetConfigRevision() <= config && n.GetVmsRevision() <= vms {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, pullTimeout)
	defer cancel()
	reply, err := from.Call(ctx, &wire.Call{Body: &wire.Call_Pull{Pull: configuration.NewPull(a.config, a.vms)}})
	if err != nil {
		a.log.Warn().Str("vm", string(from.Remote)).Err(err).Msg("pull failed")
		return
	}
	changes, _ := configuration.ApplyPull(reply.GetPull(), a.config, a.vms)
	configuration.RecordChanges(a.recorder, changes)
}

// pullTimeout bounds one pull of configuration.
const pullTimeout = 3 * time.Second

func refusal(id contract.AttemptID, r *contract.Refusal) *wire.Refusal {
	return &wire.Refusal{
		RequestId: string(id.Request), Number: id.Number, Outcome: r.Outcome.Wire(),
		Reason: string(r.Reason), RetryAfterMs: r.RetryAfter.Milliseconds(), EngineEnd: r.EngineEnd,
	}
}
