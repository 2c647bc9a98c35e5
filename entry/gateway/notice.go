package gateway

import (
	"time"

	"baywall.example/core/clock"
	"baywall.example/core/notice"
	"baywall.example/entry/balance"
	"baywall.example/entry/upstream"
)

// receiveNotice extracts and records what a backend server reports about itself in an
// answer to a request, probe or order that was sent at the given time.
func (g *Gateway) receiveNotice(server *balance.Server, answer *upstream.Answer, sent time.Time, via string) notice.Notice {
	now := clock.Now()
	reported, err := g.adapter.ReadNotice(answer.Status, answer.Header, now)
	if err != nil {
		g.inst.noticesRefused.Inc()
		g.log.Warn().Err(err).Str("server", server.ID).Str("asked", via).Msg("notice of a backend server not understood")
	}
	g.limits.recordAnswer(server, answer, reported, sent, now)
	if reported.Leaving {
		g.inst.leavingNotices.Inc()
		g.registry.RecordDraining(server)
	}
	if reported.Backoff > 0 {
		until, before := g.registry.StartBackoff(server, reported.Backoff, now)
		g.inst.backoffRequested(server.ID)
		g.log.Info().Str("server", server.ID).Uint64("server_incarnation", server.Incarnation()).Str("service", server.Service).
			Str("asked", via).Int("status", answer.Status).Dur("rest", reported.Backoff).Dur("left_out", until.Sub(now)).Bool("rested", before).
			Msg("backend server asks for rest")
	}
	return reported
}

// Kinds of exchange in which a backend server reported something about itself.
const (
	viaRequest = "request"
	viaProbe   = "probe"
	viaOrder   = "order"
)
