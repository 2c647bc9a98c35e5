package gateway

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"

	"baywall.example/core/clock"
	"baywall.example/entry/balance"
	"baywall.example/entry/upstream"
)

// streamState is what the caller has seen of its answer so far, over all
// attempts.
type streamState struct {
	begun  bool   // the head was sent
	lastID string // id of the last event sent
	// onEvent is told of the first event of an attempt.
	onEvent func()
}

const (
	// eventBuffer is the size of a stream's read buffer, in bytes.
	eventBuffer = 2048
	// maxEvent is the largest event, in bytes.
	maxEvent = 1 << 20
)

var errEvent = errors.New("event too large")

// event is one event of a text/event-stream, its blank line included.
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

// next returns the next whole event. io.EOF means that the stream ended between
// two events, io.ErrUnexpectedEOF that it ended within one.
func (r *eventReader) next() (event, error) {
	r.buf = r.buf[:0]
	var id string
	for {
		line, err := r.in.ReadSlice('\n')
		r.buf = append(r.buf, line...)
		if errors.Is(err, bufio.ErrBufferFull) && len(r.buf) < maxEvent {
			continue
		}
		if err == io.EOF && len(r.buf) > 0 {
			return event{}, io.ErrUnexpectedEOF
		}
		if err != nil {
			return event{}, err
		}
		if len(r.buf) > maxEvent {
			return event{}, errEvent
		}
		text := bytes.TrimRight(line, "\r\n")
		if value, ok := bytes.CutPrefix(text, []byte("id:")); ok {
			id = string(bytes.TrimPrefix(value, []byte(" ")))
		}
		if len(text) == 0 && len(r.buf) > len(line) {
			return event{raw: r.buf, id: id}, nil
		}
	}
}

// more reports whether part of another event was read already.
func (r *eventReader) more() bool { return r.in.Buffered() > 0 }

// forwardStream passes on a stream, whole event by whole event.
func (q *request) forwardStream(ctx context.Context, answer *upstream.Answer, server *balance.Server, s *streamState) attempt {
	events := newEventReader(answer.Body)
	last := clock.Now()
	first := true // of this attempt
	flusher := http.NewResponseController(q.w)
	for {
		e, err := events.next()
		if err == io.EOF {
			return q.endStream(answer, s)
		}
		if err != nil {
			return brokenStream(s, err)
		}
		if ctx.Err() != nil {
			return brokenStream(s, ctx.Err())
		}
		if !s.begun {
			s.begun = true
			q.firstAnswer = clock.Since(q.began)
			q.copyHead(answer.Header)
			q.w.WriteHeader(answer.Status)
		} else if q.events > 0 {
			q.longestGap = max(q.longestGap, clock.Since(last))
		}
		now := clock.Now()
		if first {
			first = false
			s.onEvent()
			server.Pace.Begun(now)
			defer server.Pace.Ended()
		} else {
			server.Pace.Event(now.Sub(last), now)
		}
		last, q.lastEvent = now, now
		q.events++
		if e.id != "" {
			s.lastID = e.id
		}
		if _, err := q.w.Write(e.raw); err != nil {
			return attempt{verdict: verdictLeft, err: err}
		}
		if events.more() {
			continue
		}
		if err := flusher.Flush(); err != nil {
			return attempt{verdict: verdictLeft, err: err}
		}
		if q.move(server, s) {
			return attempt{verdict: verdictMoved}
		}
	}
}

// move chooses another server for a stream whose rank has become slow, and reports
// whether it goes on there. All ranks of a group wait for the slow one, as long as it
// has anything to do.
func (q *request) move(from *balance.Server, s *streamState) bool {
	if s.lastID == "" || !q.route.Idempotent() || !q.g.registry.Spared(from) {
		return false
	}
	now := clock.Now()
	d := q.demand(now)
	d.HoldAt, d.MostWait, d.Late = 0, freeSlot, false // it leaves a place of the same group
	d.Unlimited = true                                // it is served where it is
	d.Avoid = q.avoids(now)
	choice, found := q.g.registry.Pick(d, now)
	if found != balance.Available {
		return false
	}
	if !q.sequence.Leave(now) || !q.charge() {
		choice.Release()
		return false
	}
	q.excluded[from.ID] = true
	q.interrupted = true
	q.moveTo = &choice
	return true
}

// endStream ends a stream that the backend server ended. One without an event
// is passed on as it is.
func (q *request) endStream(answer *upstream.Answer, s *streamState) attempt {
	if !s.begun {
		s.begun = true
		q.firstAnswer = clock.Since(q.began)
		q.copyHead(answer.Header)
		q.w.WriteHeader(answer.Status)
	}
	return attempt{verdict: verdictAnswered}
}

func brokenStream(s *streamState, err error) attempt {
	if s.begun {
		return attempt{verdict: verdictCut, err: err}
	}
	return attempt{verdict: verdictLost, err: err}
}
