package gateway

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"github.com/rs/zerolog"
	"github.com/sourcegraph/conc"

	"baywall.example/core/clock"
	"baywall.example/core/cluster"
	"baywall.example/core/inbound"
	"baywall.example/core/process"
	"baywall.example/core/source"
	"baywall.example/core/vm"
	"baywall.example/core/wire"
	"baywall.example/entry/balance"
	"baywall.example/entry/catalog"
	"baywall.example/entry/follow"
	"baywall.example/entry/quarantine"
	"baywall.example/entry/retry"
)

// ErrStart means that the gateway could not start serving.
var ErrStart = eris.New("gateway: cannot start")

// maintainInterval is the interval between runs of the periodic maintenance.
const maintainInterval = follow.CheckInterval

// Gateway is the process of an entry VM that dispatches requests straight to backend
// servers. It implements process.Service and Directory.
type Gateway struct {
	settings  Settings
	adapter   Adapter
	headers   Headers
	log       zerolog.Logger
	logWriter *process.LogWriter

	incarnation   vm.Incarnation
	began         time.Time
	catalog       catalog.Store
	registry      *balance.Registry
	node          *cluster.Node
	inst          *instruments
	seeds         atomic.Pointer[[]string] // as of the latest settings
	retries       *retry.Budgets
	serviceStates sync.Map // service -> *serviceState
	activity      activity
	suspects      *quarantine.Table
	limits        *limits
	slots         *slotQueues // nil = requests do not queue for slots
	fairShares    *fairShares // nil if switched off

	follower       *source.Follower
	peering        *peering
	catalogEntry   catalogEntry
	refusedEntries map[string]source.Position // entries that could not be decoded, by key
	appliedState   atomic.Pointer[appliedState]
	listed         atomic.Bool
	leaving        atomic.Bool
	inFlight       atomic.Int64

	clientLog zerolog.Logger // for refusals that abusive clients can cause in numbers, sampled
	listeners *inbound.Set
	front     *inbound.Listener
	run       conc.WaitGroup
	cancel    context.CancelFunc
}

// New returns a gateway that has not been started.
func New(s Settings, a Adapter, log zerolog.Logger, logWriter *process.LogWriter, now time.Time) (*Gateway, error) {
	g := &Gateway{
		settings: s, adapter: a, headers: a.Headers(), log: log, logWriter: logWriter,
		incarnation: vm.NewIncarnation(now), began: clock.Now(),
	}
	node, err := cluster.NewNode(s.Listen.Peers, s.Seeds, cluster.DefaultPerPeer, g.self, log)
	if err != nil {
		return nil, eris.Wrapf(ErrStart, "%v", err)
	}
	g.node = node
	g.listeners = inbound.NewSet(s.Clients, log)
	g.clientLog = log.Sample(&zerolog.BurstSampler{Burst: clientLogBurst, Period: time.Second})
	g.seeds.Store(&s.Seeds)
	node.EnableMonitoring()
	g.suspects = quarantine.NewTable(vm.ID(s.VM), node.Staleness, log)
	node.OnHold(g.holdStep)
	node.OnSuspects(func(from vm.ID, suspects []*wire.Suspect) { g.suspects.Receive(from, suspects, clock.Now()) })
	g.registry = balance.NewRegistry(node, s.Zone, log)
	g.registry.BoundConnections(s.Clients.IdleBackendConnections, s.Clients.BackendReceiveBuffer)
	g.limits = newLimits(g)
	g.registry.LimitBy(g.limits)
	node.OnLimits(g.limits.receiveReports)
	if s.Scheduling.Queue {
		g.slots = &slotQueues{g: g}
		node.OnPeerDemand(g.slots.receive)
	}
	g.peering = newPeering(g)
	node.OnPeerUp(g.peering.peerUp)
	g.follower = &source.Follower{
		Store: a.Store(s.Store, log), Log: log, Deliver: g.applyUpdate, Within: s.Follow.Within, Rules: g.rules(),
		Others: g.followers, Role: func() source.Role { return g.peering.decideRole() },
	}
	g.inst = newInstruments(gauges{
		catalogVersion:   func() float64 { return float64(g.catalog.Version()) },
		storeTerm:        func() float64 { return float64(g.applied().at.Term) },
		backendsRevision: func() float64 { return float64(g.applied().at.Revision) },
		peers:            func() float64 { return float64(len(node.Live())) },
		suspects:         func() float64 { return float64(g.suspects.Size()) },
		suspectsOf: func(k quarantine.Kind, least quarantine.Status) float64 {
			return float64(g.suspects.Count(k, least, clock.Now()))
		},
		limited:    func() float64 { return float64(g.limits.Limited()) },
		evacuated:  func() float64 { return float64(len(g.registry.Evacuated())) },
		permits:    g.limits.Counts,
		logDropped: func() float64 { return float64(logWriter.Dropped()) },
	})
	g.listeners.Register(g.inst.set)
	g.fairShares = newFairShares(g)
	if g.fairShares != nil {
		g.fairShares.waiting = g.slots.waits
	}
	g.retries = retry.NewBudgets(s.Listen.Peers, s.Retry.Limit(), retryFleet{g}, log, clock.Now, g.inst.watchRetries)
	return g, nil
}

