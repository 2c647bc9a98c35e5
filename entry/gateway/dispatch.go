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

// verdict is how one attempt ended.
type verdict int

// Verdicts of an attempt.
const (
	verdictAnswered verdict = iota + 1 // the caller has its answer
	verdictNotSent                     // it did not reach the backend server
	verdictRejected                    // the backend server says that it did not run
	verdictFailed                      // it ran, and the backend server answered with an error
	verdictLost                        // it may have run
	verdictCut                         // as lost, after the caller has seen a part
	verdictLeft                        // the caller left
	verdictDeadline                    // the time was up; it may have run
	verdictMoved                       // it was given up to go on elsewhere
	verdictOutdated                    // it was not sent, as the decision to send it was outdated
	verdictAtLimit                     // it was not sent, as the server is at a limit
	verdictResting                     // it was not sent, as the server rests
)

var verdictNames = [...]string{"", "answered", "not-sent", "rejected", "failed", "lost", "cut", "caller-left", "deadline", "moved", "outdated", "at-limit", "resting"}

func (v verdict) String() string { return verdictNames[v] }

// heldBack reports whether the request was not sent to the server as something became known that
// speaks against it.
func (v verdict) heldBack() bool {
	return v == verdictOutdated || v == verdictAtLimit || v == verdictResting
}

// attempt is one try at one backend server.
type attempt struct {
	verdict verdict
	// status, header and body are the answer of a failed attempt.
	status int
	header http.Header
	body   []byte
	err    error
	reason contract.Reason
	rest   time.Duration // that the server asked for
	// liveness of the backend server after a lost attempt, 0 = not looked at.
	liveness upstream.Liveness
}

// dispatch attempts the request until it has an end.
func (q *request) dispatch() {
	ctx, cancel := clock.WithDeadline(q.ctx, q.deadline)
	defer cancel()
	stream := &streamState{}
	for {
		choice, found := q.await(ctx)
		if found != balance.Available {
			q.giveUp(found, stream)
			return
		}
		if !q.charge() {
			choice.Release()
			q.suspect.Release()
			q.giveUp(balance.AllBusy, stream)
			return
		}
		number := q.sequence.Begin()
		a := q.try(ctx, choice, stream)
		q.g.inst.attempted(q.service, a.verdict.String())
		q.noteEnd(ctx, choice.Server, &a)
		q.suspect.Release()
		if a.verdict == verdictAnswered {
			q.logAnswer(number)
			return
		}
		q.logAttempt(number, choice, a)
		if a.verdict == verdictLeft {
			q.left(stream)
			return
		}
		if a.verdict == verdictMoved {
			continue
		}
		if a.verdict.heldBack() {
			q.sequence.Void()
			continue
		}
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
		q.left(stream)
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
	case found == balance.Resting:
		refusal.Reason = contract.ReasonRest
	case found == balance.Limited:
		refusal.Reason = contract.ReasonRateLimit
	case found == balance.AllBusy:
		refusal.Reason = contract.ReasonOverload
	}
	q.finish(q.sequence.Next(retry.EventNotSent, refusal, q.deadline), attempt{verdict: verdictNotSent}, stream)
}

// prepareRetry notes what the attempt means for the next one.
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

// deferredBudget asks for a retry when the decision falls and uses it up when the
// attempt begins: until then the request may be refused for lack of a server.
type deferredBudget struct {
	share *retry.Share
	owed  bool
}

// Take reports whether there is a retry to use up.
func (b *deferredBudget) Take() bool {
	b.owed = b.share.Has()
	return b.owed
}

// charge uses up the retry that the next attempt needs.
func (q *request) charge() bool {
	if !q.budget.owed {
		return true
	}
	q.budget.owed = false
	return q.budget.share.Take()
}

// next decides what follows an attempt without an answer.
func (q *request) next(a attempt) retry.Decision {
	now := clock.Now()
	switch a.verdict {
	case verdictNotSent:
		return q.sequence.Next(retry.EventNotSent, contract.Refusal{Reason: contract.ReasonEngineDial}, now)
	case verdictRejected:
		return q.sequence.Next(retry.EventRefused, contract.Refusal{Outcome: contract.NotRun, Reason: a.reason}, now)
	case verdictDeadline:
		return q.sequence.Next(retry.EventRefused, contract.Refusal{Outcome: contract.Unknown, Reason: contract.ReasonDeadline}, q.deadline)
	default:
		return q.sequence.Next(retry.EventRefused, contract.Refusal{Outcome: contract.Unknown, Reason: contract.ReasonEngineFailed}, now)
	}
}

