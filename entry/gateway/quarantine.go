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

// A request that crashes the backend servers that run it is refused by all gateways after
// the third crash. Package quarantine defines what counts as evidence.

const (
	// maxSuspectPulls is the number of newly met gateways within suspectPullWindow from
	// which a gateway pulls all suspects: each of them knows about the same.
	maxSuspectPulls   = 3
	suspectPullWindow = 2 * time.Second
)

// fingerprints returns the fingerprints of the request, first that of all equal requests.
func (q *request) fingerprints() []quarantine.Fingerprint {
	if q.fingerprintCache == nil {
		q.fingerprintCache = quarantine.Identity{
			Team: q.team, Method: q.r.Method, Host: hostOf(q.r.Host), Target: q.r.RequestURI,
			Prompt: q.g.adapter.PromptParts(q.r.Header), Body: q.body,
		}.Fingerprints()
	}
	return q.fingerprintCache
}

// pickIfAdmitted picks a server if the request may be attempted now.
func (q *request) pickIfAdmitted(queued bool, now time.Time) (balance.Choice, balance.Availability, quarantine.Permission) {
	permission := q.admit(now)
	if permission != quarantine.Granted {
		return balance.Choice{}, balance.AllBusy, permission
	}
	choice, found := q.pick(queued, now)
	if found != balance.Available {
		q.quarantineAttempt.Release()
	}
	return choice, found, permission
}

// admit asks the quarantine table whether the request may be attempted.
func (q *request) admit(now time.Time) quarantine.Permission {
	q.quarantineAttempt = quarantine.Attempt{}
	if q.g.suspects.Empty() {
		return quarantine.Granted
	}
	attempt, permission := q.g.suspects.Admit(q.fingerprints(), now)
	q.quarantineAttempt = attempt
	if permission == quarantine.Refused {
		judgement := q.g.suspects.Judge(q.fingerprints(), now)
		q.quarantined = &judgement
	}
	return permission
}

// isQuarantined reports whether the request was quarantined since it was admitted.
func (q *request) isQuarantined() bool {
	return !q.g.suspects.Empty() && q.g.suspects.Judge(q.fingerprints(), clock.Now()).Status == quarantine.Quarantined
}

// avoidedServers returns a function that reports whether the request avoids a server, or
// nil if it avoids none.
func (q *request) avoidedServers(now time.Time) func(*balance.Server) bool {
	if q.g.suspects.Empty() {
		return nil
	}
	servers := q.g.suspects.Avoid(q.fingerprints(), now)
	if len(servers) == 0 {
		return nil
	}
	return func(s *balance.Server) bool { return servers[quarantine.ServerKey(s.Incarnation())] }
}

// recordBegun records that a backend server has begun to answer the request.
func (q *request) recordBegun(now time.Time) {
	if parts := quarantine.Parts(q.g.adapter.PromptParts(q.r.Header)); len(parts) > 0 {
		q.g.suspects.Began(parts, now)
	}
}

// recordOutcome records what the end of an attempt proves about the request.
func (q *request) recordOutcome(ctx context.Context, server *balance.Server, a *attempt) {
	if a.verdict == verdictAnswered && a.status < http.StatusMultipleChoices && !q.g.suspects.Empty() {
		q.g.suspects.Succeeded(q.fingerprints(), clock.Now())
		return
	}
	if a.verdict != verdictLost && a.verdict != verdictCut || ctx.Err() != nil {
		return
	}
	if a.liveness.State == 0 {
		a.liveness = q.g.checkLiveness(ctx, server)
	}
	if a.liveness.State != upstream.Ended {
		return
	}
	q.g.recordEnded(server, a.liveness)
	q.g.suspects.Ended(q.fingerprints(), &q.quarantineAttempt, quarantine.ServerKey(server.Incarnation()), clock.Now())
}

// peerUp pulls all known suspects from a gateway that was newly met. Heartbeats carry only
// some of the suspects at a time.
func (p *peering) peerUp(peer cluster.Peer) {
	p.mu.Lock()
	now := clock.Now()
	if now.Sub(p.suspectPullsSince) >= suspectPullWindow {
		p.suspectPullsSince, p.suspectPulls = now, 0
	}
	p.suspectPulls++
	enough := p.suspectPulls > maxSuspectPulls
	p.mu.Unlock()
	if enough || peer.Front == "" {
		return
	}
	p.gateway.run.Go(func() { p.pullSuspects(peer) })
}

func (p *peering) pullSuspects(from cluster.Peer) {
	ctx, cancel := context.WithTimeout(context.Background(), follow.PullTimeout)
	defer cancel()
	suspects, err := p.fetchSuspects(ctx, from)
	log := p.gateway.log.Info()
	if err != nil {
		log = p.gateway.log.Warn().Err(err)
	}
	log.Str("peer", string(from.VM)).Int("suspects", len(suspects)).Msg("suspects asked from another gateway")
	p.gateway.suspects.Receive(from.VM, suspects, clock.Now())
}

func (p *peering) fetchSuspects(ctx context.Context, from cluster.Peer) ([]*wire.Suspect, error) {
	reply, err := p.call(ctx, from, &wire.Call{Body: &wire.Call_Suspects{Suspects: &wire.SuspectsPull{}}})
	return reply.GetSuspects().GetSuspects(), err
}