func (g *Gateway) self() cluster.Self {
	self := cluster.Self{
		VM: vm.ID(g.settings.VM), Incarnation: g.incarnation, Zone: g.settings.Zone,
		Address: g.settings.Listen.Peers, Front: g.settings.Listen.Front, Ready: g.Ready(),
		CatalogVersion: g.catalog.Version(), StoreChanged: g.applied().changed, Retained: g.follower.Retained(),
		Load: g.registry.OwnLoad(clock.Now()), LastStoreAnswer: g.follower.LastAnswer(), StoreFailing: g.follower.Failing(),
		Found: g.registry.Found(clock.Now()), Suspects: g.suspects.Report, Limits: g.limits.table.Report,
		Activity: cluster.Activity{
			Active: g.activity.isActive() && !g.leaving.Load(), Millicores: g.settings.Machine.millicores(), Arrivals: g.activity.rate(),
		},
	}
	if g.slots != nil {
		interval := g.node.Staleness() // the node calls Demand under its lock
		self.Demand = func(now time.Time) *wire.Demand { return g.slots.report(interval, now) }
	}
	return self
}

// Start opens the listeners and begins to follow the store and the other gateways.
func (g *Gateway) Start() error {
	ctx, cancel := context.WithCancel(context.Background())
	g.cancel = cancel
	if err := g.listenHTTP(); err != nil {
		cancel()
		return err
	}
	if err := g.listenPeers(ctx); err != nil {
		cancel()
		return err
	}
	g.run.Go(func() { g.listeners.Run(ctx) })
	g.run.Go(func() { g.node.Run(ctx) })
	g.run.Go(func() { g.follower.Run(ctx) })
	g.run.Go(func() { g.maintain(ctx) })
	g.run.Go(func() { g.runProbes(ctx) })
	g.run.Go(func() { g.peering.run(ctx) })
	g.log.Info().Str("adapter", g.adapter.Name()).Uint64("incarnation", uint64(g.incarnation)).
		Str("front", g.settings.Listen.Front).Str("store", g.settings.Store).Strs("seeds", g.settings.Seeds).Msg("started")
	return nil
}

// maintain runs the periodic maintenance until the context ends.
func (g *Gateway) maintain(ctx context.Context) {
	ticker := time.NewTicker(maintainInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			now := clock.Now()
			g.registry.Expire(g.applied().at, now)
			g.suspects.Expire(now)
			g.limits.maintain(now)
			g.retries.Refresh()
			g.fairShares.maintain(now)
			g.decideActivity(now)
			g.peering.reconcile(ctx)
			g.peering.pool.CloseIdle(now.Add(-linkIdle))
			g.follower.Recheck()
		}
	}
}
