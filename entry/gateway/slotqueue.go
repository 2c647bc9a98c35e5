package gateway

import (
	"context"
	"sync"
	"time"

	"baywall.example/core/clock"
	"baywall.example/core/rendezvous"
	"baywall.example/core/vm"
	"baywall.example/core/wire"
	"baywall.example/entry/admission"
	"baywall.example/entry/balance"
	"baywall.example/entry/fairshare"
	"baywall.example/entry/quarantine"
	"baywall.example/entry/retried"
	"baywall.example/entry/slotqueue"
)

// With the setting scheduling.queue, requests that can be on time wait for slots in order.
// Package slotqueue decides which one may look for a slot, and which are refused. This file
// supplies it with the observed state and carries out its decisions.

const (
	// maxTurnWait is the longest time for which a queued request sleeps before it checks
	// whether the configuration has changed.
	maxTurnWait = 100 * time.Millisecond
	// minWakeInterval is the least time between two looks that heartbeats cause: a large
	// fleet receives hundreds a second.
	minWakeInterval = 5 * time.Millisecond
)

// slotQueues holds what waits at other gateways. It is safe for concurrent use.
type slotQueues struct {
	g       *Gateway
	refused retried.Table
	mu      sync.Mutex
	reports slotqueue.Reports
}

// slotQueue is the queue of one service. It is safe for concurrent use.
type slotQueue struct {
	all     *slotQueues
	service string
	key     uint32 // hash of the service's name

	mu          sync.Mutex
	queue       slotqueue.Queue
	wakes       map[*slotqueue.Entry]chan struct{}
	yields      slotqueue.Yields
	serviceTime time.Duration // as of the latest join
	woken       time.Time     // when a heartbeat last woke requests
}

// slotWait is a request's place in a queue.
type slotWait struct {
	slots *slotQueue
	entry *slotqueue.Entry
	wake  chan struct{}
}

// newQueue returns the queue of a service, nil if requests do not queue.
func (s *slotQueues) newQueue(service string) *slotQueue {
	if s == nil {
		return nil
	}
	return &slotQueue{
		all: s, service: service, key: serviceKey(service), wakes: make(map[*slotqueue.Entry]chan struct{}),
	}
}

// each calls the function with the queue of each service.
func (s *slotQueues) each(f func(*slotQueue)) {
	s.g.serviceStates.Range(func(_, state any) bool {
		f(state.(*serviceState).slots)
		return true
	})
}

// report returns the demand for slots to send in a heartbeat: the requests that wait here,
// the claims of teams and the latest refusals. The interval is the maximum time between two
// reports.
func (s *slotQueues) report(interval time.Duration, now time.Time) *wire.Demand {
	out := &wire.Demand{Refused: s.refused.Report(interval, now), TeamUse: s.g.teamUse(now)}
	s.each(func(slots *slotQueue) {
		for level, n := range slots.counts() {
			if n > 0 {
				out.Waiting = append(out.Waiting, &wire.Waiting{Service: slots.key, Level: uint32(level), Requests: uint32(n)})
			}
		}
	})
	return out
}

// receive takes in what waits at another gateway. Its heartbeat may also have told of free
// slots.
func (s *slotQueues) receive(from vm.ID, demand *wire.Demand) {
	reports := make([]slotqueue.Report, 0, len(demand.GetWaiting()))
	for _, w := range demand.GetWaiting() {
		reports = append(reports, slotqueue.Report{Service: w.GetService(), Level: slotqueue.Level(w.GetLevel()), Requests: int(w.GetRequests())})
	}
	now := clock.Now()
	if demand == nil { // the heartbeat states no demand
		s.each(func(slots *slotQueue) { slots.heartbeatReceived(now) })
		return
	}
	interval := s.g.node.Staleness()
	s.refused.Receive(demand.GetRefused(), now)
	s.g.receiveTeamUse(from, demand.GetTeamUse())
	s.mu.Lock()
	s.reports.Receive(string(from), reports, interval, now)
	s.mu.Unlock()
	s.each(func(slots *slotQueue) { slots.heartbeatReceived(now) })
}

// waits reports whether requests of the service wait for a slot at any gateway.
func (s *slotQueues) waits(service string, now time.Time) bool {
	slots := s.g.serviceStateOf(service).slots
	others := slots.others(now)
	return others.Total() > 0 || slots.length() > 0
}

