package gateway

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/rs/zerolog"

	"baywall.example/core/clock"
	"baywall.example/core/contract"
	"baywall.example/core/ratelimit"
	"baywall.example/entry/admission"
	"baywall.example/entry/balance"
	"baywall.example/entry/catalog"
	"baywall.example/entry/quarantine"
	"baywall.example/entry/retry"
)

const (
	// defaultBody is the largest body, in bytes, where operators set no limit.
	defaultBody = 8 << 20
	// defaultTimeout bounds a request that names no deadline on a route without
	// a timeout.
	defaultTimeout = 60 * time.Second
)

// request is one caller's request on its way through the gateway.
type request struct {
	g     *Gateway
	w     http.ResponseWriter
	r     *http.Request
	ctx   context.Context
	log   zerolog.Logger
	began time.Time
	id    string
	route *catalog.Route
	// snapshot is the configuration by which it was decided, decided what was known of the
	// store then.
	snapshot *catalog.Snapshot
	decided  known
	denied   *denial // nil unless the configuration in force does not allow it any more
	version  uint64
	team     string
	priority int // rank, 0 is the most urgent
	service  string
	body     []byte
	header   http.Header // for backend servers

	deadline time.Time     // the caller's or the route's timeout, whichever is first
	limit    time.Duration // that the caller allows
	// interrupted tells that it goes on with a stream that the caller has seen a part of,
	// or that an attempt at it may have run.
	interrupted bool
	state       *serviceState
	refusedIn   *admission.Situation // nil unless it was refused for want of a place
	sequence    retry.Sequence
	budget      deferredBudget
	excluded    map[string]bool         // servers that it was sent to
	rejected    bool                    // a server turned it away
	moveTo      *balance.Choice         // where it goes on, nil = not chosen yet
	waited      time.Duration           // for a server
	digest      *quarantine.Fingerprint // nil = not needed yet
	suspect     quarantine.Attempt      // the present one
	quarantined *quarantine.Judgement   // nil unless it is refused for that

	line    *admission.Place // among those that wait for a permit or the end of a rest, nil = it does not
	atLimit int              // servers left out for the limits that they name, at the latest look
	resting int              // servers left out as they rest, at the latest look
	turnBy  time.Time        // until when it waits for a permit, or for the end of a rest

	server      string           // of the latest attempt
	serverLimit *ratelimit.Known // that it named when it was sent to, nil = none
	sent        known            // what was known of the store then
	serverLoad  int              // requests of all gateways to it when it was picked
	serverPace  time.Duration    // pause between events there then, 0 = not known
	firstAnswer time.Duration
	lastEvent   time.Time // sent to the caller
	longestGap  time.Duration
	events      int
}

func (g *Gateway) serveRequest(w http.ResponseWriter, r *http.Request) {
	g.inFlight.Add(1)
	defer g.inFlight.Add(-1)
	g.inst.requests.Inc()
	g.activity.arrived()
	if g.leaving.Load() {
		w.Header().Set("Connection", "close")
	}
	q := &request{g: g, w: w, r: r, ctx: r.Context(), began: clock.Now(), id: r.Header.Get(g.headers.RequestID)}
	q.log = g.log
	if d := q.match(); d != nil {
		q.refuse(d.status, d.refusal)
		return
	}
	if !q.readBody() {
		return
	}
	q.prepare()
	q.dispatch()
}

// match finds the route, the team and the service, or what denies the request.
func (q *request) match() *denial {
	snapshot := q.awaitCatalog()
	if snapshot == nil {
		return denied(contract.ReasonStarting, http.StatusServiceUnavailable)
	}
	return q.decide(snapshot)
}

// hostOf returns the host without a port.
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

// readBody takes in the whole body, so that it can be sent more than once.
func (q *request) readBody() bool {
	limit := int64(defaultBody)
	if s := q.g.catalog.Current(); s.Limits.BodyBytes > 0 {
		limit = int64(s.Limits.BodyBytes)
	}
	body, err := io.ReadAll(http.MaxBytesReader(q.w, q.r.Body, limit))
	if err == nil {
		q.body = body
		return true
	}
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		q.refuse(http.StatusRequestEntityTooLarge, contract.Refusal{Outcome: contract.NotRun, Reason: contract.ReasonBadRequest})
		return false
	}
	q.refuse(http.StatusBadRequest, contract.Refusal{Outcome: contract.NotRun, Reason: contract.ReasonBadRequest})
	return false
}

// prepare sets the deadline and the headers for backend servers.
func (q *request) prepare() {
	q.limit = q.callersLimit()
	q.deadline = q.began.Add(q.limit)
	if q.route.Timeout > 0 {
		q.deadline = q.began.Add(min(q.limit, q.route.Timeout))
	}
	q.interrupted = q.r.Header.Get(q.g.headers.ResumeAfter) != ""
	q.state = q.g.stateOf(q.service)
	if !q.interrupted {
		q.g.registry.Arrived(q.service, q.began)
	}
	q.budget.share = q.g.share(q.service)
	q.sequence = retry.Sequence{
		Idempotent: q.route.Idempotent(), Deadline: q.deadline,
		Budget: &q.budget, MaxRuns: max(1, q.route.MaxAttempts),
	}
	q.budget.share.Request()
	q.excluded = make(map[string]bool)
	q.suspect = quarantine.Attempt{Round: 1}
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

// setTeam tells backend servers the team.
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

// callersLimit returns how long the caller allows.
func (q *request) callersLimit() time.Duration {
	ms, err := strconv.ParseInt(q.r.Header.Get(q.g.headers.Deadline), 10, 64)
	if err != nil || ms < 0 {
		return defaultTimeout // the caller names none
	}
	return time.Duration(min(ms, defaultTimeout.Milliseconds())) * time.Millisecond
}
