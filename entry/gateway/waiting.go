package gateway

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"baywall.example/core/clock"
	"baywall.example/core/contract"
	"baywall.example/core/wait"
	"baywall.example/entry/admission"
	"baywall.example/entry/balance"
	"baywall.example/entry/catalog"
	"baywall.example/entry/quarantine"
)

// Package admission decides whether a request for which no server has a free slot waits or
// is refused. This file supplies it with the observed state and carries out its decisions.

const (
	// defaultStreamOccupancy is the time for which a stream is assumed to occupy a slot, in
	// multiples of its route's objective, until the process has seen a stream end. It is
	// four on the known sites.
	defaultStreamOccupancy = 4
	// freeSlotWait is the queueing bound of a request that does not queue but only takes a
	// free slot.
	freeSlotWait = time.Millisecond
	// holdObjectiveShare is the fraction of a route's objective for which a new stream is
	// held back while the passes of a group are long, that is, while the pause between
	// events is at least holdGapShare of the gap target. The prompt of the new stream would
	// make the passes longer for all streams of the group.
	holdObjectiveShare, holdGapShare = 0.4, 0.75
	// eventWaitLimit is the least time for which callers wait for the next event of a
	// stream, including the first one. objectiveWaitFactor and gapWaitFactor give the same
	// time in multiples of the route's objective and gap target; the longest of the three
	// applies. The values are those of the callers' protocol.
	eventWaitLimit      = 2 * time.Second
	objectiveWaitFactor = 4
	gapWaitFactor       = 8
	// answerMargin is the fraction of that time reserved for delivery to the caller.
	answerMargin = 0.05
	// startWaitLimit is how long a request waits for a process that has just started to
	// obtain a configuration, which takes about 20 ms.
	startWaitLimit = 35 * time.Millisecond
	// waitPollInterval is the interval at which a waiting request looks for a server.
	waitPollInterval = 15 * time.Millisecond
	// firstAnswerWeight is the weight of the newest answer in the moving average of the
	// time to the first answer.
	firstAnswerWeight = 0.1
)

// serviceState is the state of one service that admission decisions depend on. It is safe
// for concurrent use.
type serviceState struct {
	mu                 sync.Mutex
	outage             admission.Outage
	pacer              admission.Pacer
	permitWait         admission.PermitQueue // queue of requests that wait for a permit or for the end of a backoff
	permitPacer        admission.PermitPacer // Retry-After of callers refused for lack of a permit or during a backoff
	lateWaiting        int                   // late requests that wait for a slot
	interruptedWaiting int                   // interrupted requests among these, which go first
	first              time.Duration         // typical time from the sending of a request to its first answer
	slots              *slotQueue            // queue of requests that wait for a slot, nil = they do not queue
	concurrency        concurrencyState
}

func (g *Gateway) serviceStateOf(service string) *serviceState {
	if s, ok := g.serviceStates.Load(service); ok {
		return s.(*serviceState)
	}
	s, loaded := g.serviceStates.LoadOrStore(service, &serviceState{slots: g.slots.newQueue(service)})
	state := s.(*serviceState)
	if !loaded && g.settings.Scheduling.ConcurrencyLimit {
		g.inst.watchConcurrency(service, &state.concurrency)
	}
	if !loaded && state.slots != nil {
		g.inst.watchSlotQueue(service, state.slots.length)
	}
	return state
}

// observeFirstAnswer records a first answer and, if the server had a free slot, the time it
// took. It returns the length of the outage that the answer ends, or 0 if there was none.
func (s *serviceState) observeFirstAnswer(first time.Duration, free bool, now time.Time) (outageLength time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	outageLength = s.outage.Served(now)
	if !free {
		return outageLength
	}
	if s.first == 0 {
		s.first = first
	}
	s.first += time.Duration(firstAnswerWeight * float64(first-s.first))
	return outageLength
}

func (s *serviceState) firstAnswer() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.first
}

// serviceDown records that no server of the service is serving, and reports whether this
// starts an outage.
func (s *serviceState) serviceDown(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.outage.Observe(now)
}

