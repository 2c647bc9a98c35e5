package gateway

import (
	"time"

	"baywall.example/core/clock"
	"baywall.example/core/notice"
	"baywall.example/entry/balance"
	"baywall.example/entry/upstream"
)

// hear reads what an answer says of its backend server, whatever was asked, and notes it. The
// answer is to a request that was sent at a time.
func (g *Gateway) hear(server *balance.Server, answer *upstream.Answer, sent time.Time, asked string) notice.Notice {
	now := clock.Now()
	said, err := g.adapter.ReadNotice(answer.Status, answer.Header, now)
	if err != nil {
		g.inst.noticesRefused.Inc()
		g.log.Warn().Err(err).Str("server", server.ID).Str("asked", asked).Msg("notice of a backend server not understood")
	}
	g.limits.answered(server, answer, said, sent, now)
	if said.Leaving {
		g.inst.leavingHeard.Inc()
		g.registry.SaysLeaving(server)
	}
	if said.Rest > 0 {
		until, before := g.registry.Rested(server, said.Rest, now)
		g.inst.restAsked(server.ID)
		g.log.Info().Str("server", server.ID).Uint64("server_incarnation", server.Incarnation()).Str("service", server.Service).
			Str("asked", asked).Int("status", answer.Status).Dur("rest", said.Rest).Dur("left_out", until.Sub(now)).Bool("rested", before).
			Msg("backend server asks for rest")
	}
	return said
}

// What was asked for when a backend server said something of itself.
const (
	askedRequest = "request"
	askedProbe   = "probe"
	askedOrder   = "order"
)
