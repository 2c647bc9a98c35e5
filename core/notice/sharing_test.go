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

// This test compares two policies for backoffs in simulated time, with the production
// heartbeats: gateways report backoffs to each other, or each gateway learns of them from
// a refusal of its own. The server refuses either all requests, or only those of one
// gateway that sent it too many.

const (
	simTick    = 20 * time.Millisecond
	simBackoff = 3 * time.Second
	// meetingTime is how long the gateways discover each other before the test.
	meetingTime = 4 * time.Second
)

// scenario is one policy and one load. All scenarios run in parallel over the same
// heartbeats.
type scenario struct {
	perSecond float64 // requests a second to the server from each active gateway
	share     bool    // gateways report backoffs to each other
	onlyOne   bool    // the server refuses only requests of the first gateway
}

// simView is the state of a gateway in one scenario.
type simView struct {
	state    State
	knows    bool // whether it knows of the backoff
	refusals int  // its requests that the server refused
	idle     int  // requests that it did not send although the server would have accepted them
}

// simMember is a simulated gateway.
type simMember struct {
	table *cluster.Table
	self  cluster.Self
	views []simView // by scenario
}

// simFleet is a fleet of gateways that know each other.
type simFleet struct {
	members   map[string]*simMember // by address
	order     []*simMember
	rnd       *rand.Rand
	now       time.Time
	scenarios []scenario
}

// newSimFleet returns a fleet of n gateways. All of them are active, or a tenth if there
// are 100 or more.
func newSimFleet(n int, scenarios []scenario) *simFleet {
	f := &simFleet{members: make(map[string]*simMember), rnd: rand.New(rand.NewPCG(uint64(n), 1)), now: time.Unix(1000, 0), scenarios: scenarios}
	address := func(i int) string { return fmt.Sprintf("10.0.%d.%d:1", i/200, i%200) }
	for i := range n {
		m := &simMember{table: cluster.NewTable(address(i), []string{address(0), address(1), address(2)}, cluster.DefaultPerPeer)}
		m.table.EnableMonitoring()
		m.self = cluster.Self{VM: vm.ID(fmt.Sprint("vm", i)), Incarnation: 1, Zone: fmt.Sprintf("z%d", i%3), Address: address(i), Front: "f", Ready: true}
		m.self.Active = n < 100 || i%10 == 0
		m.views = make([]simView, len(scenarios))
		f.members[address(i)] = m
		f.order = append(f.order, m)
	}
	for end := f.now.Add(meetingTime); f.now.Before(end); {
		f.sendHeartbeats()
	}
	return f
}

// sendHeartbeats sends the heartbeats that are due. A gateway that knows of the backoff
// reports it to those that receive its heartbeats.
func (f *simFleet) sendHeartbeats() {
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
				to.views[i].knows = to.views[i].knows || m.views[i].knows
			}
		}
	}
}

// request decides in one scenario whether the gateway sends one request, and records the
// result.
func (v *simView) request(s scenario, refused bool, end, now time.Time) {
	switch {
	case now.Before(v.state.BackoffUntil()):
	case s.share && v.knows && refused:
	case s.share && v.knows:
		v.idle++
	case refused:
		v.refusals++
		v.state.Backoff(end, now)
		v.knows = true
	}
}

// runBackoff simulates one backoff.
func (f *simFleet) runBackoff() {
	for end := f.now.Add(simBackoff); f.now.Before(end); f.sendHeartbeats() {
		for i, m := range f.order {
			for k, s := range f.scenarios {
				if m.self.Active && f.rnd.Float64() < s.perSecond*simTick.Seconds() {
					m.views[k].request(s, !s.onlyOne || i == 0, end, f.now)
				}
			}
		}
	}
}

// sums returns how many requests were refused in a scenario, and how many were withheld
// without need.
func (f *simFleet) sums(k int) (refusals, idle int) {
	for _, m := range f.order {
		refusals += m.views[k].refusals
		idle += m.views[k].idle
	}
	return refusals, idle
}

func TestReportedAndLearnedBackoffsCompared(t *testing.T) {
	for _, n := range []int{7, 30, 254} {
		f := newSimFleet(n, []scenario{
			{perSecond: 0.5},
			{perSecond: 0.5, share: true},
			{perSecond: 0.5, share: true, onlyOne: true},
			{perSecond: 10},
			{perSecond: 10, share: true},
			{perSecond: 10, share: true, onlyOne: true},
		})
		f.runBackoff()
		for k := 0; k < len(f.scenarios); k += 3 {
			learned, _ := f.sums(k)
			reported, _ := f.sums(k + 1)
			_, idle := f.sums(k + 2)
			t.Logf("%3d gateways, %4.1f requests a second each: refused %2d if each gateway learns, %2d if reported; withheld without need: 0, %d",
				n, f.scenarios[k].perSecond, learned, reported, idle)
			// At most one refusal for each active gateway.
			is.New(t).True(learned <= (n+9)/10 || n < 100 && learned <= n)
		}
	}
}
