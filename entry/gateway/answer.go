package gateway

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"

	"github.com/rs/zerolog"

	"baywall.example/core/bounded"
	"baywall.example/core/clock"
	"baywall.example/core/contract"
	"baywall.example/core/inbound"
	"baywall.example/entry/balance"
	"baywall.example/entry/retry"
	"baywall.example/entry/upstream"
)

// Header fields that a gateway adds to its own refusals.
const (
	headerOutcome = "Baywall-Outcome"
	headerReason  = "Baywall-Reason"
)

// unreservedBuffer is the size, in bytes, up to which an answer is buffered without room in the memory
// budget: it is part of the cost of the caller's connection.
const unreservedBuffer = 8 << 10

// maxBuffered is the size, in bytes, up to which an answer is buffered before any of it is
// sent to the caller. An answer that breaks off before that can be replaced by another
// attempt.
const maxBuffered = 256 << 10

// copyBuffer is the size, in bytes, of the buffer for the rest of an answer. It is small, as callers
// can make many answers wait by reading slowly.
const copyBuffer = 4 << 10

// bufferAnswer reads the start of an answer into memory, and reports whether it is the whole answer.
// It reads up to maxBuffered bytes, or less if the process has no room for them.
func (q *request) bufferAnswer(answer *upstream.Answer) (body []byte, whole bool, err error) {
	size := int64(unreservedBuffer)
	if answer.Length >= 0 {
		size = min(size, answer.Length+1) // one more than announced tells that it is the whole answer
	}
	body = make([]byte, size)
	n, err := io.ReadFull(answer.Body, body)
	if err == io.EOF || err == io.ErrUnexpectedEOF {
		return body[:n], true, nil
	}
	if err != nil || !inbound.Buffer(q.ctx, maxBuffered) {
		return body[:n], false, err
	}
	body = append(make([]byte, 0, maxBuffered), body[:n]...)
	more, err := io.ReadFull(answer.Body, body[n:maxBuffered])
	if err == io.EOF || err == io.ErrUnexpectedEOF {
		return body[:n+more], true, nil
	}
	return body[:n+more], false, err
}

// forwardAnswer forwards an answer that is not a stream.
func (q *request) forwardAnswer(ctx context.Context, answer *upstream.Answer, server *balance.Server, stream *streamState) attempt {
	body, whole, err := q.bufferAnswer(answer)
	if err != nil {
		return attempt{verdict: verdictLost, err: err}
	}
	if whole {
		if l, err := q.proveWhole(ctx, answer, server); err != nil {
			return attempt{verdict: verdictLost, err: err, liveness: l}
		}
	}
	if answer.Status >= http.StatusInternalServerError && whole {
		return attempt{verdict: verdictFailed, status: answer.Status, header: answer.Header, body: body}
	}
	if stream.headerSent {
		// A stream cannot be continued by an answer that is not a stream.
		return attempt{verdict: verdictCut, status: answer.Status}
	}
	q.firstAnswer = clock.Since(q.began)
	q.copyHeader(answer.Header)
	if whole {
		q.w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	}
	inbound.Forward(q.ctx)
	q.w.WriteHeader(answer.Status)
	if _, err := q.w.Write(body); err != nil {
		return attempt{verdict: verdictCallerLeft, err: err}
	}
	if whole {
		return attempt{verdict: verdictAnswered, status: answer.Status}
	}
	stream.headerSent = true
	body = nil // it was sent
	if _, err := io.CopyBuffer(writerOnly{q.w}, answer.Body, make([]byte, copyBuffer)); err != nil {
		return attempt{verdict: verdictCut, err: err}
	}
	if l, err := q.proveWhole(ctx, answer, server); err != nil {
		return attempt{verdict: verdictCut, err: err, liveness: l}
	}
	return attempt{verdict: verdictAnswered, status: answer.Status}
}

// writerOnly hides that a writer can read from another by itself, with a larger buffer.
type writerOnly struct{ io.Writer }

