package server

import (
	"context"
	"errors"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"baywall.example/agent/engine"
	"baywall.example/agent/record"
	"baywall.example/core/clock"
	"baywall.example/core/configuration"
	"baywall.example/core/contract"
	"baywall.example/core/link"
	"baywall.example/core/resource"
	"baywall.example/core/timeline"
	"baywall.example/core/vm"
	"baywall.example/core/wire"
)

const (
	// resumeGrace is how long an idempotent attempt keeps running without a reader.
	resumeGrace = 10 * time.Second
	// chunkSize is the maximum size of an answer chunk in one message, in bytes.
	chunkSize = 32 << 10
	// drainRetryAfter is the retry delay that a draining or overloaded agent returns.
	drainRetryAfter = 100 * time.Millisecond
)

// serveAttempt admits or refuses an attempt. An admitted attempt is run, or joined if it
// already runs, and its answer is streamed.
func (a *Server) serveAttempt(ctx context.Context, s *link.Stream, w *wire.Attempt) {
	id := contract.AttemptID{Request: contract.RequestID(w.GetRequestId()), Number: w.GetNumber()}
	now := time.Now()
	if r := a.admit(w, now); r != nil {
		a.refuse(s, id, r, w)
		return
	}
	var ticket *contract.Ticket
	if w.GetTicket() != nil {
		t := contract.TicketFromWire(w.GetTicket())
		ticket = &t
	}
	verdict := a.table.Accept(id, ticket, now)
	switch verdict.Action {
	case record.ActionRefuse:
		a.refuse(s, id, verdict.Refusal, w)
	case record.ActionJoin:
		a.stream(ctx, s, id, verdict.Attempt, 0, nil)
	default:
		a.run(ctx, s, verdict.Attempt, w)
	}
}

// admit runs the checks that precede recording an attempt and returns nil if they pass.
// Every refusal from here has the outcome not-run. An attempt that carries a ticket is
// never refused here, because an earlier presentation of the ticket may have run.
func (a *Server) admit(w *wire.Attempt, now time.Time) *contract.Refusal {
	if w.GetTicket() != nil {
		return nil // the record decides, also while draining
	}
	deadline := time.UnixMilli(w.GetDeadlineUnixMs())
	if now.After(deadline.Add(a.settings.Record.ClockSkew)) {
		return &contract.Refusal{Outcome: contract.NotRun, Reason: contract.ReasonDeadline}
	}
	if a.drains() {
		return &contract.Refusal{Outcome: contract.NotRun, Reason: contract.ReasonDraining, RetryAfter: drainRetryAfter}
	}
	if w.GetServiceRevision() < a.config.View().Version(resource.ServiceKey(w.GetService())) {
		return &contract.Refusal{Outcome: contract.NotRun, Reason: contract.ReasonStaleConfig}
	}
	if a.inFlight.Load() >= int64(a.settings.Engine.MaxInFlight) {
		return &contract.Refusal{Outcome: contract.NotRun, Reason: contract.ReasonOverload, RetryAfter: drainRetryAfter}
	}
	return nil
}

func (a *Server) refuse(s *link.Stream, id contract.AttemptID, r *contract.Refusal, w *wire.Attempt) {
	a.metrics.refused.Add(string(r.Reason), 1)
	out := refusal(id, r)
	if r.Reason == contract.ReasonStaleConfig {
		if rec, ok := a.config.Resource(resource.ServiceKey(w.GetService())); ok {
			out.Newer = append(out.Newer, configuration.RecordToWire(rec))
		}
	}
	a.recorder.Record(timeline.Event{
		Kind: timeline.KindRefused, Request: id.String(),
		Choice: string(r.Outcome), Reason: string(r.Reason), Subject: w.GetService(),
	})
	_ = s.SendReply(&wire.Reply{Body: &wire.Reply_Refusal{Refusal: out}})
}

