package gateway

import (
	"context"
	"errors"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"baywall.example/core/clock"
	"baywall.example/core/contract"
	"baywall.example/core/ratelimit"
	"baywall.example/entry/balance"
	"baywall.example/entry/catalog"
	"baywall.example/entry/quarantine"
	"baywall.example/entry/retry"
	"baywall.example/entry/upstream"
)

// verdict is the result of one attempt.
type verdict int

// Verdicts of an attempt.
const (
	verdictAnswered   verdict = iota + 1 // the caller has received its answer
	verdictNotSent                       // the request did not reach the backend server
	verdictRejected                      // the backend server reported that the request did not run
	verdictFailed                        // the request ran, and the backend server answered with an error
	verdictLost                          // the request may have run
	verdictCut                           // like verdictLost, after the caller has received a part of the answer
	verdictCallerLeft                    // the caller disconnected
	verdictDeadline                      // the deadline passed; the request may have run
	verdictMoved                         // the attempt was given up to resume the stream at another server
	verdictOutdated                      // the request was not sent, as the decision to send it was outdated
	verdictAtLimit                       // the request was not sent, as the server is at a limit
	verdictBackoff                       // the request was not sent, as the server is in backoff
	verdictOverBudget                    // the request was not sent, as the retry budget is used up
)

var verdictNames = [...]string{"", "answered", "not-sent", "rejected", "failed", "lost", "cut", "caller-left", "deadline", "moved", "outdated", "at-limit", "resting", "over-budget"}

func (v verdict) String() string { return verdictNames[v] }

// withheld reports whether the request was deliberately not sent, because a reason against
// it became known after the server had been picked.
func (v verdict) withheld() bool {
	return v == verdictOutdated || v == verdictAtLimit || v == verdictBackoff || v == verdictOverBudget
}

// attempt is the result of one attempt at one backend server.
type attempt struct {
	verdict verdict
	// status, header and body are the answer to an attempt that failed.
	status  int
	header  http.Header
	body    []byte
	err     error
	reason  contract.Reason
	backoff time.Duration // backoff that the server requested
	// liveness is that of the backend server after a lost attempt, if it was checked.
	liveness upstream.Liveness
}

// dispatch attempts the request until it is answered or refused.
func (q *request) dispatch() {
	ctx, cancel := clock.WithDeadline(q.ctx, q.deadline)
	defer cancel()
	stream := &streamState{}
	last := attempt{verdict: verdictNotSent} // the latest one that was sent
	q.recordDemand()
	for {
		choice, found := q.awaitServer(ctx)
		if found != balance.Available {
			q.giveUp(found, stream)
			return
		}
		number := q.sequence.Begin()
		use := q.beginUse(choice)
		a := q.try(ctx, choice, stream)
		q.state.slots.released(clock.Now())
		q.endUse(use, a.verdict)
		q.g.inst.attempted(q.service, a.verdict.String())
		q.recordOutcome(ctx, choice.Server, &a)
		q.quarantineAttempt.Release()
		if a.verdict == verdictAnswered {
			q.logAnswer(number)
			return
		}
		q.logAttempt(number, choice, a)
		if a.verdict == verdictCallerLeft {
			q.callerLeft(stream)
			return
		}
		if a.verdict == verdictMoved {
			continue
		}
		if a.verdict.withheld() {
			q.sequence.UndoBegin()
			if a.verdict == verdictOverBudget {
				q.refuseRetry(last, stream)
				return
			}
			continue
		}
		last = a
		decision := q.next(a)
		if decision.Action != retry.ActionRetry {
			q.finish(decision, a, stream)
			return
		}
		q.g.inst.retries.Inc()
		q.prepareRetry(choice, a.verdict)
	}
}

// giveUp ends a request for which no server was found.
func (q *request) giveUp(found balance.Availability, stream *streamState) {
	if q.ctx.Err() != nil {
		q.callerLeft(stream)
		return
	}
	if q.denied != nil {
		q.deny(stream)
		return
	}
	refusal := contract.Refusal{Reason: contract.ReasonNoBackend}
	switch {
	case q.quarantined != nil:
		refusal.Reason = contract.ReasonQuarantined
	case found == balance.Evacuated:
		refusal.Reason = contract.ReasonEvacuated
	case found == balance.Leaving:
		refusal.Reason = contract.ReasonDraining
	case found == balance.InBackoff:
		refusal.Reason = contract.ReasonBackoff
	case found == balance.Limited:
		refusal.Reason = contract.ReasonRateLimit
	case found == balance.AllBusy:
		refusal.Reason = contract.ReasonOverload
	}
	q.finish(q.sequence.Next(retry.EventNotSent, refusal, q.deadline), attempt{verdict: verdictNotSent}, stream)
}

