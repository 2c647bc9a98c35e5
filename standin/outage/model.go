package outage

import (
	"math/rand/v2"
	"time"

	"baywall.example/entry/admission"
)

// Load is a load pattern with one outage.
type Load struct {
	Gateways int
	Servers  int // ranks of the group
	Slots    int // requests that a rank runs at a time
	Rate     float64
	Events   float64       // mean number of a stream's events
	Length   time.Duration // of the play
	Begin    time.Duration // of the outage
	Stand    time.Duration // for which the group makes no passes
	Objective,
	GapTarget time.Duration
	// Callers leave after Patience without an event, or when their time limit is over,
	// which is between 0.85 and 1 of Limit.
	Patience, Limit time.Duration
	Seed            uint64
}

// Crash is a crash of one rank among 63: the group stands for 2.2 s.
func Crash(seed uint64) Load {
	return Load{
		Gateways: 9, Servers: 63, Slots: 10, Rate: 224, Events: 23, Length: 20 * time.Second,
		Begin: 6 * time.Second, Stand: 2200 * time.Millisecond,
		Objective: 400 * time.Millisecond, GapTarget: 120 * time.Millisecond,
		Patience: 2 * time.Second, Limit: 8 * time.Second, Seed: seed,
	}
}

const (
	tick = 5 * time.Millisecond
	// poll is how often a waiting request looks for a place.
	poll = 15 * time.Millisecond
	// passBase and passPerStream are the length of a pass and what each stream of the
	// mean batch adds to it; unevenFactor is how much longer passes are on the initial map,
	// unevenTime for how long it is in use. By runs of 63 ranks.
	passBase      = 41 * time.Millisecond
	passPerStream = 4100 * time.Microsecond
	unevenFactor  = 1.7
	unevenTime    = 600 * time.Millisecond
	// noticed is how long after its begin gateways know of a stand; cutAfter when engines
	// break off what they run.
	noticed  = 500 * time.Millisecond
	cutAfter = 1500 * time.Millisecond
	// prefillPasses is how many passes a prompt takes before the first event.
	prefillPasses = 2
	// longestPart bounds the events of a stream, in parts of their mean.
	longestPart = 2.5
	// lateWorth is what an answer that begins late, or pauses for too long, is worth.
	lateWorth = 0.25
)

// caller is one caller with its request.
type caller struct {
	came        time.Duration // first try
	arrived     time.Duration // this try
	limit       time.Duration // it leaves then
	heard       time.Duration // of its request, or its arrival
	left        int           // events to come
	late        bool
	interrupted bool // it has seen a part of its answer
	triesLeft   int
	prefill     int
	gateway     *gateway
	queued      bool // counted among the late ones that wait
	takesLate   bool // its place is one for late requests
}

// gateway is what one gateway knows.
type gateway struct {
	stand    admission.Outage
	pacer    admission.Pacer
	waiting  []*caller
	late     int // late requests at servers
	queued   int // late requests that wait
	arrivals []time.Duration
	ahead    int // interrupted requests among the queued
}

// play is one run of the model.
type play struct {
	load     Load
	policy   Policy
	rnd      *rand.Rand
	now      time.Duration
	gateways []*gateway
	running  []*caller
	back     []*caller // callers that come back at their arrival time
	nextPass time.Duration
	result   Result
}

// Run plays a load under a policy.
func Run(l Load, p Policy) Result {
	s := &play{load: l, policy: p, rnd: rand.New(rand.NewPCG(l.Seed, 0))}
	s.result.Seconds = make([]Second, int(l.Length/time.Second))
	for range l.Gateways {
		s.gateways = append(s.gateways, &gateway{})
	}
	next := time.Duration(0)
	for ; s.now < l.Length+l.Limit; s.now += tick {
		for next <= s.now && next < l.Length {
			s.arrive(s.newCaller(next))
			next += time.Duration(s.rnd.ExpFloat64() / l.Rate * float64(time.Second))
		}
		s.comeBack()
		s.leave()
		s.pass()
		if s.now%poll == 0 {
			s.admit()
		}
	}
	return s.result
}

func (s *play) newCaller(at time.Duration) *caller {
	limit := time.Duration((0.85 + 0.15*s.rnd.Float64()) * float64(s.load.Limit))
	events := 1 + int(min(s.rnd.ExpFloat64(), longestPart)*(s.load.Events-1))
	return &caller{came: at, limit: at + limit, left: events, triesLeft: 1}
}

// stands reports whether the group makes no passes.
func (s *play) stands() bool {
	return s.now >= s.load.Begin && s.now < s.load.Begin+s.load.Stand
}

// known reports whether gateways know that it does.
func (s *play) known() bool { return s.stands() && s.now >= s.load.Begin+noticed }

func (s *play) at(d time.Duration) time.Time { return time.Unix(1_700_000_000, 0).Add(d) }

func (s *play) arrive(c *caller) {
	c.arrived, c.heard = s.now, s.now
	c.gateway = s.gateways[s.rnd.IntN(len(s.gateways))]
	if !c.interrupted {
		c.gateway.arrivals = append(c.gateway.arrivals, s.now)
	}
	c.gateway.waiting = append(c.gateway.waiting, c)
}

func (s *play) comeBack() {
	kept := s.back[:0]
	for _, c := range s.back {
		if c.arrived <= s.now {
			s.arrive(c)
		} else {
			kept = append(kept, c)
		}
	}
	s.back = kept
}