// inOutage reports whether the service has served nobody since an outage began.
func (s *serviceState) inOutage(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.outage.RecoversIn(now) > 0
}

// adjustWaiting counts a late request that starts (1) or stops (-1) waiting.
func (s *serviceState) adjustWaiting(change int, interrupted bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lateWaiting += change
	if interrupted {
		s.interruptedWaiting += change
	}
}

// mayTry reports whether a waiting late request may look for a slot. Interrupted requests
// go first, as they would lose more if they waited in vain.
func (s *serviceState) mayTry(interrupted bool) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return interrupted || s.interruptedWaiting == 0
}

// situation returns the observed state of the request's service.
func (q *request) situation(now time.Time) admission.Situation {
	late := q.g.registry.Late(q.limitedDemand(now), now)
	s := q.state
	s.mu.Lock()
	defer s.mu.Unlock()
	return admission.Situation{RecoversIn: s.outage.RecoversIn(now), Waiting: s.lateWaiting, Quota: late.Quota, Taken: late.Taken, ServiceTime: late.ServiceTime}
}

// admissionRequest returns the properties of the request that admission decisions depend
// on.
func (q *request) admissionRequest(now time.Time) admission.Request {
	return admission.Request{
		Age: now.Sub(q.began), Objective: q.route.Objective, Limit: q.callerGivesUpAt().Sub(q.began), Deadline: q.deadline.Sub(q.began),
		FirstAnswer: q.state.firstAnswer(), Interrupted: q.interrupted,
	}
}

// callerGivesUpAt returns when the caller disconnects if it receives nothing before then.
func (q *request) callerGivesUpAt() time.Time {
	if q.route.Kind != catalog.KindStream {
		return q.deadline
	}
	waitLimit := max(eventWaitLimit, objectiveWaitFactor*q.route.Objective, gapWaitFactor*q.route.GapTarget)
	at := q.lastProgress().Add(time.Duration((1 - answerMargin) * float64(waitLimit)))
	if at.After(q.deadline) {
		return q.deadline
	}
	return at
}

// lastProgress returns when the caller last received something, or when the request began
// if it has received nothing.
func (q *request) lastProgress() time.Time {
	if q.lastEvent.IsZero() {
		return q.began
	}
	return q.lastEvent
}

// demand returns the requirements of the request on a server.
func (q *request) demand(now time.Time) balance.Demand {
	r := q.admissionRequest(now)
	d := balance.Demand{
		Service: q.service, Exclude: q.excluded, ExcludeRejecting: q.rejected, PreferUnlimited: q.sequence.Attempts() > 0, Late: r.Urgency() != admission.OnTime, AssumedServiceTime: q.route.Objective,
	}
	if q.route.Kind == catalog.KindStream {
		d.GapTarget = q.route.GapTarget
		d.AssumedServiceTime *= defaultStreamOccupancy
		d.HoldThreshold = q.holdThreshold(now)
	}
	if q.learnsSpeed {
		d.ServerSpeed, d.Route = true, q.route.Name
	}
	d.MaxWait, d.Slack = q.maxQueueWait(r), max(0, r.Slack())
	return d
}

// limitedDemand returns the requirements of the request within the concurrency limit of its
// service.
func (q *request) limitedDemand(now time.Time) balance.Demand {
	d := q.demand(now)
	d.Concurrency = q.concurrencyLimit(now)
	return d
}

// maxQueueWait returns the longest time that the request may be expected to queue at a
// server, 0 meaning any time. A request may queue as long as it is still on time after
// that.
func (q *request) maxQueueWait(r admission.Request) time.Duration {
	if q.state.slots != nil {
		return freeSlotWait // it waits in the queue at this gateway, where more urgent requests can pass it
	}
	if r.Objective == 0 {
		return 0
	}
	if r.Urgency() != admission.OnTime {
		return freeSlotWait
	}
	return max(freeSlotWait, r.Slack())
}