// copyHeader copies the backend server's header fields to the answer.
func (q *request) copyHeader(from http.Header) {
	h := q.w.Header()
	named := connectionFields(from)
	for name, values := range from {
		if !contract.HopByHop(name) && !named[name] && name != "Content-Length" {
			h[name] = values
		}
	}
	h["Date"] = nil
	if date := from["Date"]; date != nil {
		h["Date"] = date
	}
}

// finish ends a request for which no attempt produced an answer.
func (q *request) finish(d retry.Decision, a attempt, stream *streamState) {
	if stream.headerSent {
		q.abort(a)
		return
	}
	if a.verdict == verdictFailed {
		q.forwardFailure(a)
		return
	}
	q.refuse(statusOf(d.Refusal), d.Refusal)
}

// forwardFailure sends the backend server's own error answer to the caller.
func (q *request) forwardFailure(a attempt) {
	q.copyHeader(a.header)
	q.w.Header().Set("Content-Length", strconv.Itoa(len(a.body)))
	q.w.WriteHeader(a.status)
	_, err := q.w.Write(a.body)
	q.addLogFields(q.log.Info()).AnErr("write", err).Int("status", a.status).Msg("backend server's error answer forwarded")
}

// abort closes the connection in the middle of the answer, so that the caller cannot take
// the answer for complete.
func (q *request) abort(a attempt) {
	q.g.inst.aborted.Inc()
	q.addLogFields(q.log.Warn()).Str("verdict", a.verdict.String()).AnErr("cause", a.err).Msg("answer aborted")
	panic(http.ErrAbortHandler)
}

// callerLeft ends a request whose caller has disconnected.
func (q *request) callerLeft(stream *streamState) {
	q.g.inst.callerLeft.Inc()
	q.addLogFields(q.log.Info()).Bool("begun", stream.headerSent).Msg("caller left")
	panic(http.ErrAbortHandler)
}

// statusOf returns the status of a refusal: 503 guarantees that the request did not run,
// 502 and 504 guarantee nothing.
func statusOf(r contract.Refusal) int {
	switch {
	case r.Outcome == contract.NotRun:
		return http.StatusServiceUnavailable
	case r.Reason == contract.ReasonDeadline:
		return http.StatusGatewayTimeout
	default:
		return http.StatusBadGateway
	}
}

// problem is the body of a refusal (RFC 9457).
type problem struct {
	Title   string `json:"title"`
	Status  int    `json:"status"`
	Outcome string `json:"outcome"`
	Reason  string `json:"reason"`
	Request string `json:"request"`
}

// refuse answers the request with a refusal by the gateway itself.
func (q *request) refuse(status int, r contract.Refusal) {
	q.g.inst.refused(string(r.Outcome), string(r.Reason))
	h := q.w.Header()
	h.Set(headerOutcome, string(r.Outcome))
	h.Set(headerReason, string(r.Reason))
	h.Set("Content-Type", "application/problem+json")
	if q.id != "" {
		h.Set(q.g.headers.RequestID, q.id)
	}
	if r.Reason == contract.ReasonOverload && r.Outcome == contract.NotRun {
		q.rememberRefusal()
		q.decidedOnSlot(true, clock.Now())
	}
	after := q.retryAfter(r)
	if status == http.StatusServiceUnavailable {
		h.Set("Retry-After", strconv.FormatFloat(after.Seconds(), 'f', 3, 64))
	}
	q.w.WriteHeader(status)
	err := json.NewEncoder(q.w).Encode(problem{
		Title: http.StatusText(status), Status: status, Outcome: string(r.Outcome), Reason: string(r.Reason), Request: q.id,
	})
	e := q.addLogFields(q.log.Info())
	if j := q.quarantined; j != nil {
		e = e.Stringer("suspect", j.Fingerprint).Int("ends", j.Ends).Dur("latest_end", j.Since)
	}
	if s := q.refusalSituation; s != nil {
		e = e.Dur("back", s.RecoversIn).Int("late_waiting", s.Waiting).Int("late_served", s.Taken).Float64("late_room", s.Quota)
	}
	if s := q.slotRefusal; s != nil {
		e = e.Int("queue_level", int(s.Level)).Int("queue_position", s.Position).Int("ahead_elsewhere", s.Others).Dur("expected_wait", s.Wait)
	}
	e.AnErr("write", err).Int("status", status).Str("outcome", string(r.Outcome)).
		Str("reason", string(r.Reason)).Dur("retry_after", after).Msg("request refused")
}

