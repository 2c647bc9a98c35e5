package rankserver

import (
	"context"
	"net"
	"net/http"
	"reflect"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/rotisserie/eris"
	"github.com/rs/zerolog"
	"github.com/sourcegraph/conc"

	"baywall.example/agent/group"
	"baywall.example/agent/mapswitch"
	"baywall.example/agent/rank"
	"baywall.example/core/cluster"
	"baywall.example/core/expertmap"
	"baywall.example/core/inbound"
	"baywall.example/core/link"
	"baywall.example/core/process"
	"baywall.example/core/settings"
	"baywall.example/core/source"
	"baywall.example/core/timeline"
	"baywall.example/core/vm"
	"baywall.example/core/wire"
	"baywall.example/core/zone"
)

// ErrStart means that the agent could not start.
var ErrStart = eris.New("rankserver: cannot start")

const (
	// labelInterval is how often the local rank's report is read if no other reader
	// of this process reads it.
	labelInterval = 150 * time.Millisecond
	// formingInterval is the same while the rank is in no formed group, and how often
	// the agent then checks whether its rank is a successor. It is short because a new
	// group uses the initial map until it has a coordinator.
	formingInterval = 50 * time.Millisecond
	// listInterval is how often the list of the service's backend servers is read. A
	// stale list is good enough, because the group is checked rank by rank.
	listInterval = 3 * time.Second
	// completeInterval is the same while the agents of all ranks of the group are live.
	completeInterval = 12 * time.Second
	// standbyInterval is the same for a rank on standby, see isStandby.
	standbyInterval = time.Minute
	// startInterval is how often the list and the configuration are read until
	// something is found.
	startInterval = 400 * time.Millisecond
	// heartbeatPerPeer is how much the heartbeat interval grows with each agent of a
	// service. Long intervals do no harm, because changes are announced at once.
	heartbeatPerPeer = 30 * time.Millisecond
	// coordinatorWaitLimit is how long after the last contact with the group's
	// coordinator a rank that is no successor stays on standby.
	coordinatorWaitLimit = 5 * time.Second
	// startWaitLimit is how long such a rank waits after a start before it reads the
	// store: the group may be formed, and its configuration published, only after a
	// while.
	startWaitLimit = 15 * time.Second
	// labelDeadline is the time after the start of an agent within which it learns of a
	// group that was formed earlier. A group that appears later is new.
	labelDeadline = time.Second
	// callTimeout bounds a call to the local engine or the store.
	callTimeout = 2 * time.Second
)

// groupTiming has short intervals, because demand shifts every few seconds and a pass of
// the group takes some tens of milliseconds.
var groupTiming = group.Timing{
	SkipRecoveryWait: true,
	ElectionTimeout:  600 * time.Millisecond, FirstElectionTimeout: 100 * time.Millisecond, Stagger: 150 * time.Millisecond, NonSuccessorStagger: 25 * time.Millisecond,
	Tick: 20 * time.Millisecond, Poll: 200 * time.Millisecond, PollOnStep: true, CountsWeight: 0.1, MinGain: 0.25,
	Switch: mapswitch.Timing{
		Prepare: 6 * time.Second, Resend: 150 * time.Millisecond, LeadSteps: 1, MaxLeadSteps: 8, LoadWhileHeld: true,
	},
}

// Adapter connects a rank's agent to the platform.
type Adapter interface {
	// Name names the adapter in logs.
	Name() string
	// Store returns a client of the store at an IP:port.
	Store(address string, log zerolog.Logger) source.Store
	// CatalogKey is the store key of the configuration, BackendsPrefix the key prefix
	// of the list of backend servers.
	CatalogKey() string
	BackendsPrefix() string
	// DecodeEngine returns the description of a service's engines in a configuration.
	DecodeEngine(raw []byte, service string) (Engine, error)
	// DecodeAddress returns the service and address of an entry in the list.
	DecodeAddress(key string, raw []byte) (service, address string, err error)
	// InitialMap returns the expert map that a newly formed group uses.
	InitialMap(s expertmap.Shape) expertmap.Map
	// Rank returns the rank at an IP:port.
	Rank(address string) rank.API
}

// Server is the process of a rank's agent. It implements process.Service.
type Server struct {
	settings       Settings
	adapter        Adapter
	log            zerolog.Logger
	lines          *process.LogWriter
	incarnation    vm.Incarnation
	api            *observedRank
	store          source.Store
	node           *cluster.Node
	directory      *directory
	recorder       *timeline.Recorder
	local          *link.Local
	pool           *link.Pool
	groups         *group.Set
	traffic        atomic.Int64
	set            *metrics.Set
	slow           bool      // as last reported to gateways; set by applyReport
	formed         time.Time // when the local rank's group was formed; set by applyReport
	ungrouped      bool      // the local rank's last report was of no formed group; set by applyReport
	mapInUse       mapInUse  // set by applyReport
	successor      atomic.Bool
	agentAddresses atomic.Pointer[[]string] // where other agents are expected

	listeners *inbound.Set
	run       conc.WaitGroup
	cancel    context.CancelFunc
}