// try makes one attempt.
func (q *request) try(ctx context.Context, c balance.Choice, stream *streamState) attempt {
	defer c.Release()
	q.server, q.serverLoad, q.serverPace, q.sent = c.Server.ID, c.InFlight, c.Pace, q.g.knows()
	q.serverLimit = q.g.limits.limitOf(c.Server)
	began := clock.Now()
	q.suspect.Send(quarantine.ServerKey(c.Server.Incarnation()), began)
	if q.route.Kind == catalog.KindStream {
		c.Server.Pace.Sent(began)
		answered := sync.OnceFunc(c.Server.Pace.Answered)
		defer answered()
		stream.onEvent = func() {
			answered()
			q.noteFirst(c, began)
		}
	}
	sent := began
	answer, err := c.Server.Pool.Do(ctx, q.upstreamRequest(ctx, c, stream, &sent))
	switch {
	case errors.Is(err, errOutdated):
		return q.judge(ctx, c, attempt{verdict: verdictOutdated, err: err})
	case errors.Is(err, ratelimit.ErrClosed):
		return q.judge(ctx, c, attempt{verdict: verdictAtLimit, err: err})
	case errors.Is(err, balance.ErrResting):
		return q.judge(ctx, c, attempt{verdict: verdictResting, err: err})
	}
	if err != nil {
		return q.judge(ctx, c, attempt{verdict: lostOrNotSent(err), err: err, reason: contract.ReasonEngineDial})
	}
	defer answer.Close()
	said := q.g.hear(c.Server, answer, sent, askedRequest)
	if a, done := q.rejection(answer); done {
		a.rest = said.Rest
		return q.judge(ctx, c, a)
	}
	q.g.registry.Accepted(c.Server, clock.Now())
	q.g.suspects.Answered(quarantine.ServerKey(c.Server.Incarnation()), answer.Opened, began)
	var a attempt
	if q.route.Kind == catalog.KindStream && answer.Status == http.StatusOK {
		a = q.forwardStream(ctx, answer, c.Server, stream)
	} else {
		a = q.forwardAnswer(answer, stream)
	}
	if a.verdict == verdictAnswered && c.InFlight < c.Server.Slots {
		q.g.registry.Occupied(q.service, clock.Since(began))
	}
	if a.verdict == verdictAnswered && q.route.Kind != catalog.KindStream {
		q.noteFirst(c, began)
	}
	return q.judge(ctx, c, a)
}

// noteFirst notes the first answer to an attempt.
func (q *request) noteFirst(c balance.Choice, began time.Time) {
	now := clock.Now()
	if stood := q.state.answered(now.Sub(began), c.InFlight < c.Server.Slots, now); stood > 0 {
		q.log.Info().Str("service", q.service).Str("server", c.Server.ID).Dur("stood", stood).Msg("service serves again")
	}
}

func lostOrNotSent(err error) verdict {
	if errors.Is(err, upstream.ErrNotSent) {
		return verdictNotSent
	}
	return verdictLost
}

// judge tells an end of the caller or of its time from one of the backend
// server, and notes the latter.
func (q *request) judge(ctx context.Context, c balance.Choice, a attempt) attempt {
	if a.verdict == verdictMoved {
		q.g.registry.Succeeded(c.Server)
		return a
	}
	failed := a.verdict != verdictAnswered && a.verdict != verdictRejected && a.verdict != verdictFailed
	if failed && ctx.Err() != nil {
		q.g.registry.Released(c.Server)
		switch {
		case q.ctx.Err() != nil:
			a.verdict = verdictLeft
		case a.verdict != verdictNotSent && !a.verdict.heldBack() && a.verdict != verdictCut:
			a.verdict = verdictDeadline
		}
		return a
	}
	switch a.verdict {
	case verdictAnswered:
		q.g.registry.Succeeded(c.Server)
	case verdictOutdated, verdictAtLimit, verdictResting:
		q.g.registry.Released(c.Server)
	case verdictRejected:
		switch {
		case a.reason == contract.ReasonReplacedAgent:
			q.g.registry.Replaced(c.Server)
		case a.rest > 0:
			q.g.registry.Released(c.Server) // it said until when it is left out
		default:
			q.g.registry.Rejected(c.Server, clock.Now())
		}
	default:
		if errors.Is(a.err, upstream.ErrEnded) {
			q.g.registry.Ended(c.Server, clock.Now())
			break
		}
		q.g.registry.Failed(c.Server, a.verdict.String(), clock.Now())
	}
	return a
}

// upstreamRequest returns what is sent. The time at which it is goes to sent.
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
		IDHeader: q.g.headers.RequestID, Fresh: !q.route.Idempotent(),
		Check: func() error {
			err := q.mayGoNow(ctx, c.Server)
			*sent = clock.Now()
			return err
		},
	}
}

// rejection recognizes an answer that says that the request did not run.
func (q *request) rejection(answer *upstream.Answer) (attempt, bool) {
	notRun := answer.Header.Get(q.g.headers.NotRun) != ""
	switch {
	case answer.Status == http.StatusMisdirectedRequest:
		return attempt{verdict: verdictRejected, status: answer.Status, reason: contract.ReasonReplacedAgent}, true
	case notRun && answer.Status >= http.StatusInternalServerError, notRun && answer.Status == http.StatusTooManyRequests:
		return attempt{verdict: verdictRejected, status: answer.Status, reason: contract.ReasonOverload}, true
	default:
		return attempt{}, false
	}
}

// splitList splits a header's comma-separated value.
func splitList(value string) []string {
	parts := strings.Split(value, ",")
	for i := range parts {
		parts[i] = strings.TrimSpace(parts[i])
	}
	return parts
}
