package api

import (
	"context"
	"net/http"
	"strings"

	"github.com/rotisserie/eris"

	"baywall.example/core/inbound"
	"baywall.example/core/wire"
	"baywall.example/entry/dispatch"
)

// responseSink writes an answer to the caller.
type responseSink struct {
	ctx     context.Context // of the caller's request
	w       http.ResponseWriter
	stream  bool
	partial bool          // only the remainder of the answer is written
	skip    *eventSkipper // set when resuming after an event id
	// reserved says that there is memory for what comes on the link while the caller reads.
	reserved bool
	window   int64 // what an agent can send while the caller reads slowly, in bytes
}

// largePart is the size, in bytes, from which on a part of an answer says that the agent has more to
// send than the caller has read.
const largePart = 16 << 10

// Head implements dispatch.Sink.
func (s *responseSink) Head(status int, headers []*wire.Header, at dispatch.AttemptLocation) error {
	h := s.w.Header()
	hasLength := false
	for _, f := range headers {
		if strings.EqualFold(f.GetName(), "X-Request-Id") {
			continue
		}
		if f.GetName() == "Content-Length" {
			hasLength = true
			if s.partial {
				continue
			}
		}
		h.Add(f.GetName(), f.GetValue())
	}
	s.stream = !hasLength
	h.Set(HeaderAttempt, formatLocation(at))
	inbound.Forward(s.ctx)
	s.w.WriteHeader(status)
	return nil
}

// Data implements dispatch.Sink.
func (s *responseSink) Data(p []byte) error {
	if err := s.reserve(len(p)); err != nil {
		return err
	}
	if s.skip != nil {
		var err error
		if p, err = s.skip.pass(p); err != nil {
			return err
		}
	}
	if _, err := s.w.Write(p); err != nil {
		return eris.Wrap(err, "api: write answer")
	}
	if !s.stream {
		return nil
	}
	if err := http.NewResponseController(s.w).Flush(); err != nil {
		return eris.Wrap(err, "api: flush answer")
	}
	return nil
}

// reserve reserves memory for what an agent can send while the caller reads slowly, before the first
// large part of an answer.
func (s *responseSink) reserve(size int) error {
	if s.reserved || size < largePart {
		return nil
	}
	s.reserved = true
	if err := inbound.Reserve(s.ctx, s.window); err != nil {
		return eris.Wrap(err, "api: buffer answer")
	}
	return nil
}
