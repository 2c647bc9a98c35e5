package ratelimit

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/time/rate"

	"baywall.example/core/clock"
	"baywall.example/core/cluster"
	"baywall.example/core/rendezvous"
	"baywall.example/core/vm"
	"baywall.example/core/wait"
	"baywall.example/core/wire"
)

// The tests simulate a fleet of gateways and servers that report limits, in simulated
// time. Heartbeats, tables, gates and grantors are the production code.

const (
	// hop is the transmission time of a message between two VMs.
	hop = 2 * time.Millisecond
	// connectTime is the time to set up a connection.
	connectTime = 3 * time.Millisecond
	// answerTime is the time that a server takes for an answer.
	answerTime = 30 * time.Millisecond
	// heartbeatTick is the interval at which a gateway looks for due heartbeats.
	heartbeatTick = 20 * time.Millisecond
	// smallFleet is the largest fleet in which all gateways are active.
	smallFleet = 30
)

// strategy decides whether a gateway may send to a server with a limit.
type strategy int

const (
	byPermit  strategy = iota // as in production
	oneSender                 // only the first gateway in rendezvous order sends
	// Each gateway has an even share of the limit, and sends at least one request at a time.
	evenShares
)

func (w strategy) String() string { return [...]string{"permits", "one sender", "even parts"}[w] }

// simServer is a simulated backend server.
type simServer struct {
	key        Key
	limit      float64   // currently reported, 0 = none
	reportedAt time.Time // when the current limit was first reported; zero = not yet
	got        []arrival
}

// arrival is a request that a server received.
type arrival struct {
	at       time.Time
	side     int  // of its gateway
	limited  bool // whether its gateway knew of the limit when it sent the request
	excluded bool // its gateway was disturbed recently
}

// simGateway is one simulated gateway.
type simGateway struct {
	fleet   *simFleet
	name    string
	address string
	zone    int
	active  bool

	// The fields below are guarded by the fleet's lock.
	table     *cluster.Table
	limits    *Table
	gate      *Gate
	parts     map[Key]*rate.Limiter
	began     vm.Incarnation
	startedAt time.Time
	down      bool
	frozen    bool
	disturbed time.Time // until when it was disturbed
	queued    []*wire.Heartbeat
	lossRate  float64
	side      int // gateways on different sides of a partition do not reach each other
}

// simFleet is a simulated fleet.
type simFleet struct {
	mu          sync.Mutex
	ctx         context.Context
	rnd         *rand.Rand
	strategy    strategy
	gateways    []*simGateway
	at          map[string]*simGateway
	servers     []*simServer
	sent        int
	refused     int
	convergence time.Duration
	countFrom   time.Duration // requests are counted from this time after a limit was reported
	perSecond   float64
}

func newFleet(ctx context.Context, n int, w strategy, limits []float64, perSecond float64, seed uint64) *simFleet {
	f := &simFleet{
		ctx: ctx, rnd: rand.New(rand.NewPCG(seed, 7)), strategy: w, at: make(map[string]*simGateway),
		convergence: 3 * time.Second, countFrom: 500 * time.Millisecond, perSecond: perSecond,
	}
	for i, limit := range limits {
		f.servers = append(f.servers, &simServer{key: Key(rendezvous.Hash(fmt.Sprintf("s%d-%d", i, seed))), limit: limit})
	}
	for i := range n {
		f.add(n <= smallFleet || i%10 == 0)
	}
	go f.generateLoad()
	return f
}

// add adds a gateway and starts it.
func (f *simFleet) add(active bool) *simGateway {
	i := len(f.gateways)
	g := &simGateway{fleet: f, name: fmt.Sprintf("vm%d", i), address: address(i), zone: i % 3, active: active}
	f.mu.Lock()
	f.gateways = append(f.gateways, g)
	f.at[g.address] = g
	f.mu.Unlock()
	g.start()
	go g.run()
	return g
}

func address(i int) string { return fmt.Sprintf("10.0.%d.%d:1", i/200, i%200) }

// start starts the process of the gateway.
func (g *simGateway) start() {
	f := g.fleet
	f.mu.Lock()
	defer f.mu.Unlock()
	g.down = false
	g.began++
	g.startedAt = clock.Now()
	g.table = cluster.NewTable(g.address, []string{address(0), address(1), address(2)}, cluster.DefaultPerPeer)
	g.table.EnableMonitoring()
	g.limits = NewTable(func(Key) string { return "" }, zerolog.Nop())
	g.gate = NewGate(g.limits, g)
	g.parts = make(map[Key]*rate.Limiter)
	g.queued = nil
}

// get reads a value that the fleet's lock guards.
func get[T any](f *simFleet, v *T) T {
	f.mu.Lock()
	defer f.mu.Unlock()
	return *v
}

// draw returns a random number below n.
func (f *simFleet) draw(n int) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.rnd.IntN(n)
}

func (g *simGateway) stopped() bool {
	g.fleet.mu.Lock()
	defer g.fleet.mu.Unlock()
	return g.down || g.frozen
}

// waitWhileFrozen returns when the gateway is not frozen.
func (g *simGateway) waitWhileFrozen() {
	for get(g.fleet, &g.frozen) && wait.Sleep(g.fleet.ctx, 5*time.Millisecond) {
	}
}

func (g *simGateway) run() {
	wait.Sleep(g.fleet.ctx, time.Duration(g.fleet.draw(int(heartbeatTick))))
	for n := 0; wait.Sleep(g.fleet.ctx, heartbeatTick); n++ {
		if g.stopped() {
			continue
		}
		g.sendHeartbeats()
		if n%10 == 0 {
			gate := get(g.fleet, &g.gate)
			gate.Expire(clock.Now())
		}
	}
}

