package outage

import (
	"math/rand/v2"
	"time"

	"baywall.example/entry/admission"
)

// Load is a load pattern with one outage.
type Load struct {
	Gateways int
	Servers  int           // ranks of the group
	Slots    int           // requests that a rank runs at the same time
	Rate     float64       // requests a second
	Events   float64       // mean number of a stream's events
	Length   time.Duration // time during which new callers arrive
	Begin    time.Duration // start of the outage
	Outage   time.Duration // duration of the outage, in which the group makes no passes
	Objective,
	GapTarget time.Duration // latest first event and longest gap between events on time
	// Callers leave after WaitLimit without an event, or when their deadline has passed,
	// which is 0.85 to 1 times Limit after their first try.
	WaitLimit, Limit time.Duration
	Seed             uint64
}

// Crash returns the load of a crash of one of 63 ranks. The outage of the group lasts 2.2 s.
func Crash(seed uint64) Load {
	return Load{
		Gateways: 9, Servers: 63, Slots: 10, Rate: 224, Events: 23, Length: 20 * time.Second,
		Begin: 6 * time.Second, Outage: 2200 * time.Millisecond,
		Objective: 400 * time.Millisecond, GapTarget: 120 * time.Millisecond,
		WaitLimit: 2 * time.Second, Limit: 8 * time.Second, Seed: seed,
	}
}

const (
	tick = 5 * time.Millisecond
	// poll is the interval at which waiting requests try to get a slot.
	poll = 15 * time.Millisecond
	// passBase is the length of a pass without streams, passPerStream what each stream of
	// the mean batch adds to it. unevenFactor is the factor by which passes are longer on the
	// initial map, unevenTime how long that map is in use. The values come from runs of 63 ranks.
	passBase      = 41 * time.Millisecond
	passPerStream = 4100 * time.Microsecond
	unevenFactor  = 1.7
	unevenTime    = 600 * time.Millisecond
	// detectionDelay is how long after the start of an outage gateways know of it;
	// abortDelay is how long after it engines abort the requests that they run.
	detectionDelay = 500 * time.Millisecond
	abortDelay     = 1500 * time.Millisecond
	// prefillPasses is how many passes a prompt takes before the first event.
	prefillPasses = 2
	// maxEventsFactor limits the events of a stream, as a multiple of their mean number.
	maxEventsFactor = 2.5
	// lateWorth is the value of a response that begins late or has too long a gap between
	// events; a response on time counts 1.
	lateWorth = 0.25
)

// caller is one caller with its request.
type caller struct {
	firstTry      time.Duration // time of the first try
	arrived       time.Duration // time of the current try
	limit         time.Duration // deadline, at which it leaves
	lastEvent     time.Duration // time of the last event or, before any, of arrival
	left          int           // events still to be sent
	late          bool
	interrupted   bool // it has received a part of the response
	triesLeft     int
	prefill       int
	gateway       *gateway
	queued        bool // counted among the late requests that wait
	usesLateQuota bool // its slot counts against the quota of late requests
}

// gateway is the state of one gateway.
type gateway struct {
	outage            admission.Outage
	pacer             admission.Pacer
	waiting           []*caller
	late              int // late requests that run
	queued            int // late requests that wait
	arrivals          []time.Duration
	interruptedQueued int // interrupted requests that queued counts
}

// simulation is the state of one run.
type simulation struct {
	load     Load
	policy   Policy
	rnd      *rand.Rand
	now      time.Duration
	gateways []*gateway
	running  []*caller
	retrying []*caller // callers that retry at their arrival time
	nextPass time.Duration
	result   Result
}

// Run simulates a load under a policy.
func Run(l Load, p Policy) Result {
	s := &simulation{load: l, policy: p, rnd: rand.New(rand.NewPCG(l.Seed, 0))}
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
		s.resumeRetries()
		s.leave()
		s.pass()
		if s.now%poll == 0 {
			s.admit()
		}
	}
	return s.result
}

func (s *simulation) newCaller(at time.Duration) *caller {
	limit := time.Duration((0.85 + 0.15*s.rnd.Float64()) * float64(s.load.Limit))
	events := 1 + int(min(s.rnd.ExpFloat64(), maxEventsFactor)*(s.load.Events-1))
	return &caller{firstTry: at, limit: at + limit, left: events, triesLeft: 1}
}

// down reports whether the outage is in progress.
func (s *simulation) down() bool {
	return s.now >= s.load.Begin && s.now < s.load.Begin+s.load.Outage
}

// outageKnown reports whether gateways know of an outage in progress.
func (s *simulation) outageKnown() bool { return s.down() && s.now >= s.load.Begin+detectionDelay }

func (s *simulation) timeAt(d time.Duration) time.Time { return time.Unix(1_700_000_000, 0).Add(d) }

func (s *simulation) arrive(c *caller) {
	c.arrived, c.lastEvent = s.now, s.now
	c.gateway = s.gateways[s.rnd.IntN(len(s.gateways))]
	if !c.interrupted {
		c.gateway.arrivals = append(c.gateway.arrivals, s.now)
	}
	c.gateway.waiting = append(c.gateway.waiting, c)
}

