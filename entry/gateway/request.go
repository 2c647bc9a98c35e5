package gateway

import (
	"context"
	"errors"
	"net/http"
	"strconv"
	"time"

	"github.com/rs/zerolog"

	"baywall.example/core/clock"
	"baywall.example/core/contract"
	"baywall.example/core/inbound"
	"baywall.example/core/ratelimit"
	"baywall.example/entry/admission"
	"baywall.example/entry/balance"
	"baywall.example/entry/catalog"
	"baywall.example/entry/cost"
	"baywall.example/entry/quarantine"
	"baywall.example/entry/retry"
	"baywall.example/entry/slotqueue"
	"baywall.example/entry/upstream"
)

const (
	// defaultBody is the largest request body, in bytes, if operators set no limit.
	defaultBody = 8 << 20
	// defaultTimeout bounds a request without a deadline on a route without a timeout.
	defaultTimeout = 60 * time.Second
)

// request is one caller's request and the state of its handling.
type request struct {
	g     *Gateway
	w     http.ResponseWriter
	r     *http.Request
	ctx   context.Context
	log   zerolog.Logger
	began time.Time
	id    string
	route *catalog.Route
	// snapshot is the configuration on which the decision about the request is based, and
	// decidedState the store state that was known then.
	snapshot     *catalog.Snapshot
	decidedState appliedState
	denied       *denial // nil unless the configuration in force no longer allows the request
	version      uint64
	team         string
	priority     int // priority level, 0 is the most urgent
	service      string
	learnsSpeed  bool // it takes part in learning and applying the speeds of servers
	body         []byte
	tokens       cost.Tokens // declared, zero without fair shares
	header       http.Header // for backend servers

	deadline time.Time     // the caller's or the route's timeout, whichever is first
	timeout  time.Duration // time that the caller allows
	// interrupted is set if the request resumes a stream of which the caller has received a
	// part, or if an attempt at it may have run.
	interrupted       bool
	state             *serviceState
	refusalSituation  *admission.Situation // nil unless it was refused for lack of a slot
	sequence          retry.Sequence
	budget            retryBudget
	excluded          map[string]bool          // servers, by id, that an attempt failed at or was moved away from
	rejected          bool                     // a server rejected it
	moveTo            *balance.Choice          // server at which the stream is resumed, nil = not picked yet
	waited            time.Duration            // time spent waiting for a server
	fingerprintCache  []quarantine.Fingerprint // nil = not computed yet
	quarantineAttempt quarantine.Attempt       // the current attempt, as package quarantine tracks it
	quarantined       *quarantine.Judgement    // nil unless it is refused as quarantined

	permitWait *admission.QueueEntry // entry in the queue for a permit or for the end of a backoff, nil = not queued
	atLimit    int                   // servers excluded at the latest pick because they are at their limits
	backingOff int                   // servers excluded at the latest pick because they are in backoff
	queueUntil time.Time             // until when it waits for a permit or for the end of a backoff

	slotWait    *slotWait          // place in the queue for a slot, nil = not queued
	repeated    bool               // its caller sent it before and was refused for lack of a slot
	slotRefusal *slotqueue.Refusal // nil unless it was refused because it cannot get a slot in time

	server         string                // server of the latest attempt
	serverLimit    *ratelimit.KnownLimit // limit that the server had named when the attempt was made, nil = none
	sent           appliedState          // store state that was known when the attempt was made
	serverLoad     int                   // load of the server from all gateways when it was picked, in requests
	serverEventGap time.Duration         // pause between events of the server then, 0 = not known
	endLiveness    upstream.Liveness     // of the server after the end of the latest unframed answer
	unframed       bool                  // the latest answer had neither a length nor chunks
	firstAnswer    time.Duration
	lastEvent      time.Time // when the latest event was sent to the caller
	longestGap     time.Duration
	events         int
}

func (g *Gateway) serveRequest(w http.ResponseWriter, r *http.Request) {
	g.inFlight.Add(1)
	defer g.inFlight.Add(-1)
	g.inst.requests.Inc()
	g.activity.countArrival()
	if g.leaving.Load() {
		w.Header().Set("Connection", "close")
	}
	q := g.newRequest(w, r)
	if d := q.match(); d != nil {
		q.refuse(d.status, d.refusal)
		return
	}
	q.setDeadline()
	if !q.readBody() {
		return
	}
	q.prepare()
	q.dispatch()
}

