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

// How a request that finds no place waits for one, or is refused, is decided by package
// admission. This file tells it what is known and carries out what it says.

const (
	// usualStay is the time for which a stream occupies a slot, in objectives of its
	// route, as long as a process has seen none end: four on the sites known.
	usualStay = 4
	// freeSlot is the bound for a request that does not queue, but takes a slot that
	// is free.
	freeSlot = time.Millisecond
	// holdShare is the part of a route's objective for which a stream waits while
	// the passes of its group are long, holdFrom the part of the gap target from
	// which they are. Its prompt would make them longer for all streams of the group.
	holdShare, holdFrom = 0.4, 0.75
	// eventPatience is for how long callers wait for the next event of a stream, the
	// first one included, at least; objectivePatience and gapPatience say the same in
	// objectives and gap targets of the route. By the callers' protocol.
	eventPatience     = 2 * time.Second
	objectivePatience = 4
	gapPatience       = 8
	// answerMargin is the part of that time that is kept for the way to the caller.
	answerMargin = 0.05
	// startPatience is how long a request waits for a process that has just
	// started to know a configuration, which takes some 20 ms.
	startPatience = 35 * time.Millisecond
	// waitPoll is how often a waiting request looks for a server.
	waitPoll = 15 * time.Millisecond
	// firstWeight is the weight of the newest answer in the usual time of the first
	// one.
	firstWeight = 0.1
)

// serviceState is what this gateway knows of one service for admission. It is safe for
// concurrent use.
type serviceState struct {
	mu      sync.Mutex
	stand   admission.Stand
	pacer   admission.Pacer
	line    admission.Line        // requests that wait for a permit
	permits admission.PermitPacer // of callers refused for want of one
	waiting int                   // late requests that wait for a place
	ahead   int                   // interrupted ones among these, which go first
	first   time.Duration         // usual time from the sending of a request to its first answer
}

func (g *Gateway) stateOf(service string) *serviceState {
	if s, ok := g.services.Load(service); ok {
		return s.(*serviceState)
	}
	s, _ := g.services.LoadOrStore(service, &serviceState{})
	return s.(*serviceState)
}

// answered notes a first answer and, if the server had a free slot, how long it took. It
// returns for how long the service had served nobody before, 0 = it did.
func (s *serviceState) answered(first time.Duration, free bool, now time.Time) (stood time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	stood = s.stand.Served(now)
	if !free {
		return stood
	}
	if s.first == 0 {
		s.first = first
	}
	s.first += time.Duration(firstWeight * float64(first-s.first))
	return stood
}

func (s *serviceState) firstAnswer() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.first
}

// stands notes that no server serves, and reports whether that is new.
func (s *serviceState) stands(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.stand.Stands(now)
}

// queue notes a late request that begins (1) or ends (-1) to wait.
func (s *serviceState) queue(change int, interrupted bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.waiting += change
	if interrupted {
		s.ahead += change
	}
}

// mayTry reports whether a late request that waits may look for a place: others that
// waited in vain would lose more.
func (s *serviceState) mayTry(interrupted bool) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return interrupted || s.ahead == 0
}

// situation returns what is seen of the request's service.
func (q *request) situation(now time.Time) admission.Situation {
	late := q.g.registry.Late(q.demand(now), now)
	s := q.state
	s.mu.Lock()
	defer s.mu.Unlock()
	return admission.Situation{Back: s.stand.Back(now), Waiting: s.waiting, Room: late.Room, Taken: late.Taken, Stay: late.Stay}
}

// wants returns what is known of the request.
func (q *request) wants(now time.Time) admission.Request {
	return admission.Request{
		Age: now.Sub(q.began), Objective: q.route.Objective, Limit: q.leaves().Sub(q.began),
		FirstAnswer: q.state.firstAnswer(), Interrupted: q.interrupted,
	}
}

// leaves returns when the caller is gone if it hears nothing until then.
func (q *request) leaves() time.Time {
	if q.route.Kind != catalog.KindStream {
		return q.deadline
	}
	patience := max(eventPatience, objectivePatience*q.route.Objective, gapPatience*q.route.GapTarget)
	at := q.heard().Add(time.Duration((1 - answerMargin) * float64(patience)))
	if at.After(q.deadline) {
		return q.deadline
	}
	return at
}

// heard returns when the caller last heard of its request: its begin if it never did.
func (q *request) heard() time.Time {
	if q.lastEvent.IsZero() {
		return q.began
	}
	return q.lastEvent
}

// demand returns what the request asks of a server.
func (q *request) demand(now time.Time) balance.Demand {
	r := q.wants(now)
	d := balance.Demand{
		Service: q.service, Exclude: q.excluded, Proven: q.rejected, Again: q.sequence.Attempts() > 0, Late: r.Urgency() != admission.Punctual, Occupies: q.route.Objective,
	}
	if q.route.Kind == catalog.KindStream {
		d.GapTarget = q.route.GapTarget
		d.Occupies *= usualStay
		d.HoldAt = q.holdAt(now)
	}
	d.MostWait = q.mostWait(r)
	return d
}

// mostWait returns for how long the request may be expected to queue at a server, 0 =
// for any time: as long as it is on time then.
func (q *request) mostWait(r admission.Request) time.Duration {
	if r.Objective == 0 {
		return 0
	}
	if r.Urgency() != admission.Punctual {
		return freeSlot
	}
	return max(freeSlot, r.Spare())
}

// holdAt returns the pause between events from which the request waits for shorter
// passes, 0 = it does not.
func (q *request) holdAt(now time.Time) time.Duration {
	if q.route.Kind != catalog.KindStream || q.interrupted {
		return 0
	}
	if now.Sub(q.began) >= time.Duration(holdShare*float64(q.route.Objective)) {
		return 0
	}
	return time.Duration(holdFrom * float64(q.route.GapTarget))
}

