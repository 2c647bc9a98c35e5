package fairshare

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"baywall.example/core/vm"
)

// The replay runs a load in simulated time: several gateways with one queue each share the
// slots of a service. They order requests by whether their team is over its share, then by
// arrival, and leave free slots to more urgent requests that they know of at others.
const (
	replayTick      = time.Millisecond
	replaySlots     = 24
	replayService   = 100 * time.Millisecond // 240 requests a second
	replayPatience  = 300 * time.Millisecond // a request that waits longer is late
	reportInterval  = 100 * time.Millisecond
	replayRefresh   = 50 * time.Millisecond
	reportDelay     = 100 * time.Millisecond
	waitingLifetime = 500 * time.Millisecond // of a report of waiting requests
	largeTeam       = Team(0)
	smallTeams      = 8
)

type replayRequest struct {
	team Team
	at   time.Time
}

// replayReport is what a gateway tells the others.
type replayReport struct {
	from    int
	arrives time.Time
	uses    []Use
	waiting [2]int // by level
}

type replayGateway struct {
	account   *Account
	queue     []replayRequest
	heard     map[int]replayReport // the latest of each other gateway
	standings map[Team]Standing
	refreshed time.Time // when the standings were computed
}

// replay is one run.
type replay struct {
	fair     bool          // the teams over their share go last
	largeAt  int           // gateway of all the large team's requests, -1 = any
	silentAt time.Duration // when the gateway 0 stops reporting, 0 = never
	goneAt   time.Duration // when it also stops serving, 0 = never
	length   time.Duration

	rnd      *rand.Rand
	now      time.Time
	gateways []*replayGateway
	mail     []replayReport
	ends     []time.Time // of the requests in progress
	sent     map[Team]int
	onTime   map[Team]int
}

func (r *replay) run() {
	r.rnd = rand.New(rand.NewPCG(1, 2))
	r.sent, r.onTime = make(map[Team]int), make(map[Team]int)
	for range 7 {
		r.gateways = append(r.gateways, &replayGateway{account: NewAccount(equalWeights), heard: make(map[int]replayReport)})
	}
	for passed := time.Duration(0); passed < r.length; passed += replayTick {
		r.now = start.Add(passed)
		if r.goneAt > 0 && passed >= r.goneAt {
			r.gateways[0].queue = nil
		}
		r.exchange(passed)
		r.arrive(passed)
		r.serve()
	}
}

// exchange sends and delivers the reports that are due.
func (r *replay) exchange(passed time.Duration) {
	for i, g := range r.gateways {
		silent := i == 0 && r.silentAt > 0 && passed >= r.silentAt
		if !silent && passed%reportInterval == time.Duration(i)*10*time.Millisecond {
			r.mail = append(r.mail, replayReport{from: i, arrives: r.now.Add(reportDelay), uses: g.account.Report(r.now), waiting: g.waiting()})
		}
	}
	for len(r.mail) > 0 && !r.mail[0].arrives.After(r.now) {
		m := r.mail[0]
		r.mail = r.mail[1:]
		for i, g := range r.gateways {
			if i != m.from {
				g.account.Receive(vm.ID(fmt.Sprint(m.from)), m.uses, r.now)
				g.heard[m.from] = m
			}
		}
	}
}

// arrive adds the requests of one tick.
func (r *replay) arrive(passed time.Duration) {
	for team := range Team(1 + smallTeams) {
		rate, at := 10.0, r.rnd.IntN(len(r.gateways))
		if team == largeTeam {
			rate = 400
			if r.largeAt >= 0 {
				at = r.largeAt
			}
		}
		gone := r.goneAt > 0 && passed >= r.goneAt
		if gone && at == 0 {
			at = 1 + r.rnd.IntN(len(r.gateways)-1) // callers move to other gateways
		}
		if r.rnd.Float64() < rate*replayTick.Seconds() {
			g := r.gateways[at]
			g.queue = append(g.queue, replayRequest{team: team, at: r.now})
			g.account.AddDemand(team, replayService, r.now)
			r.sent[team]++
		}
	}
}

func (g *replayGateway) level(t Team) int {
	if g.standings[t].Over {
		return 1
	}
	return 0
}