// others returns how many requests of the service wait at other gateways.
func (s *slotQueue) others(now time.Time) *slotqueue.Counts {
	s.all.mu.Lock()
	defer s.all.mu.Unlock()
	counts := s.all.reports.Waiting(s.key, now)
	return &counts
}

func (s *slotQueue) counts() slotqueue.Counts {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.queue.Counts()
}

func (s *slotQueue) length() float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return float64(s.queue.Len())
}

// wakeEligible wakes the requests that may look for a slot. The caller holds the lock.
func (s *slotQueue) wakeEligible(others *slotqueue.Counts) {
	for _, e := range s.queue.Eligible(others) {
		s.wake(e)
	}
}

// wake wakes a request. The caller holds the lock.
func (s *slotQueue) wake(e *slotqueue.Entry) {
	select {
	case s.wakes[e] <- struct{}{}:
	default: // it is awake, or will be
	}
}

func (s *slotQueue) heartbeatReceived(now time.Time) {
	others := s.others(now)
	s.mu.Lock()
	defer s.mu.Unlock()
	if now.Sub(s.woken) >= minWakeInterval {
		s.woken = now
		s.wakeEligible(others)
	}
}

// released records that a request of this gateway has ended. It does nothing if s is nil.
func (s *slotQueue) released(now time.Time) {
	if s == nil {
		return
	}
	others := s.others(now)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.queue.Released(others, now)
	s.wakeEligible(others)
}

// turn returns the turn of a request, which may not have joined.
func (s *slotQueue) turn(e *slotqueue.Entry, now time.Time) slotqueue.Turn {
	others := s.others(now)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.queue.Advance(others, s.serviceTime, now)
	if due := s.queue.Due(others); due != nil && due != e {
		s.wake(due)
	}
	turn := s.queue.Turn(e, others)
	if turn.Look && s.yields.Observe(e.Level, turn.GivesWay, now) {
		message := "level no longer gives way"
		if turn.GivesWay {
			message = "level gives way"
		}
		s.all.g.log.Info().Str("service", s.service).Int("queue_level", int(e.Level)).Int("waiting", s.queue.Len()).
			Int("more_urgent_elsewhere", others.Above(e.Level)).Msg(message)
	}
	return turn
}

// reserved returns the number of slots that late requests leave to others.
func (s *slotQueue) reserved(now time.Time) int {
	others := s.others(now)
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.queue.Reserved(others)
}

// join adds a request to the queue, or returns nil.
func (s *slotQueue) join(e *slotqueue.Entry, c slotqueue.Capacity, now time.Time) *slotWait {
	others := s.others(now)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.serviceTime = c.ServiceTime
	joined, refused := s.queue.Join(e, others, c, now)
	for _, r := range refused {
		s.wake(r)
	}
	if !joined {
		return nil
	}
	w := &slotWait{slots: s, entry: e, wake: make(chan struct{}, 1)}
	s.wakes[e] = w.wake
	return w
}

// sleepTime returns for how long the request sleeps unless it is woken.
func (w *slotWait) sleepTime(now time.Time) time.Duration {
	others := w.slots.others(now)
	w.slots.mu.Lock()
	defer w.slots.mu.Unlock()
	if w.slots.queue.Turn(w.entry, others).Look {
		return waitPollInterval
	}
	return min(maxTurnWait, max(waitPollInterval, w.entry.Until.Sub(now)))
}

// refusal returns why the queue removed the request, or nil.
func (w *slotWait) refusal() *slotqueue.Refusal {
	w.slots.mu.Lock()
	defer w.slots.mu.Unlock()
	return w.entry.Refusal()
}

// level returns the level of the request among those that wait for slots. The standing is
// that of its team.
func (q *request) level(standing fairshare.Standing) slotqueue.Level {
	return slotqueue.LevelCriteria{
		Repeated: q.repeated, Priority: q.priority, RoutePriority: q.route.Priority, OverShare: standing.Over,
	}.Level()
}

// retryID returns the digest by which the request is recognized when it is sent again. The
// parts of a prompt tell requests apart whose bodies are alike.
func (q *request) retryID() retried.ID {
	return retried.ID(q.fingerprints()[0].Uint64() ^ rendezvous.Hash(q.r.Header.Get(q.g.headers.Prompt)))
}

// recognizeRetry finds out whether the request was refused before.
func (q *request) recognizeRetry() {
	if q.g.slots != nil && len(q.body) > 0 && !q.interrupted && q.g.slots.refused.Size() > 0 {
		q.repeated = q.g.slots.refused.Recognize(q.retryID(), q.began)
	}
}

