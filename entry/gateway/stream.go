package gateway

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"slices"

	"baywall.example/core/clock"
	"baywall.example/core/inbound"
	"baywall.example/entry/balance"
	"baywall.example/entry/upstream"
)

// streamState is the part of the answer that the caller has received so far, over all
// attempts.
type streamState struct {
	headerSent bool   // the response header was sent
	lastID     string // id of the last event sent
	// onFirstEvent is called for the first event of an attempt.
	onFirstEvent func()
}

const (
	// eventBuffer is the size of a stream's read buffer, in bytes.
	eventBuffer = 2048
	// maxEvent is the largest event, in bytes, with everything since the event before it. Events
	// hold a token or a few; the largest ones repeat a whole answer, which is buffered up to the
	// same size.
	maxEvent = maxBuffered
)

var errEvent = fmt.Errorf("no complete event in %d bytes", maxEvent)

// eventFields are the names of the fields of an event. A comment has an empty name.
var eventFields = [...]string{"data", "event", "id", "retry", ""}

// event is one event of a text/event-stream, including its terminating blank line.
type event struct {
	raw []byte
	id  string
}

// eventReader splits a stream into events.
type eventReader struct {
	in  *bufio.Reader
	buf []byte
}

func newEventReader(in io.Reader) *eventReader {
	return &eventReader{in: bufio.NewReaderSize(in, eventBuffer)}
}

// next returns the next complete event: its last line is a blank one, and at least one has a
// field or a comment, so that bytes which are no events are not passed on. io.EOF means that the
// stream ended between two events, io.ErrUnexpectedEOF that it ended within one.
func (r *eventReader) next() (event, error) {
	r.buf = r.buf[:0]
	var id string
	complete := false // whether a blank line ends the event
	lineStart := 0    // in buf; a line may be longer than the read buffer
	for {
		part, err := r.in.ReadSlice('\n')
		r.buf = append(r.buf, part...)
		if len(r.buf) > maxEvent {
			return event{}, errEvent
		}
		if errors.Is(err, bufio.ErrBufferFull) {
			continue
		}
		if err == io.EOF && len(bytes.TrimRight(r.buf, "\r\n")) > 0 {
			return event{}, io.ErrUnexpectedEOF
		}
		if err != nil {
			return event{}, err
		}
		line := r.buf[lineStart:]
		text := bytes.TrimRight(line, "\r\n")
		if value, ok := bytes.CutPrefix(text, []byte("id:")); ok {
			id = string(bytes.TrimPrefix(value, []byte(" ")))
		}
		if len(text) == 0 && complete {
			return event{raw: r.buf, id: id}, nil
		}
		complete = complete || isEventLine(text)
		lineStart = len(r.buf)
	}
}

// isEventLine reports whether a line has a field of an event, or a comment.
func isEventLine(text []byte) bool {
	if len(text) == 0 {
		return false
	}
	name, _, _ := bytes.Cut(bytes.TrimPrefix(text, []byte("\uFEFF")), []byte(":"))
	return slices.Contains(eventFields[:], string(name))
}

// buffered reports whether part of another event has already been read.
func (r *eventReader) buffered() bool { return r.in.Buffered() > 0 }

// forwardStream forwards a stream to the caller, one complete event at a time.
func (q *request) forwardStream(ctx context.Context, answer *upstream.Answer, server *balance.Server, s *streamState) attempt {
	events := newEventReader(answer.Body)
	last := clock.Now()
	first := true // the next event is the first of this attempt
	flusher := http.NewResponseController(q.w)
	for {
		e, err := events.next()
		if err == io.EOF {
			if l, err := q.proveWhole(ctx, answer, server); err != nil {
				return brokenStream(s, attempt{err: err, liveness: l})
			}
			return q.endStream(answer, s)
		}
		if err != nil {
			return brokenStream(s, attempt{err: err})
		}
		if ctx.Err() != nil {
			return brokenStream(s, attempt{err: ctx.Err()})
		}
		if !s.headerSent {
			s.headerSent = true
			inbound.Forward(q.ctx)
			q.firstAnswer = clock.Since(q.began)
			q.copyHeader(answer.Header)
			q.w.WriteHeader(answer.Status)
		} else if q.events > 0 {
			q.longestGap = max(q.longestGap, clock.Since(last))
		}
		now := clock.Now()
		if first {
			first = false
			s.onFirstEvent()
			q.recordBegun(now)
			server.StreamGap.Begun(now)
			defer server.StreamGap.Ended()
		} else {
			server.StreamGap.Event(now.Sub(last), now)
			q.observeGap(now.Sub(last), now)
		}
		last, q.lastEvent = now, now
		q.events++
		if e.id != "" {
			s.lastID = e.id
		}
		if _, err := q.w.Write(e.raw); err != nil {
			return attempt{verdict: verdictCallerLeft, err: err}
		}
		if events.buffered() {
			continue
		}
		if err := flusher.Flush(); err != nil {
			return attempt{verdict: verdictCallerLeft, err: err}
		}
		if q.move(server, s) {
			return attempt{verdict: verdictMoved}
		}
	}
}

// move picks another server for a stream whose rank has become slow, and reports whether
// the stream is resumed there. All ranks of a group wait for the slow one as long as it has
// any work.
func (q *request) move(from *balance.Server, s *streamState) bool {
	if s.lastID == "" || !q.route.Idempotent() || !q.g.registry.TooSlow(from) {
		return false
	}
	now := clock.Now()
	d := q.demand(now)
	d.HoldThreshold, d.MaxWait, d.Late = 0, freeSlotWait, false // the stream frees a slot of the same group
	d.Unlimited = true                                          // it is being served already, so it takes no permit of a server with a limit
	d.Avoid = q.avoidedServers(now)
	choice, found := q.g.registry.Pick(d, now)
	if found != balance.Available {
		return false
	}
	if !q.sequence.MayAbandon(now) || !q.budget.chargeEarned() {
		choice.Release()
		return false
	}
	q.sequence.Abandon()
	q.excluded[from.ID] = true
	q.interrupted = true
	q.moveTo = &choice
	return true
}

// endStream ends a stream that the backend server ended. A stream without any event is
// passed on as it is.
func (q *request) endStream(answer *upstream.Answer, s *streamState) attempt {
	if !s.headerSent {
		s.headerSent = true
		q.firstAnswer = clock.Since(q.began)
		q.copyHeader(answer.Header)
		q.w.WriteHeader(answer.Status)
	}
	return attempt{verdict: verdictAnswered}
}

// brokenStream returns the attempt with the verdict on a stream that did not end as a whole.
func brokenStream(s *streamState, a attempt) attempt {
	a.verdict = verdictLost
	if s.headerSent {
		a.verdict = verdictCut
	}
	return a
}
