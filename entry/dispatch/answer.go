package dispatch

import (
	"context"
	"time"

	"github.com/rotisserie/eris"

	"baywall.example/core/answer"
	"baywall.example/core/clock"
	"baywall.example/core/configuration"
	"baywall.example/core/contract"
	"baywall.example/core/link"
	"baywall.example/core/timeline"
	"baywall.example/core/wire"
	"baywall.example/entry/retry"
)

// receive forwards an answer until it ends. Before the head has arrived, an agent that stops
// responding counts as a lost link.
func (x *exchange) receive(ctx context.Context, s *link.Stream) result {
	wake := func() { s.SetReadDeadline(time.Unix(1, 0)) }
	stopCaller := context.AfterFunc(ctx, wake)
	defer stopCaller()
	stopAlive := context.AfterFunc(x.backend.Alive(), wake)
	defer stopAlive()
	for {
		reply, err := s.RecvReply()
		if err != nil {
			return x.interrupted(ctx, s)
		}
		if x.headSent {
			stopAlive()
		}
		switch body := reply.GetBody().(type) {
		case *wire.Reply_Head:
			if err := checkHead(body.Head); err != nil {
				return x.malformed(s, err)
			}
			if err := x.head(ctx, s, body.Head, stopAlive); err != nil {
				return result{err: err}
			}
		case *wire.Reply_Chunk:
			if err := x.chunk(s, body.Chunk); err != nil {
				return result{err: err}
			}
		case *wire.Reply_End:
			if !x.isCurrent(body.End.GetRequestId(), body.End.GetNumber()) || body.End.GetSize() != x.offset {
				return x.interrupted(ctx, s)
			}
			return result{done: true}
		case *wire.Reply_Refusal:
			return x.refused(body.Refusal)
		default:
			return x.interrupted(ctx, s)
		}
	}
}

// checkHead returns answer.ErrMalformed if an agent passes on a head that no answer may have.
func checkHead(h *wire.AnswerHead) error {
	if err := answer.CheckStatus(int(h.GetStatus())); err != nil {
		return err
	}
	for _, f := range h.GetHeaders() {
		if err := answer.CheckName(f.GetName()); err != nil {
			return err
		}
	}
	return nil
}

// malformed returns the result of a malformed answer: its request may have run.
func (x *exchange) malformed(s *link.Stream, cause error) result {
	x.record(timeline.KindRefused, cause.Error())
	cancelAttempt(s)
	return result{event: retry.EventRefused, refusal: contract.Refusal{Outcome: contract.Unknown, Reason: contract.ReasonEngineFailed}}
}

// isCurrent reports whether a message belongs to the current attempt.
func (x *exchange) isCurrent(request string, number uint32) bool {
	return request == string(x.location.Attempt.Request) && number == x.location.Attempt.Number
}

func (x *exchange) head(ctx context.Context, s *link.Stream, h *wire.AnswerHead, stopAlive func() bool) error {
	if !x.isCurrent(h.GetRequestId(), h.GetNumber()) {
		return ErrAborted
	}
	if !stopAlive() && ctx.Err() == nil {
		s.SetReadDeadline(time.Time{}) // the agent was unresponsive, but it answers now
		context.AfterFunc(ctx, func() { s.SetReadDeadline(time.Unix(1, 0)) })
	}
	x.windowed, x.acknowledged = h.GetWindowed(), x.offset
	if x.headSent {
		return nil // resumed
	}
	x.headSent, x.status = true, int(h.GetStatus())
	if err := x.sink.Head(int(h.GetStatus()), h.GetHeaders(), x.location); err != nil {
		return x.cancelForCaller(s, err)
	}
	return nil
}

func (x *exchange) chunk(s *link.Stream, c *wire.AnswerChunk) error {
	if !x.isCurrent(c.GetRequestId(), c.GetNumber()) || c.GetOffset() != x.offset {
		return ErrAborted
	}
	x.offset += int64(len(c.GetData()))
	if err := x.sink.Data(c.GetData()); err != nil {
		return x.cancelForCaller(s, err)
	}
	x.acknowledge(s)
	return nil
}

// acknowledge tells the agent how much of a windowed answer was passed on, each time that it is half of
// the window.
func (x *exchange) acknowledge(s *link.Stream) {
	if !x.windowed || x.offset-x.acknowledged < x.d.window/2 {
		return
	}
	x.acknowledged = x.offset
	// If it fails, the next message does, too.
	_ = s.SendCall(&wire.Call{Body: &wire.Call_Acknowledge{Acknowledge: &wire.Acknowledge{Offset: x.offset}}})
}

func (x *exchange) cancelForCaller(s *link.Stream, err error) error {
	cancelAttempt(s)
	return eris.Wrapf(ErrCallerGone, "%v", err)
}

// cancelAttempt tells the agent that nobody needs the answer.
func cancelAttempt(s *link.Stream) {
	_ = s.SendCall(&wire.Call{Body: &wire.Call_Cancel{Cancel: &wire.Cancel{}}})
	s.Abandon()
}

// interrupted returns the result of an answer that ended early: the caller disconnected, its
// deadline passed, or the link or the agent failed.
func (x *exchange) interrupted(ctx context.Context, s *link.Stream) result {
	if eris.Is(ctx.Err(), context.DeadlineExceeded) {
		cancelAttempt(s)
		return result{event: retry.EventOutcomeUnknown, refusal: contract.Refusal{Reason: contract.ReasonDeadline}}
	}
	if ctx.Err() != nil {
		return result{err: x.cancelForCaller(s, ctx.Err())}
	}
	if x.headSent {
		return result{event: retry.EventCut}
	}
	return result{event: retry.EventLost, refusal: contract.Refusal{Reason: contract.ReasonLinkLost}}
}

func (x *exchange) refused(w *wire.Refusal) result {
	if !x.isCurrent(w.GetRequestId(), w.GetNumber()) {
		return result{err: ErrAborted}
	}
	if len(w.GetNewer()) > 0 {
		b := configuration.Batch{Revision: x.d.config.Revision()}
		for _, rec := range w.GetNewer() {
			b.Records = append(b.Records, configuration.RecordFromWire(rec))
		}
		configuration.RecordChanges(x.d.recorder, x.d.config.Apply(b))
	}
	after := time.Duration(w.GetRetryAfterMs()) * time.Millisecond
	if reason := contract.Reason(w.GetReason()); reason == contract.ReasonRateLimit || reason == contract.ReasonBackoff {
		x.backoff = x.backend.SetBackoff(reason, after, clock.Now())
	}
	if end := w.GetEngineEnd(); end > 0 {
		x.recordEnd(end)
	}
	return result{event: retry.EventRefused, refusal: contract.Refusal{
		Outcome:    contract.OutcomeFromWire(w.GetOutcome()),
		Reason:     contract.Reason(w.GetReason()),
		RetryAfter: after,
	}}
}
