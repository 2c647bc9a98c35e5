package api

import (
	"context"
	"crypto/rand"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/julienschmidt/httprouter"

	"baywall.example/core/clock"
	"baywall.example/core/contract"
	"baywall.example/core/inbound"
	"baywall.example/core/rendezvous"
	"baywall.example/core/resource"
	"baywall.example/core/timeline"
	"baywall.example/core/wire"
	"baywall.example/entry/dispatch"
)

// Header fields of the interface for callers.
const (
	HeaderTeam           = "Baywall-Team"
	HeaderTimeout        = "Baywall-Timeout-Ms"
	HeaderNonIdempotent  = "Baywall-Non-Idempotent"
	HeaderIdempotencyKey = "Idempotency-Key"
	HeaderOutcome        = "Baywall-Outcome"
	HeaderReason         = "Baywall-Reason"
	HeaderRequestID      = "Baywall-Request-Id"
	HeaderAttempt        = "Baywall-Attempt"
	HeaderOffset         = "Baywall-Offset"
	HeaderTicket         = "Baywall-Ticket"
)

// startRetryAfter is the retry-after time in refusals of a process that is not ready.
const startRetryAfter = time.Second

// prefixLength is how many bytes of a body count as its prompt prefix.
const prefixLength = 512

// serveRequest forwards a caller's request to a backend server of the service.
func (a *API) serveRequest(w http.ResponseWriter, r *http.Request, p httprouter.Params) {
	a.metrics.requests.Add(1)
	id := contract.RequestID(rand.Text())
	w.Header().Set(HeaderRequestID, string(id))
	c, refusal, detail := a.contract(id, r, p.ByName("service"))
	if refusal != nil {
		a.refuse(r.Context(), w, c, unknownIfTicketed(r, refusal), detail)
		return
	}
	body, err := inbound.ReadBody(w, r, a.MaxBody, time.Now().Add(clock.Until(c.Deadline)))
	if err != nil {
		a.refuseBody(w, r, id, err)
		return
	}
	release, limited := a.Limiter.Admit(r.Context(), c.Team)
	if limited != nil {
		a.refuse(r.Context(), w, c, unknownIfTicketed(r, limited), "team "+c.Team+" has its share of requests running")
		return
	}
	defer release()
	request := dispatch.Request{
		Method: r.Method, Path: backendPath(r, p.ByName("path")), Headers: forwardedHeaders(r.Header),
		Body: body, Key: rendezvous.Hash(string(body[:min(prefixLength, len(body))])),
	}
	sink := &responseSink{ctx: r.Context(), w: w, window: int64(a.AnswerWindow)}
	a.finish(r.Context(), w, c, a.Dispatcher.Serve(r.Context(), c, request, sink))
}

// finish ends a request according to the dispatcher's error.
func (a *API) finish(ctx context.Context, w http.ResponseWriter, c contract.Contract, err error) {
	var refusal *contract.Refusal
	switch {
	case err == nil:
		a.metrics.answered.Add(1)
	case errors.As(err, &refusal):
		a.refuse(ctx, w, c, refusal, "")
	default:
		a.metrics.aborted.Add(1)
		panic(http.ErrAbortHandler) // the caller must see that the answer is incomplete
	}
}

// contract reads the contract of a request: its service, team, priority and deadline, and
// whether it may run more than once.
func (a *API) contract(id contract.RequestID, r *http.Request, service string) (contract.Contract, *contract.Refusal, string) {
	c := contract.Contract{Request: id, Service: service, Team: r.Header.Get(HeaderTeam)}
	if !a.Ready() {
		return c, starting(), startingDetail
	}
	view := a.Config.View()
	svc := view.Services[service]
	if svc == nil {
		return c, notRun(contract.ReasonUnknownService), fmt.Sprintf("service: value %q is not configured at revision %d", service, view.Revision)
	}
	team := view.Team(c.Team)
	if team == nil {
		return c, notRun(contract.ReasonUnknownTeam), fmt.Sprintf("header %s: value %q is not a configured team", HeaderTeam, c.Team)
	}
	c.Priority = team.Priority
	timeout, err := requestTimeout(r, svc)
	if err != nil {
		return c, notRun(contract.ReasonBadRequest), err.Error()
	}
	c.Deadline = clock.Now().Add(timeout)
	c.Idempotent = idempotent(r, svc)
	if c.Idempotent {
		return c, nil, ""
	}
	return a.withTicket(c, r)
}