// rememberRefusal records that the request is refused for lack of a slot. Requests without
// a body are often equal, so their retries cannot be recognized.
func (q *request) rememberRefusal() {
	if q.g.slots != nil && len(q.body) > 0 && q.state != nil {
		q.g.slots.refused.Refused(q.retryID(), clock.Now())
	}
}

// newSlotEntry returns the entry with which the request joins the queue for slots.
func (q *request) newSlotEntry(now time.Time) *slotqueue.Entry {
	return &slotqueue.Entry{
		Level: q.level(q.standing(now)), Until: now.Add(q.admissionRequest(now).PermitWait()),
		Selective: len(q.excluded) > 0 || q.rejected,
	}
}

// slotTurn returns whether the request may look for a slot now. Interrupted requests do not
// queue, as their callers would lose a part of the answer. Nor do requests that wait for a
// permit, which have a queue of their own.
func (q *request) slotTurn(now time.Time) slotqueue.Turn {
	slots := q.state.slots
	switch {
	case slots == nil || q.interrupted || q.permitWait != nil:
		return slotqueue.Turn{Look: true}
	case q.admissionRequest(now).Urgency() != admission.OnTime:
		return slotqueue.Turn{Look: true, Reserved: slots.reserved(now)}
	case q.slotWait != nil:
		return slots.turn(q.slotWait.entry, now)
	default:
		return slots.turn(q.newSlotEntry(now), now)
	}
}

// queuesForSlot reports whether the request waits in the queue for slots.
func (q *request) queuesForSlot(found balance.Availability, permission quarantine.Permission, now time.Time) bool {
	return q.state.slots != nil && found == balance.AllBusy && permission == quarantine.Granted && q.permitWait == nil &&
		q.admissionRequest(now).Urgency() == admission.OnTime
}

// setSelective records whether the request found no server although there are free slots.
func (w *slotWait) setSelective(selective bool) {
	if w == nil {
		return
	}
	w.slots.mu.Lock()
	defer w.slots.mu.Unlock()
	w.entry.Selective = selective
}

// awaitTurn waits in the queue for slots until the request may look for one. It returns
// false if the request is refused or the context has ended.
func (q *request) awaitTurn(ctx context.Context, now time.Time) bool {
	if q.slotWait == nil && !q.joinSlotQueue(now) {
		return false
	}
	timer := time.NewTimer(q.slotWait.sleepTime(now))
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-q.slotWait.wake:
	case <-timer.C:
	}
	q.waited += clock.Since(now)
	return !q.refusedSlot(q.slotWait.refusal())
}

// joinSlotQueue adds the request to the queue of its service, and reports whether it is
// expected to get a slot in time.
func (q *request) joinSlotQueue(now time.Time) bool {
	entry := q.newSlotEntry(now)
	c := q.g.registry.Capacity(q.limitedDemand(now), now)
	q.slotWait = q.state.slots.join(entry, slotqueue.Capacity{Slots: c.Slots, InFlight: c.InFlight, ServiceTime: c.ServiceTime}, now)
	return q.slotWait != nil || !q.refusedSlot(entry.Refusal())
}

// refusedSlot records that the request is refused, unless the refusal is nil.
func (q *request) refusedSlot(r *slotqueue.Refusal) bool {
	if r == nil {
		return false
	}
	q.slotRefusal = r
	q.g.inst.refusedSlot(q.service, r.Level)
	return true
}

// tookSlot records that the request got a slot while it waited in the queue.
func (q *request) tookSlot(now time.Time) {
	w := q.slotWait
	if w == nil {
		return
	}
	others := w.slots.others(now)
	w.slots.mu.Lock()
	defer w.slots.mu.Unlock()
	w.slots.queue.Took(w.entry, others)
}

// leaveSlotQueue removes the request from the queue for slots if it waits there. The next
// request looks for a slot immediately.
func (q *request) leaveSlotQueue() {
	w := q.slotWait
	if w == nil {
		return
	}
	q.slotWait = nil
	now := clock.Now()
	q.g.inst.waitedForSlot(w.slots.service, now.Sub(w.entry.Joined()))
	others := w.slots.others(now)
	w.slots.mu.Lock()
	defer w.slots.mu.Unlock()
	w.slots.queue.Leave(w.entry)
	delete(w.slots.wakes, w.entry)
	w.slots.wakeEligible(others)
}