// run hands the attempt over to the backend server and streams its answer. It does not
// hand over if the stream is known to have ended: an attempt that waited while this
// process was paused, and was abandoned meanwhile, should not run. The end of the stream
// may be detected too late for that, so it does not prove "not-run".
func (a *Server) run(ctx context.Context, s *link.Stream, at *record.Attempt, w *wire.Attempt) {
	until := time.UnixMilli(w.GetDeadlineUnixMs()).Add(2 * a.settings.Record.ClockSkew)
	if w.GetTicket() != nil && a.draining.Load() {
		a.withdraw(s, at, w, until, drainRefusal(contract.ReasonDraining))
		return
	}
	remaining := time.Until(time.UnixMilli(w.GetDeadlineUnixMs()))
	engineCtx, cancel := clock.WithDeadline(context.Background(), clock.Now().Add(remaining))
	streamCtx, stop := context.WithCancel(ctx)
	defer stop()
	window := newAnswerWindow(w.GetWindow(), 0)
	a.watchReader(s, window, func(canceled bool) {
		stop()
		if canceled && w.GetIdempotent() {
			cancel()
		}
	})
	if streamCtx.Err() != nil {
		cancel()
		a.withdraw(s, at, w, until, drainRefusal(contract.ReasonLinkLost))
		return
	}
	if r := a.checkBackend(); r != nil {
		cancel()
		a.withdraw(s, at, w, until, r)
		return
	}
	if !a.table.HandOver(at) {
		cancel()
		a.refuse(s, at.ID, &contract.Refusal{Outcome: contract.NotRun, Reason: contract.ReasonTombstoned}, w)
		return
	}
	a.active.enter()
	a.inFlight.Add(1)
	a.metrics.handedOver.Add(1)
	ended := make(chan struct{})
	finish := func() {
		close(ended)
		cancel()
		a.inFlight.Add(-1)
		a.active.leave()
	}
	if resp := a.begin(engineCtx, at, w, until); resp != nil {
		a.workers.Go(func() {
			defer finish()
			a.produce(engineCtx, at, resp)
		})
	} else {
		finish()
	}
	if a.stream(streamCtx, s, at.ID, at, 0, window) {
		return
	}
	a.awaitResume(at, cancel, w.GetIdempotent(), ended)
}

// withdraw refuses an accepted attempt that was not handed over to the backend server.
func (a *Server) withdraw(s *link.Stream, at *record.Attempt, w *wire.Attempt, until time.Time, r *contract.Refusal) {
	a.table.Withdraw(at, until)
	a.refuse(s, at.ID, r, w)
}

func drainRefusal(reason contract.Reason) *contract.Refusal {
	return &contract.Refusal{Outcome: contract.NotRun, Reason: reason, RetryAfter: drainRetryAfter}
}

// watchReader passes on what the entry VM acknowledges until its Cancel or the end of the stream, then
// calls onGone: nobody reads the answer any more.
func (a *Server) watchReader(s *link.Stream, window *answerWindow, onGone func(canceled bool)) {
	a.workers.Go(func() {
		for {
			call, err := s.RecvCall()
			if err != nil || call.GetAcknowledge() == nil {
				onGone(err == nil && call.GetCancel() != nil)
				return
			}
			window.acknowledge(call.GetAcknowledge().GetOffset())
		}
	})
}

// awaitResume handles an attempt that lost its reader. A non-idempotent attempt runs to
// its end. An idempotent one can be resumed within resumeGrace; if it has no reader by
// then, it is canceled.
func (a *Server) awaitResume(at *record.Attempt, cancel context.CancelFunc, idempotent bool, ended <-chan struct{}) {
	if !idempotent {
		return
	}
	timer := time.NewTimer(resumeGrace)
	defer timer.Stop()
	select {
	case <-ended:
	case <-timer.C:
		if at.Answer.Readers() == 0 {
			cancel()
		}
	}
}

