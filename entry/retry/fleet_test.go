package retry

import (
	"fmt"
	"math/rand/v2"
	"time"

	"google.golang.org/protobuf/proto"

	"baywall.example/core/cluster"
	"baywall.example/core/vm"
	"baywall.example/core/wire"
	"baywall.example/entry/subset"
)

// The tests simulate a fleet of gateways in steps of simulated time. Heartbeats, roles and
// retry budgets are the production code.

const (
	// step is the length of a step, in which each gateway sends its due heartbeats, receives
	// requests and retries as often as its budget allows.
	step = 50 * time.Millisecond
	// settled is how long a fleet runs before anything happens to it.
	settled = 25 * time.Second
	// coresPerGateway is the processor time of a gateway, in cores.
	coresPerGateway = 0.4
)

// simGateway is one simulated gateway.
type simGateway struct {
	fleet   *simFleet
	name    string
	address string
	zone    string

	table       *cluster.Table
	role        subset.Role
	share       *Share
	incarnation vm.Incarnation
	upAt        time.Time // when its process starts again, in the past if it runs
	frozenUntil time.Time
	queued      []*wire.Heartbeat // received while it is frozen
	side        int               // gateways on different sides of a partition do not reach each other
	active      bool
	arrivals    float64 // requests a second that it receives, smoothed
}

// simFleet is a simulated fleet.
type simFleet struct {
	now      time.Time
	rnd      *rand.Rand
	limit    Limit
	gateways []*simGateway
	at       map[string]*simGateway
	loss     float64 // fraction of the datagrams that are lost
	traffic  float64 // requests a second of the whole fleet
	due      float64 // requests not sent yet
	requests []int   // by step
	retries  []int
}

func newSimFleet(n int, traffic float64, limit Limit, seed uint64) *simFleet {
	f := &simFleet{
		now: time.Unix(1_700_000_000, 0), rnd: rand.New(rand.NewPCG(seed, 5)), limit: limit,
		at: make(map[string]*simGateway), traffic: traffic,
	}
	for i := range n {
		g := &simGateway{fleet: f, name: fmt.Sprintf("vm%d", i), address: simAddress(i), zone: fmt.Sprint(i % 3)}
		f.gateways = append(f.gateways, g)
		f.at[g.address] = g
		g.start()
	}
	return f
}

func simAddress(i int) string { return fmt.Sprintf("10.0.%d.%d:1", i/200, i%200) }

// start starts the gateway's process.
func (g *simGateway) start() {
	g.incarnation++
	g.table = cluster.NewTable(g.address, []string{simAddress(0), simAddress(1), simAddress(2)}, cluster.DefaultPerPeer)
	g.table.EnableMonitoring()
	g.role, g.active, g.queued, g.arrivals = subset.Role{}, false, nil, 0
	now := g.fleet.now
	g.share = NewShare(g.fleet.limit, g.sharers, now, func() time.Time { return g.fleet.now })
}

// sharers returns the number of gateways that share the slack, as the gateway counts them.
func (g *simGateway) sharers() int {
	if !g.active {
		return 0
	}
	return g.table.Members()
}

// restart stops the process and starts it again after a time.
func (g *simGateway) restart(after time.Duration) {
	g.start()
	g.upAt = g.fleet.now.Add(after)
}

func (g *simGateway) runs() bool {
	return !g.fleet.now.Before(g.upAt) && !g.fleet.now.Before(g.frozenUntil)
}

// run runs the fleet for a time.
func (f *simFleet) run(d time.Duration) {
	for end := f.now.Add(d); f.now.Before(end); f.now = f.now.Add(step) {
		for _, g := range f.gateways {
			if g.runs() {
				g.heartbeat()
			}
		}
		f.requests = append(f.requests, f.sendRequests())
		retries := 0
		for _, g := range f.gateways {
			for g.runs() && g.share.Take() {
				retries++
			}
		}
		f.retries = append(f.retries, retries)
	}
}

// heartbeat sends the due heartbeats and decides on the gateway's role.
func (g *simGateway) heartbeat() {
	f := g.fleet
	for _, hb := range g.queued {
		g.table.Receive(hb, f.now)
	}
	g.queued = nil
	g.decideRole()
	out, _ := g.table.Tick(g.self(), f.rnd, f.now)
	for _, d := range out {
		if to := f.at[d.Address]; to != nil && to.side == g.side && f.rnd.Float64() >= f.loss {
			to.receive(proto.CloneOf(d.Heartbeat))
		}
	}
}

func (g *simGateway) self() cluster.Self {
	return cluster.Self{
		VM: vm.ID(g.name), Incarnation: g.incarnation, Zone: g.zone, Address: g.address, Front: "f", Ready: true,
		Activity: cluster.Activity{Active: g.active, Millicores: 1000 * coresPerGateway, Arrivals: uint32(g.arrivals)},
	}
}

func (g *simGateway) receive(hb *wire.Heartbeat) {
	switch f := g.fleet; {
	case f.now.Before(g.upAt):
	case f.now.Before(g.frozenUntil):
		g.queued = append(g.queued, hb) // waits in the socket buffer
	default:
		g.table.Receive(hb, f.now)
	}
}

// decideRole decides whether the gateway is active in its zone, as a gateway does.
func (g *simGateway) decideRole() {
	zone := []subset.Member{{ID: g.name, Cores: coresPerGateway, Active: g.active}}
	requests := g.arrivals
	for _, p := range g.table.Live() {
		if p.Zone == g.zone {
			zone = append(zone, subset.Member{ID: string(p.VM), Cores: coresPerGateway, Active: p.Active})
			requests += float64(p.Arrivals)
		}
	}
	g.active = g.role.Decide(g.name, zone, requests, g.fleet.now)
}

// sendRequests sends the requests of a step to the active gateways that run, or to all that
// run if none is active, and returns their number.
func (f *simFleet) sendRequests() int {
	var active, running []*simGateway
	for _, g := range f.gateways {
		if g.runs() {
			running = append(running, g)
		}
		if g.runs() && g.active {
			active = append(active, g)
		}
	}
	if len(active) == 0 {
		active = running
	}
	f.due += f.traffic * step.Seconds()
	n := int(f.due)
	f.due -= float64(n)
	got := make(map[*simGateway]int)
	for range n {
		if len(active) > 0 {
			g := active[f.rnd.IntN(len(active))]
			got[g]++
			g.share.Request()
		}
	}
	for _, g := range f.gateways {
		const weight = 0.05
		g.arrivals += weight * (float64(got[g])/step.Seconds() - g.arrivals)
	}
	return n
}

// most returns the largest part of what the limit allows that the fleet used in any window
// since the start of a step: the requests are counted in the window, in the one before and
// in the one half a window before, whichever has most.
func (f *simFleet) most(from int) float64 {
	n := int(f.limit.Window / step)
	sum := func(counts []int, at int) (out int) {
		for i := max(0, at); i < min(len(counts), at+n); i++ {
			out += counts[i]
		}
		return out
	}
	worst := 0.0
	for at := from - n; at < len(f.retries); at++ {
		requests := max(sum(f.requests, at), sum(f.requests, at-n), sum(f.requests, at-n/2))
		worst = max(worst, float64(sum(f.retries, at))/(f.limit.Ratio*float64(requests)+f.limit.Slack))
	}
	return worst
}
