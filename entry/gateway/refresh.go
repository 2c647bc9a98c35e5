package gateway

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/http"

	"baywall.example/core/contract"
	"baywall.example/entry/balance"
	"baywall.example/entry/catalog"
	"baywall.example/entry/retry"
)

// A request may wait for seconds between the decision about it and its sending: in a queue,
// for a connection, or for a second attempt. Meanwhile its team's key may have been
// revoked, its route moved or its backend server told to leave. So the decision is checked
// again while the request waits, and at the moment of sending.

// errOutdated means that the decision to send a request to a backend server is no longer
// valid.
var errOutdated = errors.New("gateway: decision outdated")

// denial is a refusal together with its status.
type denial struct {
	refusal contract.Refusal
	status  int
}

func denied(reason contract.Reason, status int) *denial {
	return &denial{refusal: contract.Refusal{Outcome: contract.NotRun, Reason: reason}, status: status}
}

// decide determines the route, team and service of the request from a configuration. It
// returns nil if the configuration allows the request.
func (q *request) decide(s *catalog.Snapshot) *denial {
	q.snapshot, q.version = s, s.Version
	q.decidedState = q.g.applied()
	route := s.Match(hostOf(q.r.Host), q.r.URL.EscapedPath())
	if route == nil {
		return denied(contract.ReasonUnknownService, http.StatusNotFound)
	}
	team, priority := "", route.Priority
	if s.RequiresKey() && !route.Public {
		t := s.Team(q.r.Header.Get(q.g.headers.APIKey))
		if t == nil {
			q.route = route
			return denied(contract.ReasonUnknownTeam, http.StatusUnauthorized)
		}
		team = t.Name
		if t.Priority != nil {
			priority = *t.Priority
		}
	}
	q.route, q.team, q.priority = route, team, priority
	if q.service == "" || !route.Targeted(q.service) {
		q.service = route.Pick(rand.Float64())
	}
	q.learnsSpeed = q.g.learnsSpeed(s, route, q.service)
	return nil
}

// refreshDecision decides again if another configuration has come into force. It stores a
// denial in q.denied.
func (q *request) refreshDecision() {
	current := q.g.catalog.Current()
	if current == q.snapshot {
		return
	}
	before, service := q.version, q.service
	q.denied = q.decide(current)
	q.log.Info().Str("request", q.id).Uint64("catalog", q.version).Uint64("before", before).Str("service", q.service).
		Bool("denied", q.denied != nil).Msg("decided again")
	if q.denied != nil {
		return
	}
	if q.sequence.MayHaveRun() && !q.route.Idempotent() {
		q.denied = denied(contract.ReasonLinkLost, http.StatusBadGateway) // under the new route it must not run twice
		return
	}
	if q.service != service {
		q.leavePermitQueue(q.state)
		q.leaveSlotQueue()
		q.state = q.g.serviceStateOf(q.service)
		q.budget.Budget = q.g.retries.Of(q.service)
		q.excluded = make(map[string]bool)
	}
	q.sequence.Idempotent, q.sequence.MaxRuns = q.route.Idempotent(), max(1, q.route.MaxAttempts)
	q.setTeam()
}

// checkSend returns an error if the request must no longer be sent to the server.
func (q *request) checkSend(server *balance.Server) error {
	if q.g.catalog.Current() != q.snapshot || q.isQuarantined() {
		return errOutdated
	}
	return q.g.maySend(server)
}

// checkAtSend is called at the moment of sending, when there is a connection. A retry is
// charged only here, so that it is counted when it arrives, and only if it does.
func (q *request) checkAtSend(ctx context.Context, server *balance.Server) error {
	if err := q.g.admitSend(ctx, server, q.checkSend); err != nil {
		return err
	}
	charged, err := q.chargeRetry(ctx)
	if err != nil || !charged {
		return err
	}
	return q.checkSend(server) // charging may have taken a call to another gateway
}

// admitSend checks whether something may be sent to a backend server and takes the permits
// for one with a limit. Every request and probe goes through it, since gateways that each
// observe a limit on their own send several times what it allows. The check function
// returns an error for what must no longer be sent.
func (g *Gateway) admitSend(ctx context.Context, server *balance.Server, check func(*balance.Server) error) error {
	if err := check(server); err != nil {
		return err
	}
	if err := g.limits.takePermits(ctx, server); err != nil {
		return err
	}
	return check(server) // obtaining the permit may have taken a call to another gateway
}

// deny ends a request that the configuration in force does not allow.
func (q *request) deny(stream *streamState) {
	d := q.denied
	if q.sequence.MayHaveRun() {
		d = &denial{contract.Refusal{Outcome: contract.Unknown, Reason: d.refusal.Reason}, http.StatusBadGateway}
	}
	if stream.headerSent {
		q.finish(retry.Decision{Refusal: d.refusal}, attempt{verdict: verdictOutdated, err: errOutdated}, stream)
		return
	}
	q.refuse(d.status, d.refusal)
}
