package api

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/julienschmidt/httprouter"
	"github.com/rotisserie/eris"

	"baywall.example/core/clock"
	"baywall.example/core/contract"
	"baywall.example/core/vm"
	"baywall.example/entry/dispatch"
)

// resumeTimeout bounds the time that a resumed answer may take.
const resumeTimeout = 10 * time.Minute

// serveResume sends the remainder of an answer to a caller that lost its connection
// to the entry VM. The Baywall-Attempt header, copied from the first answer, names the
// attempt and the VM that runs it; the remainder begins at Baywall-Offset, or after the
// event named by Last-Event-ID.
func (a *API) serveResume(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	location, err := parseLocation(r.Header.Get(HeaderAttempt))
	c := contract.Contract{Request: location.Attempt.Request}
	if err != nil {
		a.refuse(r.Context(), w, c, &contract.Refusal{Outcome: contract.Unknown, Reason: contract.ReasonBadRequest}, err.Error())
		return
	}
	sink := &responseSink{ctx: r.Context(), w: w, partial: true, window: int64(a.AnswerWindow)}
	if last := r.Header.Get("Last-Event-ID"); last != "" {
		sink.skip = &eventSkipper{last: last}
	}
	offset := int64(0)
	if raw := r.Header.Get(HeaderOffset); raw != "" {
		offset, err = strconv.ParseInt(raw, 10, 64)
		if err != nil || offset < 0 {
			a.refuse(r.Context(), w, c, &contract.Refusal{Outcome: contract.Unknown, Reason: contract.ReasonBadRequest}, fmt.Sprintf("header %s: value %q, allowed: a number of bytes", HeaderOffset, raw))
			return
		}
	}
	ctx, cancel := context.WithTimeout(r.Context(), resumeTimeout)
	defer cancel()
	a.finish(ctx, w, c, a.Dispatcher.Resume(ctx, location, offset, clock.Now().Add(resumeTimeout), sink))
}

// formatLocation formats a location as vm/incarnation/request/attempt.
func formatLocation(p dispatch.AttemptLocation) string {
	return fmt.Sprintf("%s/%d/%s/%d", p.VM, p.Incarnation, p.Attempt.Request, p.Attempt.Number)
}

// parseLocation parses the result of formatLocation.
func parseLocation(s string) (dispatch.AttemptLocation, error) {
	parts := strings.Split(s, "/")
	errLocation := fmt.Errorf("header %s: value %q, allowed: that of the answer's head", HeaderAttempt, s)
	if len(parts) != 4 {
		return dispatch.AttemptLocation{}, errLocation
	}
	incarnation, err := strconv.ParseUint(parts[1], 10, 64)
	if err != nil {
		return dispatch.AttemptLocation{}, errLocation
	}
	number, err := strconv.ParseUint(parts[3], 10, 32)
	if err != nil {
		return dispatch.AttemptLocation{}, errLocation
	}
	return dispatch.AttemptLocation{
		VM: vm.ID(parts[0]), Incarnation: vm.Incarnation(incarnation),
		Attempt: contract.AttemptID{Request: contract.RequestID(parts[2]), Number: uint32(number)},
	}, nil
}

// eventSkipper drops the beginning of an answer: all server-sent events up to and
// including the one with the given id.
type eventSkipper struct {
	last    string
	pending []byte
	found   bool
}

// maxSkippedEvent is the largest event, in bytes, that is skipped.
const maxSkippedEvent = 256 << 10

// errSkippedEvent means that an answer has no events, or a very large one.
var errSkippedEvent = eris.New("api: no complete event to resume after")

// pass returns the part of the data received so far that the caller does not have yet.
func (s *eventSkipper) pass(p []byte) ([]byte, error) {
	if s.found {
		return p, nil
	}
	s.pending = append(s.pending, p...)
	for {
		end := bytes.Index(s.pending, []byte("\n\n"))
		if end < 0 && len(s.pending) > maxSkippedEvent {
			return nil, errSkippedEvent
		}
		if end < 0 {
			return nil, nil
		}
		event := s.pending[:end]
		s.pending = s.pending[end+2:]
		if eventID(event) == s.last {
			s.found = true
			return s.pending, nil
		}
	}
}

// eventID returns the id field of a server-sent event.
func eventID(event []byte) string {
	for line := range bytes.SplitSeq(event, []byte("\n")) {
		if value, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			return string(bytes.TrimSpace(value))
		}
	}
	return ""
}
