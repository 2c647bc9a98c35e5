package gateway

import (
	"context"
	"net/http"
	"time"

	"baywall.example/core/clock"
	"baywall.example/core/cluster"
	"baywall.example/core/wire"
	"baywall.example/entry/balance"
	"baywall.example/entry/follow"
	"baywall.example/entry/quarantine"
	"baywall.example/entry/upstream"
)

// A request that ends the backend servers which run it is refused after the third one,
// by all gateways: what counts as proof is told in package quarantine.

const (
	// livenessTimeout bounds the look whether a backend server has ended: its host answers
	// within a few milliseconds, and the request still has to be served elsewhere.
	livenessTimeout = 200 * time.Millisecond
	// mostAsked is how many of the gateways that it meets within askedWindow a gateway
	// asks for all suspects that they know: each knows about the same.
	mostAsked   = 3
	askedWindow = 2 * time.Second
)

// fingerprint returns what equal requests have in common.
func (q *request) fingerprint() quarantine.Fingerprint {
	if q.digest == nil {
		f := quarantine.Identity{
			Team: q.team, Method: q.r.Method, Host: hostOf(q.r.Host), Target: q.r.RequestURI, Body: q.body,
		}.Fingerprint()
		q.digest = &f
	}
	return *q.digest
}

// lookIfAdmitted looks for a server if the request may be tried now.
func (q *request) lookIfAdmitted(queued bool, now time.Time) (balance.Choice, balance.Availability, quarantine.Permission) {
	permission := q.admit(now)
	if permission != quarantine.Granted {
		return balance.Choice{}, balance.AllBusy, permission
	}
	choice, found := q.look(queued, now)
	if found != balance.Available {
		q.suspect.Release()
	}
	return choice, found, permission
}

// admit asks whether the request may be tried.
func (q *request) admit(now time.Time) quarantine.Permission {
	q.suspect = quarantine.Attempt{Round: 1}
	if q.g.suspects.Empty() {
		return quarantine.Granted
	}
	attempt, permission := q.g.suspects.Admit(q.fingerprint(), now)
	q.suspect = attempt
	if permission == quarantine.Refused {
		judgement := q.g.suspects.Judge(q.fingerprint(), now)
		q.quarantined = &judgement
	}
	return permission
}

// avoids returns which servers the request keeps away from, nil if none.
func (q *request) avoids(now time.Time) func(*balance.Server) bool {
	if q.g.suspects.Empty() {
		return nil
	}
	servers := q.g.suspects.Avoid(q.fingerprint(), now)
	if len(servers) == 0 {
		return nil
	}
	return func(s *balance.Server) bool { return servers[quarantine.ServerKey(s.Incarnation())] }
}

// noteEnd notes what the end of an attempt proves of the request.
func (q *request) noteEnd(ctx context.Context, server *balance.Server, a *attempt) {
	if a.verdict == verdictAnswered && a.status < http.StatusMultipleChoices && !q.g.suspects.Empty() {
		q.g.suspects.Succeeded(q.fingerprint(), clock.Now())
		return
	}
	a.liveness = q.livenessAfter(ctx, server, a.verdict)
	if a.liveness != upstream.Ended {
		return
	}
	q.g.registry.Ended(server, clock.Now())
	q.g.suspects.Ended(q.fingerprint(), quarantine.End{
		Server: quarantine.ServerKey(server.Incarnation()), Round: q.suspect.Round, At: clock.Now(),
	})
}

// livenessAfter looks whether the backend server of a lost attempt has ended. One that
// only stood with its group cuts its answers, too, but takes new connections.
func (q *request) livenessAfter(ctx context.Context, server *balance.Server, v verdict) upstream.Liveness {
	if v != verdictLost && v != verdictCut || ctx.Err() != nil {
		return 0
	}
	ctx, cancel := context.WithTimeout(ctx, livenessTimeout)
	defer cancel()
	return server.Pool.Liveness(ctx)
}

// met asks a gateway that was met for all suspects that it knows. Heartbeats tell them in
// turn only.
func (p *peering) met(peer cluster.Peer) {
	p.mu.Lock()
	now := clock.Now()
	if now.Sub(p.askedSince) >= askedWindow {
		p.askedSince, p.asked = now, 0
	}
	p.asked++
	enough := p.asked > mostAsked
	p.mu.Unlock()
	if enough || peer.Front == "" {
		return
	}
	p.gateway.run.Go(func() { p.askSuspects(peer) })
}

func (p *peering) askSuspects(from cluster.Peer) {
	ctx, cancel := context.WithTimeout(context.Background(), follow.PullTimeout)
	defer cancel()
	suspects, err := p.fetchSuspects(ctx, from)
	log := p.gateway.log.Info()
	if err != nil {
		log = p.gateway.log.Warn().Err(err)
	}
	log.Str("peer", string(from.VM)).Int("suspects", len(suspects)).Msg("suspects asked from another gateway")
	p.gateway.suspects.Hear(from.VM, suspects, clock.Now())
}

func (p *peering) fetchSuspects(ctx context.Context, from cluster.Peer) ([]*wire.Suspect, error) {
	reply, err := p.call(ctx, from, &wire.Call{Body: &wire.Call_Suspects{Suspects: &wire.SuspectsPull{}}})
	return reply.GetSuspects().GetSuspects(), err
}
