package gateway

import (
	"context"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/rotisserie/eris"

	"baywall.example/core/clock"
	"baywall.example/core/cluster"
	"baywall.example/core/notice"
	"baywall.example/core/ratelimit"
	"baywall.example/core/rendezvous"
	"baywall.example/core/source"
	"baywall.example/core/vm"
	"baywall.example/core/wire"
	"baywall.example/entry/admission"
	"baywall.example/entry/balance"
	"baywall.example/entry/upstream"
)

// A backend server may name how many requests a second it takes from all gateways together.
// Package ratelimit decides who may send to it, package admission who waits for that. This
// file tells them what is known and carries out what they say.

// errPermit means that another gateway gave no usable answer to an ask for a permit.
var errPermit = eris.New("gateway: no answer to an ask for a permit")

// limits connects the limits that backend servers name to the process. It implements
// ratelimit.Network and balance.Limits.
type limits struct {
	*ratelimit.Gate
	table *ratelimit.Table
	g     *Gateway
	// coldRead is what entries were taken over of servers that are cold, by id: each counts
	// from when it was read first.
	coldRead map[string]source.Position
}

func newLimits(g *Gateway) *limits {
	l := &limits{g: g}
	l.table = ratelimit.NewTable(func(key ratelimit.Key) string { return g.registry.IDOf(key) }, g.log)
	l.Gate = ratelimit.NewGate(l.table, l)
	return l
}

// Limited implements balance.Limits.
func (l *limits) Limited() int { return l.table.Limited() }

// Grantor implements ratelimit.Network: the first active gateway in rendezvous order.
func (l *limits) Grantor(server ratelimit.Key) (id vm.ID, own, known bool) {
	peer, own := l.grantor(server)
	switch {
	case own:
		return vm.ID(l.g.settings.VM), true, true
	case peer != nil:
		return peer.VM, false, true
	default:
		return "", false, false
	}
}

func (l *limits) grantor(server ratelimit.Key) (peer *cluster.Peer, own bool) {
	weight := func(id string) uint64 { return rendezvous.Weight(rendezvous.Hash(id), uint64(server)) }
	best := uint64(0)
	if l.g.activity.is() && !l.g.leaving.Load() {
		own, best = true, weight(l.g.settings.VM)
	}
	for _, p := range l.g.node.Live() {
		if w := weight(string(p.VM)); p.Active && (peer == nil && !own || w > best) {
			peer, own, best = &p, false, w
		}
	}
	return peer, own
}

// Part implements ratelimit.Network.
func (l *limits) Part() float64 { return l.g.node.Reached() }

// Ask implements ratelimit.Network.
func (l *limits) Ask(ctx context.Context, grantor vm.ID, s ratelimit.Statement) (ratelimit.Grant, error) {
	peer, _ := l.grantor(s.Server)
	if peer == nil || peer.VM != grantor {
		return ratelimit.Grant{}, eris.Wrapf(errPermit, "%s does not grant any more", grantor)
	}
	reply, err := l.g.peering.call(ctx, *peer, &wire.Call{Body: &wire.Call_Permit{Permit: s.AskToWire(clock.Now())}})
	if err != nil {
		l.g.log.Warn().Err(err).Str("peer", string(grantor)).Uint64("server_incarnation", uint64(s.Server)).Msg("permit not asked")
		return ratelimit.Grant{}, err
	}
	return ratelimit.GrantFromWire(reply.GetPermit()), nil
}

// serve answers another gateway's ask for a permit.
func (l *limits) serve(ask *wire.PermitAsk) *wire.PermitReply {
	s, ok := ratelimit.StatementFromWire(ask.GetLimit(), clock.Now())
	if !ok {
		l.g.log.Warn().Uint64("server_incarnation", ask.GetLimit().GetServer()).Msg("ask for a permit not understood")
		return nil
	}
	return l.Grant(s).ToWire()
}

// hear takes what other gateways know.
func (l *limits) hear(from vm.ID, told []*wire.ServerLimit) {
	now := clock.Now()
	for _, server := range l.table.Hear(from, told, now) {
		l.g.registry.LimitEnded(server, now)
	}
}

// answered takes what an answer of a server says of its limits, to a request that was sent at a
// time. That it names none counts only where it is certainly the answer of this server.
func (l *limits) answered(server *balance.Server, answer *upstream.Answer, said notice.Notice, sent, now time.Time) {
	l.cold(server.Info, said.Cold, now)
	own := answer.Header.Get(l.g.headers.RequestID) != "" && answer.Header.Get(l.g.headers.NotRun) == "" &&
		answer.Status < http.StatusInternalServerError
	if answer.Status == http.StatusMisdirectedRequest || said.Limit.Kind == ratelimit.SaidNone && !own {
		return
	}
	if l.table.Heard(server.Limit(), said.Limit, sent, now) {
		l.g.registry.LimitEnded(server.Limit(), now)
	}
}