// startingDetail is the detail in refusals of a process that is not ready.
const startingDetail = "this entry VM has just started"

func starting() *contract.Refusal {
	return &contract.Refusal{Outcome: contract.NotRun, Reason: contract.ReasonStarting, RetryAfter: startRetryAfter}
}

func notRun(r contract.Reason) *contract.Refusal {
	return &contract.Refusal{Outcome: contract.NotRun, Reason: r}
}

// unknownIfTicketed sets the outcome of a refusal to unknown if the request carries a
// ticket. The ticket may have been presented before, through another entry VM, so only
// its agent can tell that the request did not run.
func unknownIfTicketed(r *http.Request, refusal *contract.Refusal) *contract.Refusal {
	key := r.Header.Get(HeaderIdempotencyKey)
	if _, err := contract.ParseTicket(key); key != "" && err == nil {
		refusal.Outcome = contract.Unknown
	}
	return refusal
}

func idempotent(r *http.Request, svc *resource.Service) bool {
	if r.Method == http.MethodGet || r.Method == http.MethodHead {
		return r.Header.Get(HeaderNonIdempotent) == ""
	}
	return !svc.NonIdempotent && r.Header.Get(HeaderNonIdempotent) == ""
}

func requestTimeout(r *http.Request, svc *resource.Service) (time.Duration, error) {
	limit := svc.DeadlineMS.Duration()
	raw := r.Header.Get(HeaderTimeout)
	if raw == "" {
		return limit, nil
	}
	ms, err := strconv.ParseInt(raw, 10, 64)
	if err != nil || ms < 1 {
		return 0, fmt.Errorf("header %s: value %q, allowed: a number of milliseconds from 1 to %d", HeaderTimeout, raw, limit.Milliseconds())
	}
	return min(limit, time.Duration(ms)*time.Millisecond), nil
}

// withTicket reads the ticket of a non-idempotent request. A request without an
// idempotency key runs at most once for this HTTP request. A request with a key must
// be safe to send again through any entry VM, which requires a ticket: a key that the
// caller made up is refused before the request runs, and a ticket is offered instead.
func (a *API) withTicket(c contract.Contract, r *http.Request) (contract.Contract, *contract.Refusal, string) {
	key := r.Header.Get(HeaderIdempotencyKey)
	if key == "" {
		return c, nil, ""
	}
	t, err := contract.ParseTicket(key)
	if err != nil {
		return c, notRun(contract.ReasonTicketRequired), "header Idempotency-Key: not a ticket; send the request again with the one in header Baywall-Ticket"
	}
	if t.Service != c.Service {
		return c, &contract.Refusal{Outcome: contract.Unknown, Reason: contract.ReasonTicketInvalid}, fmt.Sprintf("header Idempotency-Key: the ticket is for service %q", t.Service)
	}
	c.Ticket = &t
	return c, nil, ""
}

// roomRetryAfter is the retry-after time in refusals for lack of room for a head or a body.
const roomRetryAfter = time.Second

// refuseBody answers a request whose body was not read.
func (a *API) refuseBody(w http.ResponseWriter, r *http.Request, id contract.RequestID, err error) {
	status, refusal, detail := http.StatusBadRequest, notRun(contract.ReasonBadRequest), "body: "+err.Error()
	switch {
	case errors.Is(err, inbound.ErrBodyTooLarge):
		status, detail = http.StatusRequestEntityTooLarge, fmt.Sprintf("body: allowed: at most %d bytes", a.MaxBody)
	case errors.Is(err, inbound.ErrNoRoom):
		status, refusal = http.StatusServiceUnavailable, noRoom()
	case errors.Is(err, inbound.ErrBodySlow), errors.Is(err, inbound.ErrBodyTimeout):
		status, refusal = http.StatusRequestTimeout, notRun(contract.ReasonSlowBody)
	}
	a.problem(w, status, string(id), unknownIfTicketed(r, refusal), detail)
}

