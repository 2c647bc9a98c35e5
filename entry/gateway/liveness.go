package gateway

import (
	"context"

	"github.com/rotisserie/eris"

	"baywall.example/core/clock"
	"baywall.example/entry/balance"
	"baywall.example/entry/upstream"
)

// An answer with neither a length nor chunks ends with its connection, and so does one that was cut
// short by the end of its server. It counts as whole only if the incarnation that gave it was
// alive after its end had been read.

// errUnproven means that an answer ended with its connection, and that its backend server is not
// known to have outlived it.
var errUnproven = eris.New("gateway: answer ended with its connection, and its backend server is not known to live")

// checkLiveness finds out whether the incarnation of a backend server still runs.
func (g *Gateway) checkLiveness(ctx context.Context, server *balance.Server) upstream.Liveness {
	return server.Pool.Liveness(ctx, upstream.IdentityQuery{
		Target: g.adapter.IdentityTarget(g.service(server.Service)), ServerID: server.ID,
		ExpectHeader: g.headers.ExpectServer, IDHeader: g.headers.ServerID,
	})
}

// recordEnded records that the incarnation of a backend server has ended.
func (g *Gateway) recordEnded(server *balance.Server, l upstream.Liveness) {
	if l.Answered != "" {
		g.registry.Replaced(server)
		return
	}
	g.registry.Ended(server, clock.Now())
}

// proveWhole checks whether an answer that was read to its end is whole. It returns errUnproven
// if this is not known, and what the check found out, if one was necessary.
func (q *request) proveWhole(ctx context.Context, answer *upstream.Answer, server *balance.Server) (upstream.Liveness, error) {
	if answer.Framed() {
		return upstream.Liveness{}, nil
	}
	l := q.g.checkLiveness(ctx, server)
	q.endLiveness = l
	if l.State == upstream.Alive {
		return l, nil
	}
	q.g.inst.unproven(q.service, l.State)
	q.addLogFields(q.log.Warn()).Stringer("liveness", l.State).Str("answered", l.Answered).
		Dur("liveness_age", clock.Since(l.Began)).AnErr("cause", l.Err).Msg("answer not known to be whole")
	return l, errUnproven
}
