package dispatch

import (
	"context"
	"fmt"
	"time"

	"github.com/rotisserie/eris"

	"baywall.example/core/clock"
	"baywall.example/core/contract"
	"baywall.example/core/link"
	"baywall.example/core/resource"
	"baywall.example/core/timeline"
	"baywall.example/core/wire"
	"baywall.example/entry/backend"
	"baywall.example/entry/quarantine"
	"baywall.example/entry/retry"
)

const (
	// outcomeTimeout bounds the time for which an agent is queried for the outcome of an
	// attempt before the caller gets "unknown", and for which resuming an interrupted
	// answer is tried.
	outcomeTimeout = 1500 * time.Millisecond
	// outcomeInterval is the time between two such tries.
	outcomeInterval = 50 * time.Millisecond
	// overloadRetryAfter is the delay suggested to callers after an overload.
	overloadRetryAfter = time.Second
)

// exchange is one request while it is being served.
type exchange struct {
	d        *Dispatcher
	contract contract.Contract
	request  Request
	sink     Sink
	sequence retry.Sequence
	budget   *retry.Budget // nil if the request is only resumed
	tried    []*backend.Backend
	suspect  quarantine.Attempt // the current attempt, as package quarantine tracks it
	// fingerprintCache holds the request's fingerprints once they were needed.
	fingerprintCache []quarantine.Fingerprint
	// backoff is why and until when a server refuses requests for a rate limit or a backoff,
	// or the first such period to end if all servers refuse them.
	backoff backend.Backoff

	backend  *backend.Backend // of the current attempt
	location AttemptLocation
	sent     time.Time
	headSent bool  // whether the head was forwarded
	status   int   // of the answer
	offset   int64 // of the next byte of the answer
	windowed bool  // the agent keeps the window of answers on the current stream
	// acknowledged is the offset of the latest acknowledgment to the agent.
	acknowledged int64
}

// result is how an attempt, a query or a resumption ended.
type result struct {
	done    bool  // the answer is complete
	err     error // ends the request, for instance because the caller has gone
	event   retry.Event
	refusal contract.Refusal
}

// run makes attempts until one of them decides the request.
func (x *exchange) run(ctx context.Context) error {
	for {
		if !x.waitAdmitted(ctx) {
			return x.refuseQuarantined()
		}
		if !x.choose() && !x.chooseFreed(ctx) {
			x.suspect.Release()
			return x.refuseNoBackend(ctx)
		}
		err := x.resolve(ctx, x.attempt(ctx))
		x.recordSuccess(err)
		x.suspect.Release()
		if !eris.Is(err, errRetry) {
			return err
		}
	}
}

// errRetry makes run start another attempt.
var errRetry = eris.New("dispatch: retry")

// resolve carries out the decisions that follow a result until the request has ended or
// another attempt is due.
func (x *exchange) resolve(ctx context.Context, r result) error {
	for {
		if r.done {
			return nil
		}
		if r.err != nil {
			return r.err
		}
		decision := x.sequence.Next(r.event, r.refusal, clock.Now())
		switch decision.Action {
		case retry.ActionRetry:
			x.record(timeline.KindRetry, string(r.refusal.Reason))
			return errRetry
		case retry.ActionQuery:
			r = x.queryOutcome(ctx)
		case retry.ActionResume:
			r = x.resume(ctx)
		default:
			if decision.Refusal.Reason == contract.ReasonRetryBudget && x.budget != nil {
				x.recordBudget(retry.SourceNone)
			}
			if x.headSent {
				x.record(timeline.KindRefused, "answer cut: "+string(decision.Refusal.Reason))
				return ErrAborted
			}
			return &decision.Refusal
		}
		if x.headSent && !r.done && r.err == nil && r.event != retry.EventCut {
			x.record(timeline.KindRefused, "answer cut")
			return ErrAborted
		}
	}
}