// New returns an agent that is not started yet.
func New(s Settings, a Adapter, log zerolog.Logger, lines *process.LogWriter, now time.Time) (*Server, error) {
	id := vm.ID(s.VM)
	r := &Server{
		settings: s, adapter: a, log: log, lines: lines, incarnation: vm.NewIncarnation(now),
		listeners: inbound.NewSet(s.Clients, log),
		api:       &observedRank{API: a.Rank(s.Engine)}, store: a.Store(s.Store, log),
		recorder: timeline.NewRecorder(id, timeline.DefaultCapacity, log), set: metrics.NewSet(),
	}
	r.api.onReport = r.applyReport
	node, err := cluster.NewNode(s.Listen.Peers, nil, heartbeatPerPeer, r.self, log)
	if err != nil {
		return nil, eris.Wrapf(ErrStart, "%v", err)
	}
	r.node = node
	r.directory = &directory{settings: s, live: node.Live, self: vm.VM{ID: id, Link: s.Listen.Peers}}
	host, _, _ := net.SplitHostPort(s.Listen.Peers) // validated
	r.local = &link.Local{
		VM: id, Incarnation: r.incarnation, Role: vm.RoleBackend, Zone: zone.ID(s.Zone), BindIP: host,
		Clock: r.recorder.Clock(), Log: log, Traffic: &r.traffic, Revisions: func() (config, vms uint64) { return 0, 0 },
	}
	r.pool = link.NewPool(r.local, r, nil, nil)
	timing := groupTiming
	timing.Link = s.Machine.LinkMbps * bytesPerMbit
	r.groups = group.NewSet(group.Environment{
		VM: id, Incarnation: r.incarnation, Engine: rank.NewEngine(r.api, r.directory.shape, log),
		Pool: r.pool, Directory: r.directory, Recorder: r.recorder, Log: log, Timing: timing, InitialMap: a.InitialMap,
		RequestHold: r.requestHold, MapMismatches: r.set.NewCounter("baywall_map_mismatches_total"),
	})
	r.set.NewGauge("baywall_peers", func() float64 { return float64(len(node.Live())) })
	r.set.NewGauge("baywall_link_bytes", func() float64 { return float64(r.traffic.Load()) })
	r.listeners.Register(r.set)
	r.set.NewGauge("baywall_log_lines_dropped", func() float64 { return float64(lines.Dropped()) })
	return r, nil
}

func (r *Server) self() cluster.Self {
	return cluster.Self{
		VM: vm.ID(r.settings.VM), Incarnation: r.incarnation, Zone: r.settings.Zone,
		Address: r.settings.Listen.Peers, Ready: true, Rank: r.directory.getLabel(),
		Activity: cluster.Activity{Active: r.isSuccessor()},
	}
}

// Start opens the listeners and starts taking part in the group.
func (r *Server) Start() error {
	ctx, cancel := context.WithCancel(context.Background())
	r.cancel = cancel
	ln, err := r.listeners.Listen(inbound.Options{Name: "peers", Address: r.settings.Listen.Peers, Kind: inbound.KindLinks})
	if err != nil {
		cancel()
		return eris.Wrapf(ErrStart, "%v", err)
	}
	if err := r.serveMetrics(); err != nil {
		cancel()
		return err
	}
	r.run.Go(func() {
		if err := link.Accept(ln, r.local, r.node.Authorize, r); err != nil && ctx.Err() == nil {
			r.log.Error().Err(err).Msg("link listener failed")
		}
	})
	r.run.Go(func() { r.listeners.Run(ctx) })
	r.run.Go(func() { r.node.Run(ctx) })
	r.run.Go(func() { r.followLabel(ctx) })
	r.run.Go(func() { r.followList(ctx) })
	r.run.Go(func() { r.readEngine(ctx) })
	r.run.Go(func() { r.groups.Run(ctx) })
	r.log.Info().Str("adapter", r.adapter.Name()).Uint64("incarnation", uint64(r.incarnation)).
		Str("engine", r.settings.Engine).Str("store", r.settings.Store).Msg("started")
	return nil
}

func (r *Server) serveMetrics() error {
	if r.settings.Listen.Metrics == "" {
		return nil
	}
	ln, err := r.listeners.Listen(inbound.Options{Name: "metrics", Address: r.settings.Listen.Metrics, Kind: inbound.KindAuxiliary})
	if err != nil {
		return eris.Wrapf(ErrStart, "%v", err)
	}
	handler := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		r.set.WritePrometheus(w)
		metrics.WriteProcessMetrics(w)
	})
	r.run.Go(func() { _ = ln.Serve(handler, nil) }) // ends with the process
	return nil
}

// Stop ends the agent at once: it carries no requests, and a map switch in progress is
// finished from the state that the ranks themselves keep.
func (r *Server) Stop(context.Context) error {
	r.cancel()
	r.pool.Close()
	for _, l := range r.listeners.Listeners() {
		_ = l.Abort() // no further links are accepted, and no further requests are served
	}
	r.run.Wait()
	r.log.Info().Msg("left")
	r.lines.Flush()
	return nil
}

// Reload checks a changed settings file. No setting of an agent can change while it runs,
// so Reload only logs whether a restart is needed or that the file is invalid.
func (r *Server) Reload(path string, raw []byte) {
	var next Settings
	if err := settings.Parse(path, raw, &next); err != nil {
		r.log.Error().Err(err).Msg("invalid settings file; the previous settings stay in force")
		return
	}
	r.log.Info().Bool("restart_needed", !reflect.DeepEqual(next, r.settings)).Msg("settings reloaded")
}

// ServeStream handles one call from another agent.
func (r *Server) ServeStream(ctx context.Context, from *link.Link, s *link.Stream, call *wire.Call) {
	relay, ok := call.GetBody().(*wire.Call_SwitchRelay)
	if !ok {
		r.log.Warn().Str("peer", string(from.Remote)).Msg("unexpected call")
		return
	}
	err := r.groups.Relay(ctx, relay.SwitchRelay, func(reply *wire.SwitchRelayReply) error {
		return s.SendReply(&wire.Reply{Body: &wire.Reply_SwitchRelay{SwitchRelay: reply}})
	})
	if err != nil {
		r.log.Info().Err(err).Str("peer", string(from.Remote)).Msg("failed to send replies to a switch order")
	}
}