// holdThreshold returns the pause between events from which the request waits for shorter
// passes, 0 meaning that it does not wait.
func (q *request) holdThreshold(now time.Time) time.Duration {
	if q.route.Kind != catalog.KindStream || q.interrupted {
		return 0
	}
	if now.Sub(q.began) >= time.Duration(holdObjectiveShare*float64(q.route.Objective)) {
		return 0
	}
	return time.Duration(holdGapShare * float64(q.route.GapTarget))
}

// awaitServer picks a server, waiting for one as long as that can be worthwhile.
func (q *request) awaitServer(ctx context.Context) (balance.Choice, balance.Availability) {
	if choice := q.moveTo; choice != nil {
		q.moveTo = nil
		if q.admit(clock.Now()) == quarantine.Granted {
			return *choice, balance.Available
		}
		choice.Release()
	}
	queued := false // it is counted among the late requests that wait
	interrupted := q.interrupted
	defer func() {
		q.leaveSlotQueue()
		q.leavePermitQueue(q.state)
		if queued {
			q.state.adjustWaiting(-1, interrupted)
		}
	}()
	for {
		if q.refreshDecision(); q.denied != nil {
			return balance.Choice{}, balance.Unavailable
		}
		now := clock.Now()
		choice, found, permission := q.pickIfAdmitted(queued, now)
		if found == balance.Available || found == balance.Evacuated || permission == quarantine.Refused {
			return choice, found
		}
		if found == balance.Leaving && !q.sequence.MayHaveRun() {
			return choice, found // the caller can retry instead of waiting for a server that may never be listed
		}
		if found == balance.AllBusy {
			q.g.listeners.EndSlowestReader() // its server has a free slot then
		}
		if q.queuesForSlot(found, permission, now) {
			if !q.awaitTurn(ctx, now) {
				return choice, found
			}
			continue
		}
		q.leaveSlotQueue()
		admissionRequest := q.admissionRequest(now)
		keepWaiting := q.mayKeepWaiting(queued, found, admissionRequest, now)
		switch found {
		case balance.Limited:
			keepWaiting = q.mayWaitForPermit(admissionRequest, now)
		case balance.InBackoff:
			keepWaiting = q.mayWaitForBackoff(admissionRequest, now)
		}
		if !keepWaiting || admissionRequest.Urgency() == admission.Hopeless {
			return choice, found
		}
		if found == balance.Limited || found == balance.InBackoff {
			q.joinPermitQueue(found, now)
		}
		if !queued && admissionRequest.Urgency() == admission.Late {
			queued = true
			q.state.adjustWaiting(1, interrupted)
		}
		if !wait.Sleep(ctx, waitPollInterval) {
			return choice, found
		}
		q.waited += clock.Since(now)
	}
}

// pick picks a server without waiting.
func (q *request) pick(queued bool, now time.Time) (balance.Choice, balance.Availability) {
	if queued && !q.state.mayTry(q.interrupted) {
		return balance.Choice{}, balance.AllBusy
	}
	if found := q.queueAvailability(now); found != balance.Available {
		return balance.Choice{}, found
	}
	turn := q.slotTurn(now)
	if !turn.Look {
		return balance.Choice{}, balance.AllBusy
	}
	d := q.limitedDemand(now)
	d.Avoid = q.avoidedServers(now)
	d.Reserved = turn.Reserved
	choice, found := q.g.registry.Pick(d, now)
	if found == balance.Available {
		q.tookSlot(now)
		q.decidedOnSlot(false, now)
	}
	q.slotWait.setSelective(len(q.excluded) > 0 || q.rejected || choice.Load.Free > turn.Reserved)
	q.atLimit, q.backingOff = choice.Load.AtLimit, choice.Load.InBackoff
	serviceDown := found == balance.Stalled || found == balance.Unavailable && len(q.excluded) == 0 && !q.rejected
	if serviceDown && q.state.serviceDown(now) {
		q.g.inst.outageStarted(q.service)
		q.log.Warn().Str("service", q.service).Str("found", found.String()).Int("slots", choice.Load.Slots).
			Uint64("backends", q.g.applied().at.Revision).Msg("service serves nobody")
	}
	return choice, found
}