// refuseNoBackend refuses a request for which no backend server can be chosen.
func (x *exchange) refuseNoBackend(ctx context.Context) error {
	if x.contract.Ticket != nil {
		return x.resolve(ctx, result{event: retry.EventOutcomeUnknown, refusal: contract.Refusal{Reason: contract.ReasonAgentReplaced}})
	}
	reason, after := contract.ReasonNoBackend, time.Duration(0)
	if x.backoff.Reason != "" {
		reason, after = x.backoff.Reason, max(0, clock.Until(x.backoff.Ends))
	} else if len(x.d.directory.Usable(x.contract.Service).Runners) > 0 {
		reason, after = contract.ReasonOverload, overloadRetryAfter
	}
	x.sequence.Deadline = time.Time{} // prevents a retry: no server is left for it
	return x.resolve(ctx, result{event: retry.EventRefused, refusal: contract.Refusal{Outcome: contract.NotRun, Reason: reason, RetryAfter: after}})
}

func (x *exchange) record(kind timeline.Kind, reason string) {
	subject := ""
	if x.backend != nil {
		subject = string(x.backend.VM().ID)
	}
	x.d.recorder.Record(timeline.Event{Kind: kind, Request: string(x.contract.Request), Subject: subject, Reason: reason})
}

// attempt sends the request to the chosen backend server's agent and forwards the answer.
func (x *exchange) attempt(ctx context.Context) result {
	number := x.sequence.Begin()
	x.backend.Runner.Begin()
	defer x.backend.Runner.End()
	l, err := x.d.directory.Link(ctx, x.backend)
	if err != nil {
		return result{event: retry.EventNotSent, refusal: contract.Refusal{Reason: contract.ReasonNoBackend}}
	}
	s, err := l.Open(ctx)
	if err != nil {
		return result{event: retry.EventNotSent, refusal: contract.Refusal{Reason: contract.ReasonNoBackend}}
	}
	defer s.Close()
	x.location = AttemptLocation{
		VM: l.Remote, Incarnation: l.Incarnation,
		Attempt: contract.AttemptID{Request: x.contract.Request, Number: number},
	}
	if !x.chargeRetry(ctx) {
		return result{event: retry.EventNotSent, refusal: contract.Refusal{Reason: contract.ReasonRetryBudget}}
	}
	if x.isQuarantined() { // establishing the link and charging may have taken calls to others
		return result{event: retry.EventNotSent, refusal: contract.Refusal{Reason: contract.ReasonQuarantined}}
	}
	x.sent = clock.Now()
	x.suspect.Send(x.serverKey(0), x.sent)
	if s.SendCall(&wire.Call{Body: &wire.Call_Attempt{Attempt: x.message(number)}}) != nil {
		return result{event: retry.EventLost}
	}
	return x.receive(ctx, s)
}

// chargeRetry charges the attempt to the retry budget if it is a retry, and reports whether it
// may be sent.
func (x *exchange) chargeRetry(ctx context.Context) bool {
	if !x.sequence.ChargeDue() {
		return true
	}
	source := x.budget.Take(ctx)
	x.recordBudget(source)
	if source == retry.SourceNone {
		return false
	}
	x.sequence.Charged()
	return true
}

// recordBudget records the source of a retry and the state of the budget that it comes from.
func (x *exchange) recordBudget(source retry.Source) {
	s := x.budget.State()
	x.record(timeline.KindRetry, fmt.Sprintf("budget: source=%q window_requests=%d window_retries=%d earned=%.2f grantors=%d grantors_open=%d granted=%d part=%.2f",
		source, s.Requests, s.Retries, s.Earned, s.Grantors, s.Open, s.Granted, s.Part))
}

