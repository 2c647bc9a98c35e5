package gateway

import (
	"context"
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
	"baywall.example/entry/balance"
	"baywall.example/entry/upstream"
)

// A backend server may name how many requests a second it takes from all gateways together.
// Package ratelimit decides who may send to it, package admission who waits for that (turn.go). This
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

// limitOf returns the limit of a server, for the log of a request to it.
func (l *limits) limitOf(server *balance.Server) *ratelimit.Known {
	for _, key := range server.Limits() {
		if limit, ok := l.table.Get(key); ok {
			return &limit
		}
	}
	return nil
}
