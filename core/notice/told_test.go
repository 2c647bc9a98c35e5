package notice

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"baywall.example/core/cluster"
	"baywall.example/core/vm"
)

// Whether gateways tell each other of a rest, or each learns it for itself, in simulated time with
// the product's own heartbeats: a server turns away either all requests, or those of one gateway
// from which it had too much.

const (
	simTick = 20 * time.Millisecond
	simRest = 3 * time.Second
	// meetingTime is for how long a fleet meets first.
	meetingTime = 4 * time.Second
)

// scenario is one way and one load, played beside the others over the same heartbeats.
type scenario struct {
	perSecond float64 // requests to the server from each active gateway
	tell      bool    // gateways tell each other of the rest
	onlyOne   bool    // the server turns away those of the first gateway only
}

// simView is what a gateway knows and does in one scenario.
type simView struct {
	state  State
	told   bool // that the server rests
	turned int  // requests of it that the server turned away
	idle   int  // requests that it did not send though the server would have taken them
}

// simMember is a gateway before the server.
type simMember struct {
	table *cluster.Table
	self  cluster.Self
	views []simView // by scenario
}

// simFleet is gateways that know each other.
type simFleet struct {
	members   map[string]*simMember // by address
	order     []*simMember
	rnd       *rand.Rand
	now       time.Time
	scenarios []scenario
}

// newSimFleet returns a fleet in which all are active, or a tenth from 100 on.
func newSimFleet(n int, scenarios []scenario) *simFleet {
	f := &simFleet{members: make(map[string]*simMember), rnd: rand.New(rand.NewPCG(uint64(n), 1)), now: time.Unix(1000, 0), scenarios: scenarios}
	address := func(i int) string { return fmt.Sprintf("10.0.%d.%d:1", i/200, i%200) }
	for i := range n {
		m := &simMember{table: cluster.NewTable(address(i), []string{address(0), address(1), address(2)}, cluster.DefaultPerPeer)}
		m.table.Attend()
		m.self = cluster.Self{VM: vm.ID(fmt.Sprint("vm", i)), Incarnation: 1, Zone: fmt.Sprintf("z%d", i%3), Address: address(i), Front: "f", Ready: true}
		m.self.Active = n < 100 || i%10 == 0
		m.views = make([]simView, len(scenarios))
		f.members[address(i)] = m
		f.order = append(f.order, m)
	}
	for end := f.now.Add(meetingTime); f.now.Before(end); {
		f.beat()
	}
	return f
}

// beat sends what is due. Who hears a gateway that knows of the rest is told.
func (f *simFleet) beat() {
	f.now = f.now.Add(simTick)
	for _, m := range f.order {
		out, _ := m.table.Tick(m.self, f.rnd, f.now)
		for _, d := range out {
			to := f.members[d.Address]
			if to == nil {
				continue
			}
			to.table.Receive(d.Heartbeat, f.now)
			for i := range to.views {
				to.views[i].told = to.views[i].told || m.views[i].told
			}
		}
	}
}

// request has a gateway decide on one request to the server in a scenario.
func (v *simView) request(s scenario, refused bool, end, now time.Time) {
	switch {
	case now.Before(v.state.RestsUntil()):
	case s.tell && v.told && refused:
	case s.tell && v.told:
		v.idle++
	case refused:
		v.turned++
		v.state.Rest(end, now)
		v.told = true
	}
}

// rest plays one rest.
func (f *simFleet) rest() {
	for end := f.now.Add(simRest); f.now.Before(end); f.beat() {
		for i, m := range f.order {
			for k, s := range f.scenarios {
				if m.self.Active && f.rnd.Float64() < s.perSecond*simTick.Seconds() {
					m.views[k].request(s, !s.onlyOne || i == 0, end, f.now)
				}
			}
		}
	}
}

// sums returns how many requests were turned away in a scenario, and how many not sent for nothing.
func (f *simFleet) sums(k int) (turned, idle int) {
	for _, m := range f.order {
		turned += m.views[k].turned
		idle += m.views[k].idle
	}
	return turned, idle
}

func TestRestsThatAreToldComparedWithThoseThatEachGatewayLearns(t *testing.T) {
	for _, n := range []int{7, 30, 254} {
		f := newSimFleet(n, []scenario{
			{perSecond: 0.5},
			{perSecond: 0.5, tell: true},
			{perSecond: 0.5, tell: true, onlyOne: true},
			{perSecond: 10},
			{perSecond: 10, tell: true},
			{perSecond: 10, tell: true, onlyOne: true},
		})
		f.rest()
		for k := 0; k < len(f.scenarios); k += 3 {
			learned, _ := f.sums(k)
			told, _ := f.sums(k + 1)
			_, idle := f.sums(k + 2)
			t.Logf("%3d gateways, %4.1f requests a second each: turned away %2d if each learns, %2d if told; not sent to a server that would take them: 0, %d",
				n, f.scenarios[k].perSecond, learned, told, idle)
			is.New(t).True(learned <= (n+9)/10 || n < 100 && learned <= n) // one each that is active, at most
		}
	}
}