// resumeRetries lets callers whose retry is due arrive again.
func (s *simulation) resumeRetries() {
	kept := s.retrying[:0]
	for _, c := range s.retrying {
		if c.arrived <= s.now {
			s.arrive(c)
		} else {
			kept = append(kept, c)
		}
	}
	s.retrying = kept
}

// leave removes callers that have waited too long for an event or whose deadline has
// passed.
func (s *simulation) leave() {
	gone := func(c *caller) bool {
		return s.now-c.lastEvent >= s.load.WaitLimit || s.now >= c.limit
	}
	for _, g := range s.gateways {
		g.waiting = s.without(g.waiting, gone)
	}
	s.running = s.without(s.running, gone)
}

// without returns the list without the callers for which out holds. These free their slots
// and retry if they can.
func (s *simulation) without(list []*caller, out func(*caller) bool) []*caller {
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

// retry schedules another try of a caller, or counts the caller as lost if it has no tries
// left or its deadline will have passed.
func (s *simulation) retry(c *caller, at time.Duration) {
	if c.triesLeft == 0 || at >= c.limit {
		s.result.lost(c)
		return
	}
	c.triesLeft--
	c.arrived = max(at, s.now+tick)
	s.retrying = append(s.retrying, c)
}

// free releases the slot and queue position that a caller occupies at its gateway.
func (s *simulation) free(c *caller) {
	if c.usesLateQuota {
		c.gateway.late--
		c.usesLateQuota = false
	}
	s.dequeue(c)
}

func (s *simulation) dequeue(c *caller) {
	if c.queued {
		c.queued = false
		c.gateway.queued--
		if c.interrupted {
			c.gateway.interruptedQueued--
		}
	}
}

// pass runs a pass of the group if one is due.
func (s *simulation) pass() {
	if s.down() {
		s.nextPass = s.load.Begin + s.load.Outage
		if s.now == s.load.Begin+abortDelay {
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

func (s *simulation) passLength() time.Duration {
	batch := float64(len(s.running)) / float64(s.load.Servers)
	length := float64(passBase) + batch*float64(passPerStream)
	if since := s.now - s.load.Begin - s.load.Outage; since >= 0 && since < unevenTime {
		length *= unevenFactor
	}
	return time.Duration(length)
}

// event delivers the next event to a caller and reports whether it was the last one.
func (s *simulation) event(c *caller) bool {
	first := !c.interrupted
	c.late = c.late || first && s.now-c.firstTry > s.load.Objective || !first && s.now-c.lastEvent > s.load.GapTarget
	c.interrupted = true // from here on
	c.lastEvent = s.now
	c.gateway.outage.Served(s.timeAt(s.now))
	if c.left--; c.left > 0 {
		return false
	}
	s.free(c)
	s.result.served(c)
	return true
}

// cut aborts the requests that the engines run. Their gateways queue them again, to run
// them elsewhere or to refuse them as not run.
func (s *simulation) cut() {
	for _, c := range s.running {
		s.free(c)
		c.gateway.waiting = append(c.gateway.waiting, c)
	}
	s.running = s.running[:0]
}

// admit tries to give a slot to each waiting request.
func (s *simulation) admit() {
	for _, g := range s.gateways {
		if s.outageKnown() {
			g.outage.Observe(s.timeAt(s.now))
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

// place gives a request a slot, refuses it or lets it keep waiting. It reports whether the
// request has stopped waiting.
func (s *simulation) place(c *caller) bool {
	v := s.view(c)
	if !s.outageKnown() && len(s.running) < s.load.Servers*s.load.Slots && s.policy.Takes(v) {
		s.dequeue(c)
		c.usesLateQuota = v.Request.Urgency() != admission.OnTime
		if c.usesLateQuota {
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
				c.gateway.interruptedQueued++
			}
		}
		return false
	}
	s.dequeue(c)
	s.retry(c, s.now+s.policy.Pause(v, &c.gateway.pacer, s.rnd.Float64(), s.timeAt(s.now)))
	return true
}

// view returns what a caller's gateway knows about its request and the service.
func (s *simulation) view(c *caller) View {
	g := c.gateway
	for len(g.arrivals) > 0 && g.arrivals[0] < s.now-time.Second {
		g.arrivals = g.arrivals[1:]
	}
	stay := time.Duration(s.load.Events) * s.passLength()
	quota := admission.LateQuota(admission.Capacity{
		Slots: s.load.Servers * s.load.Slots, Members: s.load.Gateways, OnTimeRate: float64(len(g.arrivals)), ServiceTime: stay,
	})
	limit := min(c.limit, c.lastEvent+s.load.WaitLimit) - c.arrived
	return View{
		Request: admission.Request{
			Age: s.now - c.arrived, Objective: s.load.Objective, Limit: limit, FirstAnswer: 150 * time.Millisecond,
			Interrupted: c.interrupted,
		},
		Situation:         admission.Situation{RecoversIn: g.outage.RecoversIn(s.timeAt(s.now)), Waiting: g.queued, Quota: quota, Taken: g.late, ServiceTime: stay},
		TimeLeft:          c.limit - s.now,
		InterruptedQueued: g.interruptedQueued,
	}
}