func (x *exchange) message(number uint32) *wire.Attempt {
	c := x.contract
	w := &wire.Attempt{
		RequestId: string(c.Request), Number: number, Service: c.Service, Team: c.Team,
		Idempotent: c.Idempotent, DeadlineUnixMs: clock.Wall(c.Deadline).UnixMilli(), Priority: int32(c.Priority),
		ServiceRevision: x.d.serviceRevision(c.Service),
		Method:          x.request.Method, Path: x.request.Path, Headers: x.request.Headers, Body: x.request.Body,
		Window: x.d.window,
	}
	if c.Ticket != nil {
		w.Ticket = c.Ticket.Wire()
	}
	return w
}

// queryOutcome queries the agent for the outcome of the attempt. The agent creates a
// tombstone for an attempt that was not handed over to the backend server.
func (x *exchange) queryOutcome(ctx context.Context) result {
	query := &wire.FateQuery{
		RequestId: string(x.location.Attempt.Request), Number: x.location.Attempt.Number,
		Incarnation: uint64(x.location.Incarnation), DeadlineUnixMs: clock.Wall(x.contract.Deadline).UnixMilli(),
		SentUnixMs: clock.Wall(x.sent).UnixMilli(),
	}
	out := result{event: retry.EventOutcomeUnknown, refusal: contract.Refusal{Reason: contract.ReasonLinkLost}}
	x.tryUntil(ctx, func(ctx context.Context, l *link.Link) bool {
		reply, err := l.Call(ctx, &wire.Call{Body: &wire.Call_Fate{Fate: query}})
		if err != nil {
			return false
		}
		switch reply.GetFate().GetFate() {
		case wire.Fate_FATE_TOMBSTONED:
			out = result{event: retry.EventTombstoned, refusal: contract.Refusal{Reason: contract.ReasonLinkLost}}
		case wire.Fate_FATE_RUNNING, wire.Fate_FATE_ANSWERED:
			out = result{event: retry.EventHeld}
		default:
			out = result{event: retry.EventOutcomeUnknown, refusal: contract.Refusal{Reason: contract.ReasonAgentReplaced}}
		}
		return true
	})
	x.record(timeline.KindAttemptOutcome, string(out.refusal.Reason))
	return out
}

// resume reattaches to the attempt and forwards the rest of its answer.
func (x *exchange) resume(ctx context.Context) result {
	out := result{event: retry.EventOutcomeUnknown, refusal: contract.Refusal{Reason: contract.ReasonLinkLost}}
	x.record(timeline.KindResume, "")
	x.tryUntil(ctx, func(_ context.Context, l *link.Link) bool {
		s, err := l.Open(ctx)
		if err != nil {
			return false
		}
		defer s.Close()
		call := &wire.Resume{
			RequestId: string(x.location.Attempt.Request), Number: x.location.Attempt.Number,
			Incarnation: uint64(x.location.Incarnation), Offset: x.offset,
			Window: x.d.window,
		}
		if s.SendCall(&wire.Call{Body: &wire.Call_Resume{Resume: call}}) != nil {
			return false
		}
		out = x.receive(ctx, s)
		return out.event != retry.EventCut && out.event != retry.EventLost
	})
	if out.event == retry.EventLost {
		out.event = retry.EventOutcomeUnknown
	}
	return out
}

// tryUntil calls f with a link to the attempt's agent until f returns true or
// outcomeTimeout has passed. It also ends if another incarnation of the agent answers.
func (x *exchange) tryUntil(ctx context.Context, f func(context.Context, *link.Link) bool) {
	limited, cancel := context.WithTimeout(ctx, outcomeTimeout)
	defer cancel()
	for limited.Err() == nil {
		l, err := x.d.directory.Link(limited, x.backend)
		if err == nil && l.Incarnation != x.location.Incarnation {
			return
		}
		if err == nil && f(limited, l) {
			return
		}
		timer := time.NewTimer(outcomeInterval)
		select {
		case <-limited.Done():
		case <-timer.C:
		}
		timer.Stop()
	}
}

func (d *Dispatcher) serviceRevision(service string) uint64 {
	return d.config.View().Version(resource.ServiceKey(service))
}