// refuseRetry ends a request that is not sent once more, as the retry budget is used up. The
// last attempt is the latest one that was sent.
func (q *request) refuseRetry(last attempt, stream *streamState) {
	refusal := contract.Refusal{Reason: contract.ReasonRetryBudget}
	q.finish(q.sequence.Next(retry.EventNotSent, refusal, q.deadline), last, stream)
}

// prepareRetry records what the failed attempt means for the next one.
func (q *request) prepareRetry(c balance.Choice, v verdict) {
	switch v {
	case verdictRejected:
		q.rejected = true
	case verdictNotSent:
		q.excluded[c.Server.ID] = true
	default:
		q.excluded[c.Server.ID] = true
		q.interrupted = true
	}
}

// next decides what follows an attempt that produced no answer.
func (q *request) next(a attempt) retry.Decision {
	now := clock.Now()
	switch a.verdict {
	case verdictNotSent:
		return q.sequence.Next(retry.EventNotSent, contract.Refusal{Reason: contract.ReasonEngineUnreachable}, now)
	case verdictRejected:
		return q.sequence.Next(retry.EventRefused, contract.Refusal{Outcome: contract.NotRun, Reason: a.reason}, now)
	case verdictDeadline:
		return q.sequence.Next(retry.EventRefused, contract.Refusal{Outcome: contract.Unknown, Reason: contract.ReasonDeadline}, q.deadline)
	default:
		return q.sequence.Next(retry.EventRefused, contract.Refusal{Outcome: contract.Unknown, Reason: contract.ReasonEngineFailed}, now)
	}
}

// try makes one attempt at the chosen server.
func (q *request) try(ctx context.Context, c balance.Choice, stream *streamState) attempt {
	defer c.Release()
	q.server, q.serverLoad, q.serverEventGap, q.sent = c.Server.ID, c.InFlight, c.StreamGap, q.g.applied()
	q.serverLimit = q.g.limits.limitOf(c.Server)
	q.unframed = false
	began := clock.Now()
	q.quarantineAttempt.Send(quarantine.ServerKey(c.Server.Incarnation()), began)
	if q.route.Kind == catalog.KindStream {
		c.Server.StreamGap.Sent(began)
		answered := sync.OnceFunc(c.Server.StreamGap.Answered)
		defer answered()
		stream.onFirstEvent = func() {
			answered()
			q.recordFirstAnswer(c, began)
		}
	}
	sent := began
	answer, err := c.Server.Pool.Do(ctx, q.upstreamRequest(ctx, c, stream, &sent))
	switch {
	case errors.Is(err, errOutdated):
		return q.classify(ctx, c, attempt{verdict: verdictOutdated, err: err})
	case errors.Is(err, ratelimit.ErrClosed):
		return q.classify(ctx, c, attempt{verdict: verdictAtLimit, err: err})
	case errors.Is(err, balance.ErrInBackoff):
		return q.classify(ctx, c, attempt{verdict: verdictBackoff, err: err})
	case errors.Is(err, errOverBudget):
		return q.classify(ctx, c, attempt{verdict: verdictOverBudget, err: err})
	}
	if err != nil {
		return q.classify(ctx, c, attempt{verdict: lostOrNotSent(err), err: err, reason: contract.ReasonEngineUnreachable})
	}
	defer answer.Close()
	q.recordSkipped(answer)
	reported := q.g.receiveNotice(c.Server, answer, sent, viaRequest)
	if a, done := q.rejection(answer); done {
		a.backoff = reported.Backoff
		return q.classify(ctx, c, a)
	}
	q.g.registry.Accepted(c.Server, clock.Now())
	q.unframed = !answer.Framed()
	q.g.suspects.Answered(quarantine.ServerKey(c.Server.Incarnation()), answer.Opened, began)
	var a attempt
	if q.route.Kind == catalog.KindStream && answer.Status == http.StatusOK {
		a = q.forwardStream(ctx, answer, c.Server, stream)
	} else {
		a = q.forwardAnswer(ctx, answer, c.Server, stream)
	}
	if a.verdict == verdictAnswered && c.InFlight < c.Server.Slots {
		q.g.registry.RecordServiceTime(q.service, clock.Since(began))
	}
	q.recordSpeed(c, a, sent)
	if a.verdict == verdictAnswered && q.route.Kind != catalog.KindStream {
		q.recordFirstAnswer(c, began)
	}
	return q.classify(ctx, c, a)
}