// leave lets callers go that have heard nothing for too long.
func (s *play) leave() {
	gone := func(c *caller) bool {
		return s.now-c.heard >= s.load.Patience || s.now >= c.limit
	}
	for _, g := range s.gateways {
		g.waiting = s.without(g.waiting, gone)
	}
	s.running = s.without(s.running, gone)
}

// without takes the callers out that a condition holds for; they try again if they can.
func (s *play) without(list []*caller, out func(*caller) bool) []*caller {
	kept := list[:0]
	for _, c := range list {
		if !out(c) {
			kept = append(kept, c)
			continue
		}
		s.free(c)
		s.retry(c, s.now)
	}
	return kept
}

// retry lets a caller try again at a time, or counts it as lost.
func (s *play) retry(c *caller, at time.Duration) {
	if c.triesLeft == 0 || at >= c.limit {
		s.result.lost(c)
		return
	}
	c.triesLeft--
	c.arrived = max(at, s.now+tick)
	s.back = append(s.back, c)
}

// free gives back what a caller takes at its gateway.
func (s *play) free(c *caller) {
	if c.takesLate {
		c.gateway.late--
		c.takesLate = false
	}
	s.dequeue(c)
}

func (s *play) dequeue(c *caller) {
	if c.queued {
		c.queued = false
		c.gateway.queued--
		if c.interrupted {
			c.gateway.ahead--
		}
	}
}

// pass makes a pass of the group once it is due.
func (s *play) pass() {
	if s.stands() {
		s.nextPass = s.load.Begin + s.load.Stand
		if s.now == s.load.Begin+cutAfter {
			s.cut()
		}
		return
	}
	if s.now < s.nextPass {
		return
	}
	kept := s.running[:0]
	for _, c := range s.running {
		if c.prefill > 0 {
			c.prefill--
		}
		if c.prefill == 0 && s.event(c) {
			continue
		}
		kept = append(kept, c)
	}
	s.running = kept
	s.nextPass = s.now + s.passLength()
}

func (s *play) passLength() time.Duration {
	batch := float64(len(s.running)) / float64(s.load.Servers)
	length := float64(passBase) + batch*float64(passPerStream)
	if since := s.now - s.load.Begin - s.load.Stand; since >= 0 && since < unevenTime {
		length *= unevenFactor
	}
	return time.Duration(length)
}

// event hands a caller its next event and reports whether that was the last one.
func (s *play) event(c *caller) bool {
	first := !c.interrupted
	c.late = c.late || first && s.now-c.came > s.load.Objective || !first && s.now-c.heard > s.load.GapTarget
	c.interrupted = true // from here on
	c.heard = s.now
	c.gateway.stand.Served(s.at(s.now))
	if c.left--; c.left > 0 {
		return false
	}
	s.free(c)
	s.result.served(c)
	return true
}

// cut breaks off what the engines run; the gateways go on with it elsewhere, or say that
// it did not run.
func (s *play) cut() {
	for _, c := range s.running {
		s.free(c)
		c.gateway.waiting = append(c.gateway.waiting, c)
	}
	s.running = s.running[:0]
}

// admit lets each gateway's waiting requests look for a place.
func (s *play) admit() {
	for _, g := range s.gateways {
		if s.known() {
			g.stand.Observe(s.at(s.now))
		}
		waiting := g.waiting
		g.waiting = nil
		for _, c := range waiting {
			if !s.place(c) {
				g.waiting = append(g.waiting, c)
			}
		}
	}
}

// place gives a request a place, refuses it, or lets it wait on, and reports whether it
// waits no more.
func (s *play) place(c *caller) bool {
	v := s.view(c)
	if !s.known() && len(s.running) < s.load.Servers*s.load.Slots && s.policy.Takes(v) {
		s.dequeue(c)
		c.takesLate = v.Request.Urgency() != admission.OnTime
		if c.takesLate {
			c.gateway.late++
		}
		c.prefill = prefillPasses
		s.running = append(s.running, c)
		return true
	}
	if c.queued || s.policy.Waits(v) {
		if !c.queued && v.Request.Urgency() == admission.Late {
			c.queued = true
			c.gateway.queued++
			if c.interrupted {
				c.gateway.ahead++
			}
		}
		return false
	}
	s.dequeue(c)
	s.retry(c, s.now+s.policy.Pause(v, &c.gateway.pacer, s.rnd.Float64(), s.at(s.now)))
	return true
}

// view returns what a gateway knows of a request and its service.
func (s *play) view(c *caller) View {
	g := c.gateway
	for len(g.arrivals) > 0 && g.arrivals[0] < s.now-time.Second {
		g.arrivals = g.arrivals[1:]
	}
	stay := time.Duration(s.load.Events) * s.passLength()
	room := admission.LateQuota(admission.Places{
		Slots: s.load.Servers * s.load.Slots, Members: s.load.Gateways, OnTimeRate: float64(len(g.arrivals)), Stay: stay,
	})
	limit := min(c.limit, c.heard+s.load.Patience) - c.arrived
	return View{
		Request: admission.Request{
			Age: s.now - c.arrived, Objective: s.load.Objective, Limit: limit, FirstAnswer: 150 * time.Millisecond,
			Interrupted: c.interrupted,
		},
		Situation: admission.Situation{RecoversIn: g.stand.RecoversIn(s.at(s.now)), Waiting: g.queued, Quota: room, Taken: g.late, Stay: stay},
		Left:      c.limit - s.now,
		Ahead:     g.ahead,
	}
}
