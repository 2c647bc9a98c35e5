package balance

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"baywall.example/core/cluster"
)

// The tests replay a load in simulated time: gateways with their own registries share three
// servers. Each learns the speeds on its own and sees the requests of the others late.

const (
	simStep      = time.Millisecond
	simObjective = 400 * time.Millisecond
	simPoll      = 15 * time.Millisecond // between two picks of a waiting request
	simGiveUp    = 1500 * time.Millisecond
	simDelay     = 100 // steps after which a gateway sees the requests of others
	simSlots     = 8
	simQueue     = 4                // requests that a server accepts beyond its slots
	simRate      = 140.0            // requests a second of the fleet
	simLearning  = 10 * time.Second // within which the gateways learn a changed speed
	usualTime    = 100 * time.Millisecond
	slowTime     = 400 * time.Millisecond
)

type simRequest struct {
	gateway          *simGateway
	arrived, look    time.Time
	sent, ends       time.Time
	choice           Choice
	rejected, onTime bool
}

type simServer struct {
	time    time.Duration
	running []*simRequest
	queue   []*simRequest
}

type simGateway struct {
	slowRanks // no slow ranks
	fleet     *simFleet
	registry  *Registry
	waiting   []*simRequest
	first     float64                  // smoothed time to an answer, in seconds
	history   [simDelay]map[string]int // own requests in flight by server
}

func (g *simGateway) Members() int             { return len(g.fleet.gateways) }
func (g *simGateway) Staleness() time.Duration { return simDelay * simStep }

func (g *simGateway) Load(keys []uint32, out []cluster.Load) {
	for i, key := range keys {
		for _, other := range g.fleet.gateways {
			if other != g {
				out[i].Requests += other.history[g.fleet.steps%simDelay][g.fleet.ids[key]]
			}
		}
	}
}

type simFleet struct {
	rnd      *rand.Rand
	speed    bool
	now      time.Time
	steps    int
	gateways []*simGateway
	servers  map[string]*simServer
	ids      map[uint32]string
}

func newSimFleet(gateways int, speed bool) *simFleet {
	f := &simFleet{rnd: rand.New(rand.NewPCG(1, 2)), speed: speed, now: start, servers: make(map[string]*simServer), ids: make(map[uint32]string)}
	for _, id := range []string{"a", "b", "c"} {
		f.servers[id] = &simServer{time: usualTime}
	}
	f.servers["a"].time = slowTime
	f.start(gateways)
	return f
}

// start replaces all gateways by ones that have just started.
func (f *simFleet) start(gateways int) {
	f.gateways = nil
	for range gateways {
		g := &simGateway{fleet: f, first: usualTime.Seconds()}
		g.registry = NewRegistry(g, "", zerolog.Nop())
		list := infos("a", "b", "c")
		for i := range list {
			list[i].Slots = simSlots
		}
		g.registry.Update(list, at(1), 0, f.now)
		for _, server := range g.registry.shard("s").servers {
			f.ids[server.Key] = server.ID
		}
		f.gateways = append(f.gateways, g)
	}
}

// run replays a load and returns the fraction of its requests that were on time.
func (f *simFleet) run(perSecond float64, length time.Duration) float64 {
	var all []*simRequest
	for end := f.now.Add(length); f.now.Before(end); f.now = f.now.Add(simStep) {
		f.steps++
		for due := f.rnd.ExpFloat64(); due < perSecond*simStep.Seconds(); due += f.rnd.ExpFloat64() {
			g := f.gateways[f.rnd.IntN(len(f.gateways))]
			r := &simRequest{gateway: g, arrived: f.now, look: f.now}
			g.waiting = append(g.waiting, r)
			all = append(all, r)
		}
		for _, id := range []string{"a", "b", "c"} {
			f.serve(f.servers[id])
		}
		for _, g := range f.gateways {
			g.sendWaiting()
		}
	}
	counted, onTime := 0, 0
	for _, r := range all {
		if f.now.Sub(r.arrived) < simGiveUp {
			continue // its answer may follow after the end
		}
		counted++
		if r.onTime {
			onTime++
		}
	}
	return float64(onTime) / float64(counted)
}