// expire forgets what counts no more.
func (l *limits) expire(now time.Time) {
	for _, server := range l.table.Lift(now) {
		l.g.registry.LimitEnded(server, now)
	}
	l.table.Expire(func(key ratelimit.Key) bool { return l.g.registry.IDOf(key) != "" }, now)
	l.Gate.Expire(now)
}

// place returns the request's place among those that wait for a permit.
func (q *request) place(now time.Time) *admission.Place {
	wait := q.wants(now).PermitWait()
	return &admission.Place{Again: q.sequence.Attempts() > 0, Priority: q.priority, Until: now.Add(wait)}
}

// passed returns why the request may not look for a server now, as others that are more urgent
// wait for as many as may take one: balance.Limited or balance.Resting; balance.Available if it
// may.
func (q *request) passed(now time.Time) balance.Availability {
	s := q.state
	if q.line == nil && !s.hasLine() {
		return balance.Available
	}
	ahead := s.aheadInLine(q.linePlace(now))
	if ahead == 0 {
		return balance.Available
	}
	p := q.g.registry.Permits(q.service, now)
	switch {
	case ahead < p.Open:
		return balance.Available
	case p.Resting > 0:
		return balance.Resting
	default:
		return balance.Limited
	}
}

// linePlace returns the place in the line, or the one that the request would have.
func (q *request) linePlace(now time.Time) *admission.Place {
	if q.line != nil {
		return q.line
	}
	return q.place(now)
}

// turn returns when the request can expect that a server which is at its limit or rests takes it.
func (q *request) turn(now time.Time) admission.Turn {
	p := q.g.registry.Permits(q.service, now)
	gap := longestPermitGap
	if p.PerSecond > 0 {
		gap = min(gap, time.Duration(float64(q.g.node.Members())/p.PerSecond*float64(time.Second)))
	}
	ahead := q.state.aheadInLine(q.linePlace(now))
	return admission.Turn{Next: p.Next, Queue: time.Duration(ahead) * gap, Gap: gap}
}

// longestPermitGap bounds the time between two permits, far beyond any that is waited.
const longestPermitGap = time.Minute

// mayWaitForPermit reports whether the request waits until a server that is at its limit takes
// another one. One that may have run does, as nothing true can be said of it before.
func (q *request) mayWaitForPermit(wants admission.Request, now time.Time) bool {
	if q.sequence.MayHaveRun() {
		return wants.Urgency() != admission.Hopeless
	}
	if q.line != nil {
		return now.Before(q.permitBy) && wants.Urgency() == admission.Punctual
	}
	return admission.MayWaitForPermit(wants, q.turn(now))
}

// mayWaitForRest reports whether the request waits until a server's rest is over.
func (q *request) mayWaitForRest(wants admission.Request, now time.Time) bool {
	if q.line != nil {
		return now.Before(q.permitBy) && admission.MayStayForRest(wants, q.turn(now))
	}
	return admission.MayWaitForRest(wants, q.turn(now))
}

// comeBackForPermit returns for how long a caller stays away for which there was no permit, and
// comeBackAfterRest the same where all servers rest.
func (q *request) comeBackForPermit(now time.Time) time.Duration {
	turn := q.turn(now)
	s := q.state
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.permits.Pause(turn, rand.Float64(), now)
}

func (q *request) comeBackAfterRest(now time.Time) time.Duration {
	turn := q.turn(now)
	s := q.state
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.permits.PauseAfterRest(turn, rand.Float64(), now)
}

// hasLine reports whether requests wait for a permit.
func (s *serviceState) hasLine() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.line.Empty()
}

// aheadInLine returns how many requests go before one that waits for a permit.
func (s *serviceState) aheadInLine(p *admission.Place) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.line.Ahead(p)
}

// joinLine lets the request wait for a permit.
func (q *request) joinLine(now time.Time) {
	if q.line != nil {
		return
	}
	q.permitBy = now.Add(q.turn(now).Latest())
	q.line = q.place(now)
	q.state.mu.Lock()
	defer q.state.mu.Unlock()
	q.state.line.Join(q.line)
}

// leaveLine ends that, if it waits, in the line of a service.
func (q *request) leaveLine(s *serviceState) {
	if q.line == nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.line.Leave(q.line)
	q.line = nil
}

// limitOf returns the limit of a server, for the log of a request to it.
func (l *limits) limitOf(server *balance.Server) *ratelimit.Known {
	for _, key := range server.Limits() {
		if limit, ok := l.table.Get(key); ok {
			return &limit
		}
	}
	return nil
}