// begin sends the attempt to the backend server and stores the head of the answer, and
// the body too if it is short. It returns the response if the body is still to be read.
func (a *Server) begin(ctx context.Context, at *record.Attempt, w *wire.Attempt, until time.Time) *http.Response {
	sent := clock.Now()
	resp, err := a.engine.Do(ctx, engine.Request{
		ID: at.ID.String(), Method: w.GetMethod(), Path: w.GetPath(), Headers: w.GetHeaders(),
		Body: w.GetBody(), Idempotent: w.GetIdempotent(), Priority: int(w.GetPriority()),
	})
	if err != nil {
		at.Answer.Finish(err)
		if eris.Is(err, engine.ErrDial) {
			a.table.Withdraw(at, until)
		} else {
			a.table.Finish(at, time.Now())
		}
		return nil
	}
	a.applyNotice(resp, at.ID, sent)
	head := record.Head{Status: resp.StatusCode, Headers: answerHeaders(resp.Header)}
	if resp.ContentLength < 0 || resp.ContentLength > chunkSize {
		at.Answer.SetHead(head)
		return resp
	}
	defer resp.Body.Close()
	body := make([]byte, resp.ContentLength)
	n, err := io.ReadFull(resp.Body, body)
	if err != nil {
		err = a.brokenAnswerError(ctx, err)
	}
	at.Answer.SetAll(head, body[:n], err)
	a.table.Finish(at, time.Now())
	return nil
}

// produce reads the body of an answer into the record.
func (a *Server) produce(ctx context.Context, at *record.Attempt, resp *http.Response) {
	defer resp.Body.Close()
	err := copyAnswer(ctx, at.Answer, resp.Body)
	if err != nil {
		err = a.brokenAnswerError(ctx, err)
	}
	at.Answer.Finish(err)
	a.table.Finish(at, time.Now())
}

// brokenAnswerError returns the error for an answer that broke off after its head.
func (a *Server) brokenAnswerError(ctx context.Context, cause error) error {
	var ended *engine.EndedError
	if err := a.engine.ClassifyFailure(ctx, cause); errors.As(err, &ended) {
		return ended
	}
	return eris.Wrapf(record.ErrAborted, "%v", cause)
}

// chunks is a pool of buffers of chunkSize bytes.
var chunks = sync.Pool{New: func() any { return new([chunkSize]byte) }}

func copyAnswer(ctx context.Context, answer *record.Answer, body io.Reader) error {
	buf := chunks.Get().(*[chunkSize]byte)
	defer chunks.Put(buf)
	for {
		n, err := body.Read(buf[:])
		if n > 0 {
			if err := answer.Append(ctx, buf[:n]); err != nil {
				return eris.Wrapf(record.ErrAborted, "%v", err)
			}
		}
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return eris.Wrapf(record.ErrAborted, "%v", err)
		}
	}
}

// answerHeaders returns the end-to-end headers of an answer.
func answerHeaders(h http.Header) []*wire.Header {
	out := make([]*wire.Header, 0, len(h))
	for name, values := range h {
		if contract.HopByHop(name) {
			continue
		}
		for _, v := range values {
			out = append(out, &wire.Header{Name: name, Value: v})
		}
	}
	return out
}

// stream sends an attempt's answer from the offset on to an entry VM, within the window unless that is
// nil. It reports false if the entry VM did not receive all of it and may resume.
func (a *Server) stream(ctx context.Context, s *link.Stream, to contract.AttemptID, at *record.Attempt, offset int64, window *answerWindow) bool {
	reader := at.Answer.Attach(offset)
	defer reader.Detach()
	head, err := reader.Head(ctx)
	if err != nil {
		return a.sendFailure(ctx, s, to, err)
	}
	err = s.QueueReply(&wire.Reply{Body: &wire.Reply_Head{Head: &wire.AnswerHead{
		RequestId: string(to.Request), Number: to.Number, Status: int32(head.Status), Headers: head.Headers, Windowed: window != nil,
	}}})
	if err != nil {
		return false
	}
	buf := chunks.Get().(*[chunkSize]byte)
	defer chunks.Put(buf)
	for {
		if !reader.Ready() && s.Flush() != nil {
			return false
		}
		n, done, err := reader.Next(ctx, buf[:])
		if err != nil {
			return a.sendFailure(ctx, s, to, err)
		}
		if done {
			end := &wire.AnswerEnd{RequestId: string(to.Request), Number: to.Number, Size: reader.Offset()}
			return s.SendReply(&wire.Reply{Body: &wire.Reply_End{End: end}}) == nil
		}
		if !window.isOpen(reader.Offset()) {
			if s.Flush() != nil || window.wait(ctx, reader.Offset()) != nil {
				return false
			}
		}
		chunk := &wire.AnswerChunk{RequestId: string(to.Request), Number: to.Number, Offset: reader.Offset() - int64(n), Data: buf[:n]}
		if !a.sendChunk(s, chunk) {
			return false
		}
	}
}