// serve ends the requests of a server that are answered, and starts queued ones.
func (f *simFleet) serve(s *simServer) {
	running := s.running[:0]
	for _, r := range s.running {
		if f.now.Before(r.ends) {
			running = append(running, r)
			continue
		}
		r.answered(f.now)
	}
	s.running = running
	for len(s.running) < simSlots && len(s.queue) > 0 {
		f.begin(s, s.queue[0])
		s.queue = s.queue[1:]
	}
}

func (f *simFleet) begin(s *simServer, r *simRequest) {
	r.ends = f.now.Add(time.Duration((0.9 + 0.2*f.rnd.Float64()) * float64(s.time)))
	s.running = append(s.running, r)
}

func (r *simRequest) answered(now time.Time) {
	r.choice.Release()
	r.onTime = now.Sub(r.arrived) <= simObjective
	registry, took := r.gateway.registry, now.Sub(r.sent)
	registry.Accepted(r.choice.Server, now)
	registry.Succeeded(r.choice.Server)
	registry.RecordSpeed(r.choice, "route", took, now)
	if r.choice.InFlight < simSlots {
		registry.RecordServiceTime("s", took)
		r.gateway.first += 0.1 * (took.Seconds() - r.gateway.first)
	}
}

// sendWaiting sends the requests that find a server, and records the requests in flight.
func (g *simGateway) sendWaiting() {
	now := g.fleet.now
	for _, server := range g.registry.DueProbes(now) {
		g.registry.Probed(server, true)
	}
	var left []*simRequest
	for _, r := range g.waiting {
		if now.Sub(r.arrived) > simGiveUp-usualTime {
			continue
		}
		if now.Before(r.look) || !g.send(r, now) {
			left = append(left, r)
		}
	}
	g.waiting = left
	inFlight := make(map[string]int)
	for id, server := range g.registry.shard("s").servers {
		inFlight[id] = server.InFlight()
	}
	g.history[g.fleet.steps%simDelay] = inFlight
}

func (g *simGateway) send(r *simRequest, now time.Time) bool {
	slack := simObjective - min(seconds(g.first), simObjective/2) - now.Sub(r.arrived)
	d := Demand{Service: "s", MaxWait: max(simStep, slack), Slack: max(0, slack), Late: slack <= 0, ExcludeRejecting: r.rejected, AssumedServiceTime: simObjective, ServerSpeed: g.fleet.speed, Route: "route"}
	choice, found := g.registry.Pick(d, now)
	if found != Available {
		r.look = now.Add(simPoll)
		return false
	}
	s := g.fleet.servers[choice.Server.ID]
	r.choice, r.sent = choice, now
	switch {
	case len(s.running) < simSlots:
		g.fleet.begin(s, r)
	case len(s.queue) < simQueue:
		s.queue = append(s.queue, r)
	default:
		choice.Release()
		g.registry.Rejected(choice.Server, now)
		r.rejected = true
		return false
	}
	return true
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// A slow server must not make requests late that the others can serve on time.
func TestSlowServerMakesFewRequestsLate(t *testing.T) {
	with, without := newSimFleet(7, true), newSimFleet(7, false)
	length := 30 * time.Second
	onTime, before := with.run(simRate, length), without.run(simRate, length)
	t.Logf("on time: %.3f with learned speeds, %.3f without", onTime, before)
	if onTime < 0.95 || before > 0.92 {
		t.Fail()
	}
}

// The slow server recovers at the moment at which another one becomes slow. Later all
// gateways start again, so that none of them knows the slow server.
func TestGatewaysLearnChangedSpeeds(t *testing.T) {
	f := newSimFleet(7, true)
	f.run(simRate, 10*time.Second)
	f.servers["a"].time, f.servers["b"].time = usualTime, slowTime
	f.run(simRate, simLearning)
	changed := f.run(simRate, 10*time.Second)
	f.start(7)
	restarted := f.run(simRate, 10*time.Second)
	f.servers["b"].time = usualTime
	f.run(simRate, simLearning)
	recovered := f.run(simRate, 10*time.Second)
	t.Logf("on time: %.3f after the change, %.3f from the start, %.3f after the recovery", changed, restarted, recovered)
	if changed < 0.95 || restarted < 0.95 || recovered < 0.99 {
		t.Fail()
	}
}
