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

// A backend server may say in its answers how many requests a second it takes, that it wants none
// for a while, or that it leaves. All requests go through this agent, so it keeps that exactly.
// Entry VMs need to know all the same: a request that is refused here was on its way for nothing,
// and others could have taken it.

// endedLook is how often it is looked whether a backend server that gets nothing has ended: the
// one that starts after it has said nothing yet.
const endedLook = 500 * time.Millisecond

// permit returns the refusal of an attempt that the backend server does not take now, nil if it
// does. It is to be asked just before the attempt is handed over.
func (a *Server) permit() *contract.Refusal {
	now := clock.Now()
	said := a.said.Load()
	if _, leaves := said.Leaving(); leaves {
		return drainRefusal(contract.ReasonDraining)
	}
	if rest := said.RestsUntil().Sub(now); rest > 0 {
		return &contract.Refusal{Outcome: contract.NotRun, Reason: contract.ReasonRest, RetryAfter: rest}
	}
	wait, ok := a.limit.Take(now)
	if ok {
		return nil
	}
	return &contract.Refusal{Outcome: contract.NotRun, Reason: contract.ReasonRateLimit, RetryAfter: wait}
}

// hear takes what an answer to an attempt says, which was handed over at a time.
func (a *Server) hear(resp *http.Response, id contract.AttemptID, sent time.Time) {
	now := clock.Now()
	n, err := engine.ReadNotice(resp, now)
	if err != nil {
		a.log.Warn().Err(err).Str("request", id.String()).Msg("notice of the backend server not understood")
	}
	a.limit.Heard(n.Limit, sent, now)
	said := a.said.Load()
	if n.Rest > 0 {
		until, before := said.Rest(now.Add(n.Rest), now)
		a.log.Info().Str("request", id.String()).Dur("rest", n.Rest).Dur("left_out", until.Sub(now)).Bool("rested", before).
			Msg("backend server asks for rest")
	}
	if n.Leaving && said.Leave(notice.FromAnswer) {
		a.log.Info().Str("request", id.String()).Str("source", string(notice.FromAnswer)).Msg("backend server drains")
	}
}

// drains reports whether nothing new is taken: the agent drains, or its backend server leaves.
func (a *Server) drains() bool {
	_, leaves := a.said.Load().Leaving()
	return leaves || a.draining.Load()
}

// forgetEnded forgets what a backend server said that has ended, until the context ends. One that
// starts again between two looks is not told from it.
func (a *Server) forgetEnded(ctx context.Context) {
	ticker := time.NewTicker(endedLook)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		said := a.said.Load()
		_, leaves := said.Leaving()
		if !leaves && !clock.Now().Before(said.RestsUntil()) || !a.engine.Refuses(ctx) {
			continue
		}
		a.said.Store(&notice.State{})
		a.log.Info().Bool("left", leaves).Msg("backend server ended, what it said is forgotten")
	}
}
