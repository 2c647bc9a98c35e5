package slotqueue

import (
	"math/rand/v2"
	"testing"
	"time"
)

// The replay runs several gateways with one queue each in simulated time. The gateways
// learn of each other's requests only from heartbeats.

const (
	replayStep      = 5 * ms
	replayHeartbeat = 60 * ms
	replayLength    = 7 * time.Second
	replaySlots     = 24
	replayService   = 100 * ms
	replayObjective = 400 * ms
	replayWait      = replayObjective - replayService // longest wait of a request that is on time
)

type replayGateway struct {
	queue    Queue
	reports  Reports
	inFlight int
	reported [replayGateways]int // requests in flight at the others
}

const replayGateways = 7

// replay is a fleet of gateways in front of servers that run requests first come first
// served.
type replay struct {
	now      time.Time
	gateways [replayGateways]replayGateway
	servers  []replayRun // in order of arrival
	rnd      *rand.Rand
	onTime   map[Level]int
	arrived  map[Level]int
}

type replayRun struct {
	gateway int
	e       *Entry
	ends    time.Time // zero = waits for a slot
}

// run replays a load, in requests per second by level, and returns the fraction on time by
// level and the number on time per second.
func runReplay(load map[Level]float64) (share map[Level]float64, perSecond float64) {
	r := &replay{now: start, rnd: rand.New(rand.NewPCG(1, 2)), onTime: make(map[Level]int), arrived: make(map[Level]int)}
	for ; r.now.Sub(start) < replayLength+replayObjective; r.now = r.now.Add(replayStep) {
		r.serve()
		for i := range r.gateways {
			if (r.now.Sub(start)+time.Duration(i)*replayStep)%replayHeartbeat == 0 {
				r.heartbeat(i)
			}
		}
		for l := range Level(levels) {
			if r.now.Sub(start) >= replayLength {
				break // the requests that wait or run come to an end
			}
			for mean := load[l] * replayStep.Seconds(); r.rnd.Float64() < mean; mean-- {
				r.arrived[l]++
				r.arrive(r.rnd.IntN(replayGateways), l)
			}
		}
		for _, i := range r.rnd.Perm(replayGateways) {
			r.assign(i)
		}
	}
	share = make(map[Level]float64)
	total := 0
	for l, n := range r.onTime {
		share[l] = float64(n) / float64(r.arrived[l])
		total += n
	}
	return share, float64(total) / (replayLength + replayObjective).Seconds()
}

// serve ends requests and starts those that wait at the servers.
func (r *replay) serve() {
	kept := r.servers[:0]
	for _, run := range r.servers {
		if run.ends.IsZero() || run.ends.After(r.now) {
			kept = append(kept, run)
			continue
		}
		g := &r.gateways[run.gateway]
		g.inFlight--
		others := g.reports.Waiting(0, r.now)
		g.queue.Released(&others, r.now)
		if !run.ends.After(run.e.Until.Add(replayService)) {
			r.onTime[run.e.Level]++
		}
	}
	r.servers = kept
	for i := range min(replaySlots, len(r.servers)) {
		if r.servers[i].ends.IsZero() {
			r.servers[i].ends = r.now.Add(replayService)
		}
	}
}

func (r *replay) heartbeat(from int) {
	var reports []Report
	for l, n := range r.gateways[from].queue.Counts() {
		reports = append(reports, Report{0, Level(l), n})
	}
	for i := range r.gateways {
		r.gateways[i].reports.Receive(string(rune('a'+from)), reports, 0, r.now)
		r.gateways[i].reported[from] = r.gateways[from].inFlight
	}
}

func (r *replay) capacity(i int) Capacity {
	g := &r.gateways[i]
	c := Capacity{Slots: replaySlots, InFlight: g.inFlight, ServiceTime: replayService}
	for j, n := range g.reported {
		if j != i {
			c.InFlight += n
		}
	}
	return c
}

func (r *replay) arrive(i int, l Level) {
	g := &r.gateways[i]
	others := g.reports.Waiting(0, r.now)
	g.queue.Join(entry(l, r.now.Sub(start)+replayWait), &others, r.capacity(i), r.now)
}

// assign sends the requests of a gateway that may take a slot.
func (r *replay) assign(i int) {
	g := &r.gateways[i]
	others := g.reports.Waiting(0, r.now)
	g.queue.Advance(&others, replayService, r.now)
	for g.queue.Len() > 0 {
		e := g.queue.Eligible(&others)[0]
		c := r.capacity(i)
		switch turn := g.queue.Turn(e, &others); {
		case e.Until.Before(r.now):
			g.queue.Leave(e)
		case c.InFlight+turn.Reserved < c.Slots:
			g.queue.Took(e, &others)
			g.queue.Leave(e)
			g.inFlight++
			r.servers = append(r.servers, replayRun{gateway: i, e: e})
		default:
			return
		}
	}
}

// Guards against urgent requests that lose their slots to a surge of less urgent ones, and
// against slots that stay idle.
func TestReplay(t *testing.T) {
	cases := []struct {
		name      string
		load      map[Level]float64
		urgent    float64 // least fraction of level 0 on time
		perSecond float64 // least number on time per second
	}{
		{"surge of priority 2", map[Level]float64{0: 120, 4: 360}, 0.95, 200},
		{"much of priority 0", map[Level]float64{0: 190, 4: 120}, 0.95, 200},
		{"one level", map[Level]float64{0: 480}, 0, 200},
		{"enough slots", map[Level]float64{0: 100, 4: 60}, 0.99, 145},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			share, perSecond := runReplay(c.load)
			t.Logf("on time: %v by level, %.0f per second", share, perSecond)
			if share[0] < c.urgent || perSecond < c.perSecond {
				t.Errorf("want %.2f of level 0 and %.0f per second", c.urgent, c.perSecond)
			}
		})
	}
}
