package server

import (
	"net/http"
	"time"

	"baywall.example/agent/engine"
	"baywall.example/core/clock"
	"baywall.example/core/contract"
	"baywall.example/core/ratelimit"
)

// A backend server may name how many requests a second it takes. All of them go through this
// agent, so it keeps the limit exactly. Entry VMs need to know all the same: a request that is
// refused here was on its way for nothing, and others could have taken it.

// permit returns the refusal of an attempt that the backend server does not take now, nil if it
// does. It is to be asked just before the attempt is handed over.
func (a *Server) permit() *contract.Refusal {
	wait, ok := a.limit.Take(clock.Now())
	if ok {
		return nil
	}
	return &contract.Refusal{Outcome: contract.NotRun, Reason: contract.ReasonRateLimit, RetryAfter: wait}
}

// hearLimit takes what an answer to an attempt says, which was handed over at a time.
func (a *Server) hearLimit(h http.Header, id contract.AttemptID, sent time.Time) {
	said, err := ratelimit.Parse(h[engine.HeaderRateLimit])
	if err != nil {
		a.log.Warn().Err(err).Str("request", id.String()).Msg("limit of the backend server not understood")
	}
	a.limit.Heard(said, sent, clock.Now())
}
