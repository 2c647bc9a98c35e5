package rankserver

import (
	"context"
	"sync"
	"time"

	"baywall.example/agent/rank"
	"baywall.example/core/clock"
)

// observedRank wraps the local rank's API and passes on every report that is read through it.
// The polls of a coordinator bring several reports per second, so the agent need not spend
// calls of its own on them.
type observedRank struct {
	rank.API
	// onReport is called with each report, or the error in its place, one at a time.
	onReport func(rank.Report, error)

	mu         sync.Mutex
	lastReport time.Time // when the rank last answered or failed
}

// Report returns the rank's state.
func (r *observedRank) Report(ctx context.Context) (rank.Report, error) {
	report, err := r.API.Report(ctx)
	r.mu.Lock()
	defer r.mu.Unlock()
	if err != nil && ctx.Err() != nil {
		return report, err // canceled by the caller, which is no failure of the rank
	}
	r.lastReport = clock.Now()
	r.onReport(report, err)
	return report, err
}

// age returns how long ago the rank last answered or failed.
func (r *observedRank) age(now time.Time) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return now.Sub(r.lastReport)
}
