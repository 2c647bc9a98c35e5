package retry

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/rs/zerolog"
	"google.golang.org/protobuf/proto"

	"baywall.example/core/cluster"
	"baywall.example/core/rendezvous"
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
	// settled is how long a fleet runs before anything happens to it: by then its grantors
	// grant retries.
	settled = 12 * time.Second
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
	budgets     *Budgets
	seen        map[string]bool // members that the process has ever seen, with byKnownMembers
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
	// greedy fleets retry as often as their budgets allow. Others retry the given fraction of
	// their requests.
	greedy   bool
	failing  float64
	way      way
	requests []int // by step
	retries  []int
	refused  int // retries for which there was no budget, though the limit had room
	wanted   int
	messages int // requests for retries and replies
}

// way is how the slack is divided.
type way int

const (
	byGrantors      way = iota // as in production
	byKnownMembers             // each gateway has an equal part, by the members that it has ever seen
	byElectedMember            // the first live active member in rendezvous order grants all of it
	earnedOnly                 // nobody uses the slack
)

func (w way) String() string {
	return [...]string{"named grantors", "parts by known members", "an elected grantor", "earned only"}[w]
}

// service is the only service of the simulated fleet.
const service = "s"

func newSimFleet(n int, traffic float64, limit Limit, w way, seed uint64) *simFleet {
	f := &simFleet{
		now: time.Unix(1_700_000_000, 0), rnd: rand.New(rand.NewPCG(seed, 5)), limit: limit,
		at: make(map[string]*simGateway), traffic: traffic, way: w,
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
	g.seen = map[string]bool{g.address: true}
	g.budgets = NewBudgets(g.address, g.fleet.limit, g, zerolog.Nop(), func() time.Time { return g.fleet.now }, nil)
}

// Grantors implements Fleet.
func (g *simGateway) Grantors() []string {
	switch g.fleet.way {
	case byKnownMembers:
		for _, p := range g.table.Live() {
			g.seen[p.Address] = true
		}
		return slices.Collect(maps.Keys(g.seen))
	case byElectedMember:
		return []string{g.elected()}
	case earnedOnly:
		return nil
	default:
		return []string{simAddress(0), simAddress(1), simAddress(2)}
	}
}

// elected returns the first of the active members that the gateway reaches, itself included,
// in rendezvous order.
func (g *simGateway) elected() string {
	first := g.address
	for _, p := range g.table.Live() {
		if p.Active && (first == g.address && !g.active || rendezvous.Hash(p.Address) < rendezvous.Hash(first)) {
			first = p.Address
		}
	}
	return first
}

// ReachableGrantors implements Fleet.
func (g *simGateway) ReachableGrantors() []string {
	if g.fleet.way == byKnownMembers {
		return nil
	}
	var out []string
	for _, p := range g.table.LiveAt(g.Grantors()) {
		out = append(out, p.Address)
	}
	return out
}

var errSilent = errors.New("no answer")

// RequestRetry implements Fleet. As datagrams, some replies are lost.
func (g *simGateway) RequestRetry(_ context.Context, grantor, service string) (Grant, error) {
	f := g.fleet
	f.messages += 2
	to := f.at[grantor]
	if !to.runs() || to.side != g.side {
		return Grant{}, errSilent
	}
	grant := GrantFromWire(to.budgets.Grant(service).ToWire())
	if f.rnd.Float64() < f.loss {
		return Grant{}, errSilent
	}
	return grant, nil
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
		f.requests = append(f.requests, 0)
		f.retries = append(f.retries, 0)
		f.sendRequests()
		for _, g := range f.gateways {
			for f.greedy && g.runs() && g.retry() {
			}
		}
	}
}

// retry retries a request if there is budget for it, and reports whether there is.
func (g *simGateway) retry() bool {
	f := g.fleet
	f.wanted++
	if g.budgets.Of(service).Take(context.Background()) != SourceNone {
		f.retries[len(f.retries)-1]++
		return true
	}
	n := int(f.limit.Window / step)
	if used, allowed := f.window(len(f.retries) - n); used+1 <= allowed {
		f.refused++
	}
	return false
}

// heartbeat sends the due heartbeats and decides on the gateway's role.
func (g *simGateway) heartbeat() {
	f := g.fleet
	for _, hb := range g.queued {
		g.table.Receive(hb, f.now)
	}
	g.queued = nil
	g.budgets.Refresh()
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
// run if none is active.
func (f *simFleet) sendRequests() {
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
	f.requests[len(f.requests)-1] = n
	got := make(map[*simGateway]int)
	for range n {
		if len(active) == 0 {
			break
		}
		g := active[f.rnd.IntN(len(active))]
		got[g]++
		g.budgets.Of(service).Request()
		if f.rnd.Float64() < f.failing {
			g.retry()
		}
	}
	for _, g := range f.gateways {
		const weight = 0.05
		g.arrivals += weight * (float64(got[g])/step.Seconds() - g.arrivals)
	}
}

// window returns the retries in the window that begins with a step, and how many the limit
// allows there: the requests are counted in the window, in the one before and in the one half
// a window before, whichever has most.
func (f *simFleet) window(at int) (used, allowed float64) {
	n := int(f.limit.Window / step)
	sum := func(counts []int, at int) (out float64) {
		for i := max(0, at); i < min(len(counts), at+n); i++ {
			out += float64(counts[i])
		}
		return out
	}
	requests := max(sum(f.requests, at), sum(f.requests, at-n), sum(f.requests, at-n/2))
	return sum(f.retries, at), f.limit.Ratio*requests + f.limit.Slack
}

// most returns the largest part of what the limit allows that the fleet used in any window.
func (f *simFleet) most() float64 {
	worst := 0.0
	for at := range f.retries {
		used, allowed := f.window(at)
		worst = max(worst, used/allowed)
	}
	return worst
}
