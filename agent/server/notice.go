package server

import (
	"context"
	"net/http"
	"time"

	"baywall.example/agent/engine"
	"baywall.example/core/clock"
	"baywall.example/core/contract"
	"baywall.example/core/notice"
)

// A backend server may announce in its answers a limit on requests per second, a backoff during
// which it wants no requests, or that it is shutting down. This agent enforces them exactly,
// because all requests pass through it. Entry VMs need to know them too: a request that is
// refused here has wasted a round trip, and another backend server could have served it.

// endedCheckInterval is how often the agent checks whether a backend server that currently gets
// no requests has ended: its replacement has not announced anything yet.
const endedCheckInterval = 500 * time.Millisecond

// checkBackend returns nil if the backend server takes an attempt now, and a refusal otherwise.
// It consumes a unit of the rate limit, so it must be called right before the attempt is handed
// over.
func (a *Server) checkBackend() *contract.Refusal {
	now := clock.Now()
	noticeState := a.noticeState.Load()
	if _, leaving := noticeState.Leaving(); leaving {
		return drainRefusal(contract.ReasonDraining)
	}
	if backoff := noticeState.BackoffUntil().Sub(now); backoff > 0 {
		return &contract.Refusal{Outcome: contract.NotRun, Reason: contract.ReasonBackoff, RetryAfter: backoff}
	}
	wait, ok := a.limit.Take(now)
	if ok {
		return nil
	}
	return &contract.Refusal{Outcome: contract.NotRun, Reason: contract.ReasonRateLimit, RetryAfter: wait}
}

// applyNotice applies the notice in the answer to an attempt that was handed over at sent.
func (a *Server) applyNotice(resp *http.Response, id contract.AttemptID, sent time.Time) {
	now := clock.Now()
	n, err := engine.ReadNotice(resp, now)
	if err != nil {
		a.log.Warn().Err(err).Str("request", id.String()).Msg("notice of the backend server not understood")
	}
	a.limit.Record(n.Limit, sent, now)
	noticeState := a.noticeState.Load()
	if n.Backoff > 0 {
		until, before := noticeState.Backoff(now.Add(n.Backoff), now)
		a.log.Info().Str("request", id.String()).Dur("rest", n.Backoff).Dur("left_out", until.Sub(now)).Bool("rested", before).
			Msg("backend server asks for rest")
	}
	if n.Leaving && noticeState.Leave(notice.FromAnswer) {
		a.log.Info().Str("request", id.String()).Str("source", string(notice.FromAnswer)).Msg("backend server drains")
	}
}

// drains reports whether new requests are refused because the agent drains or its backend server
// is shutting down.
func (a *Server) drains() bool {
	_, leaving := a.noticeState.Load().Leaving()
	return leaving || a.draining.Load()
}

// clearEndedNotices clears the notices of a backend server that has ended. It runs until the
// context ends. A backend server that restarts between two checks is not detected as a new one.
func (a *Server) clearEndedNotices(ctx context.Context) {
	ticker := time.NewTicker(endedCheckInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		noticeState := a.noticeState.Load()
		_, leaving := noticeState.Leaving()
		if !leaving && !clock.Now().Before(noticeState.BackoffUntil()) || !a.engine.RefusesConnections(ctx) {
			continue
		}
		a.noticeState.Store(&notice.State{})
		a.log.Info().Bool("left", leaving).Msg("backend server ended; its notices are cleared")
	}
}