// sendChunk queues a short chunk, so that several share a write, and sends a long one at
// once.
func (a *Server) sendChunk(s *link.Stream, c *wire.AnswerChunk) bool {
	reply := &wire.Reply{Body: &wire.Reply_Chunk{Chunk: c}}
	if len(c.GetData()) < chunkSize/2 {
		return s.QueueReply(reply) == nil
	}
	return s.SendReply(reply) == nil
}

// sendFailure ends a stream whose answer cannot be completed. It reports false if the
// stream itself was canceled, in which case the answer may still be resumed.
func (a *Server) sendFailure(ctx context.Context, s *link.Stream, to contract.AttemptID, err error) bool {
	if ctx.Err() != nil {
		return false
	}
	r := &contract.Refusal{Outcome: contract.Unknown, Reason: contract.ReasonEngineFailed}
	var ended *engine.EndedError
	switch {
	case errors.As(err, &ended):
		r.EngineEnd = ended.Number
	case eris.Is(err, engine.ErrDial):
		r = &contract.Refusal{Outcome: contract.NotRun, Reason: contract.ReasonEngineUnreachable}
	case eris.Is(err, record.ErrTombstoned):
		r = &contract.Refusal{Outcome: contract.NotRun, Reason: contract.ReasonTombstoned}
	case eris.Is(err, record.ErrEvicted):
		r.Reason = contract.ReasonAnswerEvicted
	}
	a.metrics.refused.Add(string(r.Reason), 1)
	a.recorder.Record(timeline.Event{
		Kind: timeline.KindRefused, Request: to.String(), Choice: string(r.Outcome), Reason: err.Error(),
	})
	_ = s.SendReply(&wire.Reply{Body: &wire.Reply_Refusal{Refusal: refusal(to, r)}})
	return true
}

// serveResume streams the remainder of an answer to an entry VM that lost its link or
// took over from another entry VM.
func (a *Server) serveResume(ctx context.Context, s *link.Stream, w *wire.Resume) {
	id := contract.AttemptID{Request: contract.RequestID(w.GetRequestId()), Number: w.GetNumber()}
	at, ok := a.table.Find(id, vm.Incarnation(w.GetIncarnation()))
	if !ok {
		r := &contract.Refusal{Outcome: contract.Unknown, Reason: contract.ReasonUnknownAttempt}
		_ = s.SendReply(&wire.Reply{Body: &wire.Reply_Refusal{Refusal: refusal(id, r)}})
		return
	}
	a.recorder.Record(timeline.Event{Kind: timeline.KindResume, Request: id.String()})
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	window := newAnswerWindow(w.GetWindow(), w.GetOffset())
	a.watchReader(s, window, func(bool) { cancel() })
	a.stream(ctx, s, id, at, w.GetOffset(), window)
}

// wireFates maps the fates of attempts to their wire values.
var wireFates = map[record.Fate]wire.Fate{
	record.FateTombstoned: wire.Fate_FATE_TOMBSTONED,
	record.FateRunning:    wire.Fate_FATE_RUNNING,
	record.FateAnswered:   wire.Fate_FATE_ANSWERED,
	record.FateLost:       wire.Fate_FATE_LOST,
}

// serveFate answers a query about the fate of an attempt.
func (a *Server) serveFate(s *link.Stream, w *wire.FateQuery) {
	q := record.Query{
		ID:          contract.AttemptID{Request: contract.RequestID(w.GetRequestId()), Number: w.GetNumber()},
		Incarnation: vm.Incarnation(w.GetIncarnation()),
		Sent:        time.UnixMilli(w.GetSentUnixMs()),
		Deadline:    time.UnixMilli(w.GetDeadlineUnixMs()),
	}
	fate := wireFates[a.table.Fate(q, time.Now())]
	a.recorder.Record(timeline.Event{Kind: timeline.KindAttemptOutcome, Request: q.ID.String(), Choice: fate.String()})
	_ = s.SendReply(&wire.Reply{Body: &wire.Reply_Fate{Fate: &wire.FateReply{Fate: fate}}})
}