// recordSkipped records answers on the connection that did not belong to the request.
func (q *request) recordSkipped(answer *upstream.Answer) {
	if answer.Skipped == 0 {
		return
	}
	q.g.inst.skipped.Add(answer.Skipped)
	q.addLogFields(q.log.Warn()).Int("skipped", answer.Skipped).Msg("answers that belong to no request skipped")
}

// recordFirstAnswer records the first answer to an attempt, or the first event of a stream.
func (q *request) recordFirstAnswer(c balance.Choice, began time.Time) {
	now := clock.Now()
	if outageLength := q.state.observeFirstAnswer(now.Sub(began), c.InFlight < c.Server.Slots, now); outageLength > 0 {
		q.log.Info().Str("service", q.service).Str("server", c.Server.ID).Dur("stood", outageLength).Msg("service serves again")
	}
}

func lostOrNotSent(err error) verdict {
	if errors.Is(err, upstream.ErrNotSent) {
		return verdictNotSent
	}
	return verdictLost
}

// classify distinguishes an attempt that ended because of the caller or its deadline from
// one that ended because of the backend server, and records the latter in the registry.
func (q *request) classify(ctx context.Context, c balance.Choice, a attempt) attempt {
	if a.verdict == verdictMoved {
		q.g.registry.Succeeded(c.Server)
		return a
	}
	failed := a.verdict != verdictAnswered && a.verdict != verdictRejected && a.verdict != verdictFailed
	if failed && ctx.Err() != nil {
		q.g.registry.Released(c.Server)
		switch {
		case q.ctx.Err() != nil:
			a.verdict = verdictCallerLeft
		case a.verdict != verdictNotSent && !a.verdict.withheld() && a.verdict != verdictCut:
			a.verdict = verdictDeadline
		}
		return a
	}
	switch a.verdict {
	case verdictAnswered:
		q.g.registry.Succeeded(c.Server)
	case verdictOutdated, verdictAtLimit, verdictBackoff, verdictOverBudget:
		q.g.registry.Released(c.Server)
	case verdictRejected:
		switch {
		case a.reason == contract.ReasonAgentReplaced:
			q.g.registry.Replaced(c.Server)
		case a.backoff > 0:
			q.g.registry.Released(c.Server) // the server is excluded for the backoff that it requested
		default:
			q.g.registry.Rejected(c.Server, clock.Now())
		}
	default:
		if errors.Is(a.err, upstream.ErrConnectionRefused) {
			q.g.registry.Ended(c.Server, clock.Now())
			break
		}
		q.g.registry.Failed(c.Server, a.verdict.String(), clock.Now())
	}
	return a
}

// upstreamRequest returns the request to be sent. When it is sent, it stores the time in
// sent.
func (q *request) upstreamRequest(ctx context.Context, c balance.Choice, stream *streamState, sent *time.Time) *upstream.Request {
	h := q.header.Clone()
	left := max(0, clock.Until(q.deadline))
	h.Set(q.g.headers.Deadline, strconv.FormatInt(left.Milliseconds(), 10))
	h.Set(q.g.headers.ExpectServer, c.Server.ID)
	if stream.lastID != "" {
		h.Set(q.g.headers.ResumeAfter, stream.lastID)
	}
	return &upstream.Request{
		Method: q.r.Method, Target: q.r.RequestURI, Host: q.r.Host, Header: h, Body: q.body,
		IDHeader: q.g.headers.RequestID, Rejects: q.g.rejects, Fresh: !q.route.Idempotent(),
		Check: func() error {
			err := q.checkAtSend(ctx, c.Server)
			*sent = clock.Now()
			return err
		},
	}
}

// rejects reports whether an answer says that the request did not run.
func (g *Gateway) rejects(status int, h http.Header) bool {
	if status == http.StatusMisdirectedRequest {
		return true
	}
	return h.Get(g.headers.NotRun) != "" && (status >= http.StatusInternalServerError || status == http.StatusTooManyRequests)
}

// rejection recognizes an answer which says that the request did not run.
func (q *request) rejection(answer *upstream.Answer) (attempt, bool) {
	if !q.g.rejects(answer.Status, answer.Header) {
		return attempt{}, false
	}
	reason := contract.ReasonOverload
	if answer.Status == http.StatusMisdirectedRequest {
		reason = contract.ReasonAgentReplaced
	}
	return attempt{verdict: verdictRejected, status: answer.Status, reason: reason}, true
}

// splitList splits a header's comma-separated value.
func splitList(value string) []string {
	parts := strings.Split(value, ",")
	for i := range parts {
		parts[i] = strings.TrimSpace(parts[i])
	}
	return parts
}