// await picks a server, waiting for one as long as that can be worth it.
func (q *request) await(ctx context.Context) (balance.Choice, balance.Availability) {
	if choice := q.moveTo; choice != nil {
		q.moveTo = nil
		return *choice, balance.Available
	}
	queued := false // among the late requests that wait
	interrupted := q.interrupted
	defer func() {
		q.leaveLine(q.state)
		if queued {
			q.state.queue(-1, interrupted)
		}
	}()
	for {
		if q.renew(); q.denied != nil {
			return balance.Choice{}, balance.Unavailable
		}
		now := clock.Now()
		choice, found, permission := q.lookIfAdmitted(queued, now)
		if found == balance.Available || found == balance.Evacuated || permission == quarantine.Refused {
			return choice, found
		}
		if found == balance.Leaving && !q.sequence.MayHaveRun() {
			return choice, found // it can come back instead of waiting for one that is not known
		}
		wants := q.wants(now)
		stays := queued || permission == quarantine.Wait || q.mayWait(wants, now)
		switch found {
		case balance.Limited:
			stays = q.mayWaitForPermit(wants, now)
		case balance.Resting:
			stays = q.mayWaitForRest(wants, now)
		}
		if !stays || wants.Urgency() == admission.Hopeless {
			return choice, found
		}
		if found == balance.Limited || found == balance.Resting {
			q.joinLine(found, now)
		}
		if !queued && wants.Urgency() == admission.Late {
			queued = true
			q.state.queue(1, interrupted)
		}
		if !wait.Sleep(ctx, waitPoll) {
			return choice, found
		}
		q.waited += clock.Since(now)
	}
}

// look looks for a server.
func (q *request) look(queued bool, now time.Time) (balance.Choice, balance.Availability) {
	if queued && !q.state.mayTry(q.interrupted) {
		return balance.Choice{}, balance.AllBusy
	}
	if found := q.passed(now); found != balance.Available {
		return balance.Choice{}, found
	}
	d := q.demand(now)
	d.Avoid = q.avoids(now)
	choice, found := q.g.registry.Pick(d, now)
	q.atLimit, q.resting = choice.Load.AtLimit, choice.Load.Resting
	stands := found == balance.Standing || found == balance.Unavailable && len(q.excluded) == 0 && !q.rejected
	if stands && q.state.stands(now) {
		q.g.inst.stood(q.service)
		q.log.Warn().Str("service", q.service).Str("found", found.String()).Int("slots", choice.Load.Slots).
			Uint64("backends", q.g.knows().at.Revision).Msg("service serves nobody")
	}
	return choice, found
}

// mayWait reports whether the request waits for a place. One that may have run does
// until its caller leaves: nothing true can be said of it before.
func (q *request) mayWait(wants admission.Request, now time.Time) bool {
	if q.sequence.MayHaveRun() {
		return wants.Urgency() != admission.Hopeless
	}
	return admission.MayWait(wants, q.situation(now))
}

// awaitCatalog waits until a process that has just started knows a configuration.
func (q *request) awaitCatalog() *catalog.Snapshot {
	patience := startPatience
	if q.r.Header.Get(q.g.headers.ResumeAfter) != "" {
		patience = startedResumePatience
	}
	for until := q.began.Add(patience); ; {
		behind := q.g.catchingUp()
		if s := q.g.catalog.Current(); s != nil && q.g.listed.Load() && !behind {
			return s
		}
		if clock.Now().After(until) || !wait.Sleep(q.ctx, min(waitPoll, startPatience/4)) {
			if behind {
				return nil
			}
			return q.g.catalog.Current()
		}
	}
}

// startedResumePatience is startPatience for a stream that goes on: its caller has used
// its other try, and leaves after eventPatience.
const startedResumePatience = 1500 * time.Millisecond

const (
	// minRetryAfter is when a caller may come back after a refusal that has nothing to do
	// with places, such as for an unknown key.
	minRetryAfter = 250 * time.Millisecond
	// outageRetryAfter is when a caller may come back where this process still knows no
	// configuration, as the store is away, or all servers are evacuated or leave: processes and groups
	// of ranks are back about two seconds after a loss of power, operators take no less.
	outageRetryAfter = 2 * time.Second
	// retrySpread is the part by which these vary, so that callers refused together do
	// not come back together.
	retrySpread = 0.2
)

// retryAfter returns when the caller may come back.
func (q *request) retryAfter(r contract.Refusal) time.Duration {
	now := clock.Now()
	switch r.Reason {
	case contract.ReasonNoBackend, contract.ReasonOverload, contract.ReasonReplacedAgent:
		if q.state != nil {
			return q.comeBack(now)
		}
	case contract.ReasonRateLimit:
		if q.state != nil {
			return q.comeBackForPermit(now)
		}
	case contract.ReasonRest:
		if q.state != nil {
			return q.comeBackAfterRest(now)
		}
	case contract.ReasonQuarantined:
		if q.quarantined != nil {
			return q.quarantined.Left
		}
	case contract.ReasonStarting, contract.ReasonEvacuated, contract.ReasonDraining:
		return spreadOut(max(r.RetryAfter, outageRetryAfter))
	}
	return spreadOut(max(r.RetryAfter, minRetryAfter))
}

func spreadOut(after time.Duration) time.Duration {
	return after + time.Duration(retrySpread*rand.Float64()*float64(after))
}

// comeBack returns for how long a caller for which there was no place stays away.
func (q *request) comeBack(now time.Time) time.Duration {
	situation := q.situation(now)
	q.refusedIn = &situation
	s := q.state
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.pacer.Pause(situation, q.deadline.Sub(now), rand.Float64(), now)
}