func noRoom() *contract.Refusal {
	return &contract.Refusal{Outcome: contract.NotRun, Reason: contract.ReasonMemory, RetryAfter: roomRetryAfter}
}

// RefuseHead answers a request whose head exceeds a limit. It is an inbound.Refuser.
func (a *API) RefuseHead(w http.ResponseWriter, r *http.Request, refusal *inbound.Refusal) {
	reason := notRun(contract.ReasonBadRequest)
	if refusal.Reason == inbound.ReasonHeadRoom {
		reason = noRoom()
	}
	a.problem(w, refusal.Status, "", unknownIfTicketed(r, reason), "head: "+refusal.Reason.String())
}

func backendPath(r *http.Request, path string) string {
	if r.URL.RawQuery != "" {
		return path + "?" + r.URL.RawQuery
	}
	return path
}

// forwardedHeaders returns the header fields that are sent to the backend server.
func forwardedHeaders(h http.Header) []*wire.Header {
	out := make([]*wire.Header, 0, len(h))
	for name, values := range h {
		if contract.HopByHop(name) || name == "Content-Length" {
			continue
		}
		for _, v := range values {
			out = append(out, &wire.Header{Name: name, Value: v})
		}
	}
	return out
}

// problemBody is an RFC 9457 problem document.
type problemBody struct {
	Type         string `json:"type"`
	Title        string `json:"title"`
	Status       int    `json:"status"`
	Detail       string `json:"detail,omitempty"`
	Outcome      string `json:"outcome"`
	Reason       string `json:"reason"`
	Request      string `json:"request,omitempty"`
	RetryAfterMS int64  `json:"retry_after_ms,omitempty"`
}

// refuse answers a request that gets no answer from a backend server.
func (a *API) refuse(ctx context.Context, w http.ResponseWriter, c contract.Contract, r *contract.Refusal, detail string) {
	a.Recorder.Record(timeline.Event{
		Kind: timeline.KindRefused, Request: string(c.Request), Subject: c.Service + " " + c.Team,
		Choice: string(r.Outcome), Reason: strings.TrimSpace(string(r.Reason) + " " + detail),
	})
	if r.Reason == contract.ReasonTicketRequired {
		if tickets := a.tickets(ctx, c.Service, 1); len(tickets) == 1 {
			w.Header().Set(HeaderTicket, tickets[0])
		}
	}
	a.problem(w, statusOf(r), string(c.Request), r, detail)
}

func statusOf(r *contract.Refusal) int {
	switch r.Reason {
	case contract.ReasonUnknownService:
		return http.StatusNotFound
	case contract.ReasonUnknownTeam:
		return http.StatusForbidden
	case contract.ReasonBadRequest, contract.ReasonTicketInvalid:
		return http.StatusBadRequest
	case contract.ReasonTicketRequired:
		return http.StatusPreconditionRequired
	case contract.ReasonTeamLimit:
		return http.StatusTooManyRequests
	}
	if r.Outcome == contract.NotRun {
		return http.StatusServiceUnavailable
	}
	if r.Reason == contract.ReasonDeadline {
		return http.StatusGatewayTimeout
	}
	return http.StatusBadGateway
}

func (a *API) problem(w http.ResponseWriter, status int, id string, r *contract.Refusal, detail string) {
	a.metrics.refused.Add(string(r.Outcome), 1)
	a.metrics.reasons.Add(string(r.Reason), 1)
	h := w.Header()
	h.Set(HeaderOutcome, string(r.Outcome))
	h.Set(HeaderReason, string(r.Reason))
	h.Set("Content-Type", "application/problem+json")
	if r.RetryAfter > 0 {
		seconds := int64((r.RetryAfter + time.Second - 1) / time.Second)
		h.Set("Retry-After", strconv.FormatInt(seconds, 10))
	}
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(problemBody{
		Type: "about:blank", Title: http.StatusText(status), Status: status, Detail: detail,
		Outcome: string(r.Outcome), Reason: string(r.Reason), Request: id, RetryAfterMS: r.RetryAfter.Milliseconds(),
	})
}