func (g *replayGateway) waiting() (counts [2]int) {
	for _, q := range g.queue {
		counts[g.level(q.team)]++
	}
	return counts
}

// refresh updates the standings of a gateway if they are due.
func (r *replay) refresh(g *replayGateway) {
	if r.now.Sub(g.refreshed) < replayRefresh {
		return
	}
	g.refreshed = r.now
	anywhere := len(g.queue) > 0
	for _, m := range g.heard {
		anywhere = anywhere || m.waiting != [2]int{} && r.now.Sub(m.arrives) < waitingLifetime
	}
	g.standings = nil
	if r.fair {
		g.standings = g.account.Standings(replaySlots, anywhere, r.now)
	}
}

// serve ends requests, drops late ones and assigns the free slots.
func (r *replay) serve() {
	for len(r.ends) > 0 && !r.ends[0].After(r.now) {
		r.ends = r.ends[1:]
	}
	for _, i := range r.rnd.Perm(len(r.gateways)) {
		g := r.gateways[i]
		for len(g.queue) > 0 && r.now.Sub(g.queue[0].at) > replayPatience {
			g.queue = g.queue[1:]
		}
		r.refresh(g)
		for r.take(g) {
		}
	}
}

// take gives the head of a queue a slot if there is one for it.
func (r *replay) take(g *replayGateway) bool {
	head := -1
	for i, q := range g.queue {
		if head < 0 || g.level(q.team) < g.level(g.queue[head].team) {
			head = i
		}
	}
	if head < 0 {
		return false
	}
	q := g.queue[head]
	reserved := 0
	for _, m := range g.heard {
		if g.level(q.team) == 1 && r.now.Sub(m.arrives) < waitingLifetime {
			reserved += m.waiting[0]
		}
	}
	if replaySlots-len(r.ends) <= reserved {
		return false
	}
	g.queue = append(g.queue[:head], g.queue[head+1:]...)
	r.ends = append(r.ends, r.now.Add(replayService))
	g.account.AddUse(q.team, replayService, r.now)
	r.onTime[q.team]++
	return true
}

// smallest returns the least fraction of a small team's requests that are on time.
func (r *replay) smallest() float64 {
	least := 1.0
	for team := Team(1); team <= smallTeams; team++ {
		least = min(least, float64(r.onTime[team])/float64(r.sent[team]))
	}
	return least
}

// rate returns the requests of all teams that are on time, per second.
func (r *replay) rate() float64 {
	total := 0
	for _, n := range r.onTime {
		total += n
	}
	return float64(total) / r.length.Seconds()
}

// A large team must not take the slots that small teams need, whichever gateways its requests
// pass, and capacity must not be lost by that. Without shares, the replay has the fault.
func TestLargeTeamDoesNotDisplaceSmallOnes(t *testing.T) {
	cases := []struct {
		name    string
		fair    bool
		largeAt int
	}{
		{"fair, any gateway", true, -1},
		{"fair, one gateway", true, 3},
		{"without shares, any gateway", false, -1},
		{"without shares, one gateway", false, 3},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			r := &replay{fair: c.fair, largeAt: c.largeAt, length: 15 * time.Second}
			r.run()
			t.Logf("small teams at least %.3f on time, large %.3f, %.0f a second",
				r.smallest(), float64(r.onTime[largeTeam])/float64(r.sent[largeTeam]), r.rate())
			is.Equal(r.smallest() >= 0.93, c.fair)
			is.True(r.rate() >= 225)
		})
	}
}

// If the gateway of the large team falls silent, or is gone, the small teams must keep their
// share and no capacity must be lost.
func TestGatewayThatStopsReporting(t *testing.T) {
	cases := []struct {
		name   string
		goneAt time.Duration
	}{
		{"cut off from the others, still serving", 0},
		{"gone, its callers use other gateways", 5 * time.Second},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			r := &replay{fair: true, silentAt: 5 * time.Second, goneAt: c.goneAt, length: 15 * time.Second}
			r.run()
			t.Logf("small teams at least %.3f on time, %.0f a second", r.smallest(), r.rate())
			is.True(r.smallest() >= 0.93)
			is.True(r.rate() >= 225)
			for _, g := range r.gateways[1:] {
				_, known := g.account.reports["0"]
				is.True(!known)
			}
		})
	}
}