// match determines the route, team and service of the request, or returns a denial.
func (q *request) match() *denial {
	snapshot := q.awaitCatalog()
	if snapshot == nil {
		return denied(contract.ReasonStarting, http.StatusServiceUnavailable)
	}
	return q.decide(snapshot)
}

// hostOf returns a host without its port.
func hostOf(host string) string {
	for i := len(host) - 1; i >= 0; i-- {
		switch {
		case host[i] == ':':
			return host[:i]
		case host[i] < '0' || host[i] > '9':
			return host
		}
	}
	return host
}

// readBody reads the whole body, so that it can be sent more than once, or refuses the request.
func (q *request) readBody() bool {
	limit := int64(defaultBody)
	if s := q.g.catalog.Current(); s.Limits.BodyBytes > 0 {
		limit = int64(s.Limits.BodyBytes)
	}
	body, err := inbound.ReadBody(q.w, q.r, limit, time.Now().Add(clock.Until(q.deadline)))
	if err == nil {
		q.body = body
		return true
	}
	status, reason := bodyRefusal(err)
	q.log = q.g.clientLog
	q.refuse(status, contract.Refusal{Outcome: contract.NotRun, Reason: reason})
	return false
}

// bodyRefusal returns the status and the reason of the refusal of a request whose body was not read.
// 408 and 503 say that the request can be sent again.
func bodyRefusal(err error) (status int, reason contract.Reason) {
	switch {
	case errors.Is(err, inbound.ErrBodyTooLarge):
		return http.StatusRequestEntityTooLarge, contract.ReasonBadRequest
	case errors.Is(err, inbound.ErrNoRoom):
		return http.StatusServiceUnavailable, contract.ReasonMemory
	case errors.Is(err, inbound.ErrBodySlow), errors.Is(err, inbound.ErrBodyTimeout):
		return http.StatusRequestTimeout, contract.ReasonSlowBody
	default:
		return http.StatusBadRequest, contract.ReasonBadRequest
	}
}

// setDeadline sets the time until which the request has to be answered.
func (q *request) setDeadline() {
	q.timeout = q.callerTimeout()
	q.deadline = q.began.Add(q.timeout)
	if q.route.Timeout > 0 {
		q.deadline = q.began.Add(min(q.timeout, q.route.Timeout))
	}
}

// prepare sets the state for dispatching and the headers for backend servers.
func (q *request) prepare() {
	q.interrupted = q.r.Header.Get(q.g.headers.ResumeAfter) != ""
	q.state = q.g.serviceStateOf(q.service)
	if !q.interrupted {
		q.g.registry.Arrived(q.service, q.began)
	}
	q.recognizeRetry()
	q.budget.Budget = q.g.retries.Of(q.service)
	q.sequence = retry.Sequence{
		Idempotent: q.route.Idempotent(), Deadline: q.deadline,
		Budget: &q.budget, MaxRuns: max(1, q.route.MaxAttempts),
	}
	q.budget.Request()
	q.excluded = make(map[string]bool)
	h := q.g.headers
	q.header = make(http.Header, len(q.r.Header)+3)
	named := connectionFields(q.r.Header)
	for name, values := range q.r.Header {
		if !contract.HopByHop(name) && !named[name] && name != "Content-Length" {
			q.header[name] = values
		}
	}
	for _, own := range []string{h.APIKey, h.Team, h.ExpectServer, h.Priority, h.ExpectVersion, h.Deadline} {
		q.header.Del(own)
	}
	q.setTeam()
}

// setTeam sets the header that names the team to backend servers.
func (q *request) setTeam() {
	q.header.Del(q.g.headers.Team)
	if q.team != "" {
		q.header.Set(q.g.headers.Team, q.team)
	}
}

// connectionFields returns the header fields that the Connection header names.
func connectionFields(h http.Header) map[string]bool {
	var out map[string]bool
	for _, value := range h["Connection"] {
		for _, name := range splitList(value) {
			if out == nil {
				out = make(map[string]bool)
			}
			out[http.CanonicalHeaderKey(name)] = true
		}
	}
	return out
}

// callerTimeout returns the time that the caller allows for the request.
func (q *request) callerTimeout() time.Duration {
	ms, err := strconv.ParseInt(q.r.Header.Get(q.g.headers.Deadline), 10, 64)
	if err != nil || ms < 0 {
		return defaultTimeout // the caller sets no deadline
	}
	return time.Duration(min(ms, defaultTimeout.Milliseconds())) * time.Millisecond
}