// addLogFields adds the state on which the handling of the request was based to a log
// event.
func (q *request) addLogFields(e *zerolog.Event) *zerolog.Event {
	e = e.Str("request", bounded.Text(q.id)).Uint64("catalog", q.version).Uint64("era", q.decidedState.at.Term).Uint64("revision", q.decidedState.at.Revision).
		Str("state_from", q.decidedState.source()).Dur("state_age", clock.Since(q.decidedState.appliedAt)).
		Dur("elapsed", clock.Since(q.began)).Int("attempts", q.sequence.Attempts())
	if q.route != nil {
		e = e.Str("route", q.route.Name).Str("service", q.service).Str("team", q.team).
			Dur("limit", q.timeout).Bool("interrupted", q.interrupted).Bool("repeated", q.repeated).Dur("waited", q.waited)
	} else {
		e = e.Str("host", bounded.Text(q.r.Host)).Str("path", bounded.Text(q.r.URL.Path))
	}
	if q.atLimit > 0 {
		e = e.Int("servers_at_limit", q.atLimit)
	}
	if q.backingOff > 0 {
		e = e.Int("servers_resting", q.backingOff)
	}
	if d := q.budget.decided; d != nil {
		e = d.addLogFields(e)
	}
	if l := q.serverLimit; l != nil {
		e = e.Float64("server_limit", l.Limit).Str("limit_from", l.Source).Dur("limit_age", clock.Since(l.At))
	}
	if q.server != "" {
		e = e.Str("server", q.server).Int("server_load", q.serverLoad).Dur("server_pace", q.serverEventGap).
			Uint64("backends", q.sent.at.Revision).Str("backends_from", q.sent.source()).Dur("backends_age", clock.Since(q.sent.appliedAt))
	}
	return e
}

func (q *request) logAnswer(number uint32) {
	q.g.inst.answered(q.route.Name, q.firstAnswer)
	e := q.addLogFields(q.log.Info()).Dur("first", q.firstAnswer)
	if q.events > 0 {
		q.g.inst.gap(q.route.Name, q.longestGap)
		e = e.Int("events", q.events).Dur("longest_gap", q.longestGap)
	}
	if q.unframed {
		e = e.Bool("unframed", true).Stringer("liveness", q.endLiveness.State).Str("answered", q.endLiveness.Answered).
			Dur("liveness_age", clock.Since(q.endLiveness.Began))
	}
	e.Uint32("attempt", number).Str("punctuality", q.timeliness()).Msg("request answered")
}

// timeliness reports whether an answer met the route's objective and, for a stream, its gap
// target; if not, it names the first of them that was missed.
func (q *request) timeliness() string {
	first := q.firstAnswer
	if first == 0 {
		first = clock.Since(q.began)
	}
	switch {
	case q.route.Objective > 0 && first > q.route.Objective:
		return "late-first"
	case q.route.GapTarget > 0 && q.longestGap > q.route.GapTarget:
		return "late-gap"
	default:
		return "on-time"
	}
}

func (q *request) logAttempt(number uint32, c balance.Choice, a attempt) {
	e := q.addLogFields(q.log.Info()).Uint32("attempt", number).Str("verdict", a.verdict.String()).Int("answer_status", a.status)
	if a.backoff > 0 {
		e = e.Dur("rest", a.backoff)
	}
	if a.liveness.State != 0 {
		e = e.Stringer("liveness", a.liveness.State).Str("answered", a.liveness.Answered).Stringer("fingerprint", q.fingerprints()[0]).
			Str("method", q.r.Method).Str("target", bounded.Text(q.r.RequestURI)).Int("body_bytes", len(q.body)).Strs("prompt", q.g.adapter.PromptParts(q.r.Header))
	}
	if q.unframed {
		e = e.Bool("unframed", true)
	}
	e.AnErr("cause", a.err).Int("service_load", c.Load.InFlight).Int("service_slots", c.Load.Slots).Msg("attempt ended")
}