func (g *simGateway) sendHeartbeats() {
	f := g.fleet
	limits := get(f, &g.limits)
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, hb := range g.queued {
		g.handleHeartbeat(hb)
	}
	g.queued = nil
	self := cluster.Self{
		VM: vm.ID(g.name), Incarnation: g.began, Zone: fmt.Sprint(g.zone), Address: g.address, Front: "f", Ready: true,
		Limits: limits.Report, Activity: cluster.Activity{Active: g.active},
	}
	out, _ := g.table.Tick(self, f.rnd, clock.Now())
	for _, d := range out {
		to := f.at[d.Address]
		if to == nil || to.down || to.side != g.side || f.rnd.Float64() < max(g.lossRate, to.lossRate) {
			continue
		}
		time.AfterFunc(hop, func() { to.receive(d.Heartbeat) })
	}
}

func (g *simGateway) receive(hb *wire.Heartbeat) {
	g.fleet.mu.Lock()
	defer g.fleet.mu.Unlock()
	switch {
	case g.down:
	case g.frozen:
		g.queued = append(g.queued, hb) // waits in the socket buffer
	default:
		g.handleHeartbeat(hb)
	}
}

// handleHeartbeat processes a heartbeat. The caller holds the fleet's lock.
func (g *simGateway) handleHeartbeat(hb *wire.Heartbeat) {
	g.limits.ReceiveLimits(vm.ID(hb.GetVm()), hb.GetLimits(), clock.Now())
	g.table.Receive(hb, clock.Now())
}

// Grantor implements Network in the way that a gateway does.
func (g *simGateway) Grantor(server Key) (id vm.ID, own, known bool) {
	g.fleet.mu.Lock()
	defer g.fleet.mu.Unlock()
	first := g.first(server)
	return vm.ID(first), first == g.name, first != ""
}

// first returns the first active gateway in rendezvous order for a server. The caller
// holds the fleet's lock.
func (g *simGateway) first(server Key) string {
	best, weight := "", uint64(0)
	consider := func(name string) {
		if w := rendezvous.Weight(rendezvous.Hash(name), uint64(server)); best == "" || w > weight {
			best, weight = name, w
		}
	}
	if g.active {
		consider(g.name)
	}
	for _, p := range g.table.Live() {
		if p.Active {
			consider(string(p.VM))
		}
	}
	return best
}

// ReachableFraction implements Network.
func (g *simGateway) ReachableFraction() float64 {
	g.fleet.mu.Lock()
	defer g.fleet.mu.Unlock()
	return ReachableFraction(g.table.Reached(), g.table.ReachedSeeds(), clock.Since(g.startedAt))
}

var errSilent = errors.New("no answer")

// RequestPermit implements Network.
func (g *simGateway) RequestPermit(ctx context.Context, grantor vm.ID, s Observation) (Grant, error) {
	f := g.fleet
	encoded := s.PermitRequestToWire(clock.Now())
	if !wait.Sleep(ctx, hop) {
		return Grant{}, errSilent
	}
	var to *simGateway
	f.mu.Lock()
	for _, o := range f.gateways {
		if o.name == string(grantor) {
			to = o
		}
	}
	reached := to != nil && !to.down && to.side == g.side
	f.mu.Unlock()
	if !reached {
		<-ctx.Done()
		return Grant{}, errSilent
	}
	to.waitWhileFrozen() // the request waits in its socket buffer
	statement, _ := ObservationFromWire(encoded.GetLimit(), clock.Now())
	gate := get(f, &to.gate)
	grant := GrantFromWire(gate.Grant(statement).ToWire())
	if !wait.Sleep(ctx, hop) {
		return Grant{}, errSilent
	}
	return grant, nil
}

// disturb records that a gateway is disturbed for a time from now.
func (g *simGateway) disturb(d time.Duration) {
	g.fleet.mu.Lock()
	defer g.fleet.mu.Unlock()
	g.disturbed = clock.Now().Add(d)
}

// freeze freezes a gateway for a time.
func (g *simGateway) freeze(d time.Duration) {
	g.disturb(d)
	g.fleet.mu.Lock()
	g.frozen = true
	g.fleet.mu.Unlock()
	wait.Sleep(g.fleet.ctx, d)
	g.fleet.mu.Lock()
	g.frozen = false
	g.fleet.mu.Unlock()
}

// restart stops a gateway and starts it again after a time.
func (g *simGateway) restart(d time.Duration) {
	g.disturb(d)
	g.fleet.mu.Lock()
	g.down = true
	g.fleet.mu.Unlock()
	if wait.Sleep(g.fleet.ctx, d) {
		g.start()
	}
}

// cut partitions gateways from the others for a time. All of them still reach the servers.
func (f *simFleet) cut(d time.Duration, side []*simGateway, excluded bool) {
	set := func(to int) {
		f.mu.Lock()
		defer f.mu.Unlock()
		for _, g := range side {
			g.side = to
		}
	}
	if excluded {
		for _, g := range side {
			g.disturb(d)
		}
	}
	set(1)
	wait.Sleep(f.ctx, d)
	set(0)
}

// grantor returns the gateway that grants permits for a server in the view of most
// gateways.
func (f *simFleet) grantor(s *simServer) *simGateway {
	f.mu.Lock()
	defer f.mu.Unlock()
	var best *simGateway
	weight := uint64(0)
	for _, g := range f.gateways {
		if w := rendezvous.Weight(rendezvous.Hash(g.name), uint64(s.key)); g.active && !g.down && (best == nil || w > weight) {
			best, weight = g, w
		}
	}
	return best
}