// mayWait reports whether the request waits for a slot. A request that may have run waits
// until its caller gives up: until then no definite outcome can be reported.
func (q *request) mayWait(admissionRequest admission.Request, now time.Time) bool {
	if q.sequence.MayHaveRun() {
		return admissionRequest.Urgency() != admission.Hopeless
	}
	return admission.MayWait(admissionRequest, q.situation(now))
}

// mayKeepWaiting reports whether the request waits for a server, or goes on waiting for one
// if it is queued already.
func (q *request) mayKeepWaiting(queued bool, found balance.Availability, r admission.Request, now time.Time) bool {
	if !queued && !q.mayWait(r, now) {
		return false
	}
	// AllBusy may also mean that interrupted requests look for a server first.
	serves := found == balance.AllBusy && !q.state.inOutage(now)
	return serves || q.sequence.MayHaveRun() || admission.MayKeepWaitingInOutage(r)
}

// awaitCatalog waits until a process that has just started has a configuration.
func (q *request) awaitCatalog() *catalog.Snapshot {
	waitLimit := startWaitLimit
	if q.r.Header.Get(q.g.headers.ResumeAfter) != "" {
		waitLimit = startResumeWaitLimit
	}
	for until := q.began.Add(waitLimit); ; {
		behind := q.g.catchingUp()
		if s := q.g.catalog.Current(); s != nil && q.g.listed.Load() && !behind {
			return s
		}
		if clock.Now().After(until) || !wait.Sleep(q.ctx, min(waitPollInterval, startWaitLimit/4)) {
			if behind {
				return nil
			}
			return q.g.catalog.Current()
		}
	}
}

// startResumeWaitLimit is the counterpart of startWaitLimit for a stream that is resumed:
// its caller has used its other attempt and gives up after eventWaitLimit.
const startResumeWaitLimit = 1500 * time.Millisecond

const (
	// minRetryAfter is the Retry-After of a refusal that has nothing to do with capacity,
	// such as one for an unknown key.
	minRetryAfter = 250 * time.Millisecond
	// memoryRetryAfter is the Retry-After while there is no room for a request's head or body: most of
	// those that take the room are sent or ended within that time.
	memoryRetryAfter = time.Second
	// outageRetryAfter is the Retry-After while this process has no configuration because
	// the store is unreachable, or while all servers are evacuated or leaving. Processes
	// and groups of ranks are back about two seconds after a power loss, and operators take
	// at least as long.
	outageRetryAfter = 2 * time.Second
	// retryJitter is the fraction by which these are randomized, so that callers that were
	// refused together do not return together.
	retryJitter = 0.2
)

// retryAfter returns the time after which the caller may retry.
func (q *request) retryAfter(r contract.Refusal) time.Duration {
	now := clock.Now()
	switch r.Reason {
	case contract.ReasonNoBackend, contract.ReasonOverload, contract.ReasonAgentReplaced, contract.ReasonRetryBudget:
		if q.state != nil {
			return q.overloadRetryAfter(now)
		}
	case contract.ReasonRateLimit:
		if q.state != nil {
			return q.permitRetryAfter(now)
		}
	case contract.ReasonBackoff:
		if q.state != nil {
			return q.backoffRetryAfter(now)
		}
	case contract.ReasonQuarantined:
		if q.quarantined != nil {
			return q.quarantined.Remaining
		}
	case contract.ReasonMemory:
		return addJitter(max(r.RetryAfter, memoryRetryAfter))
	case contract.ReasonStarting, contract.ReasonEvacuated, contract.ReasonDraining:
		return addJitter(max(r.RetryAfter, outageRetryAfter))
	}
	return addJitter(max(r.RetryAfter, minRetryAfter))
}

func addJitter(after time.Duration) time.Duration {
	return after + time.Duration(retryJitter*rand.Float64()*float64(after))
}

// overloadRetryAfter returns the time after which a caller that found no free slot may
// retry.
func (q *request) overloadRetryAfter(now time.Time) time.Duration {
	situation := q.situation(now)
	q.refusalSituation = &situation
	s := q.state
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.pacer.Pause(situation, q.deadline.Sub(now), rand.Float64(), now)
}
