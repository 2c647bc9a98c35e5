package main

import (
	"context"
	"maps"
	"slices"
	"time"

	"baywall.example/core/wait"
	"baywall.example/platform/standin"
)

const (
	// limitTime is the minimum time for which a backend server announces a rate limit. The
	// limit is enforced from contactTime after it is first announced.
	limitTime = 5 * time.Second
	// limitWindow is the time window over which requests are counted. Requests that arrive
	// within limitGrace of the announcement are not counted, because the gateway may not
	// know the limit yet.
	limitWindow = 4 * time.Second
	limitGrace  = 500 * time.Millisecond
)

// announcedLimits are the limits that backend servers announce, in requests a second.
var announcedLimits = [...]float64{0.25, 1, 5}

// limitAllowance returns how many requests a backend server with a limit may receive in
// limitWindow.
func limitAllowance(perSecond float64) float64 { return 1.5*perSecond*limitWindow.Seconds() + 5 }

// announceLimit has a backend server announce a limit for a while and, in half of the
// cases, another limit after it.
func (f *faults) announceLimit(ctx context.Context, d draw) {
	r := f.backend(d).current()
	r.SetLimit(announcedLimits[d.variant%len(announcedLimits)])
	wait.Sleep(ctx, limitTime+d.duration)
	if d.which%2 == 0 {
		r.SetLimit(announcedLimits[(d.variant+1)%len(announcedLimits)])
		wait.Sleep(ctx, limitTime+d.duration)
	}
	r.SetLimit(0)
}

// checkLimits reports backend servers that received more requests than their announced
// limits allow. Requests from gateways that were disturbed shortly before do not count.
func (r *report) checkLimits(w *world, l *load, f *faults, probes map[string]standin.Attempt) {
	sent := sentBy(l, f, probes)
	for _, b := range w.backends {
		for _, runner := range b.incarnations {
			for _, limit := range runner.Limits() {
				r.limits++
				if most := mostInWindow(limit, sent, f); float64(most) > limitAllowance(limit.PerSecond) {
					r.violatedf("%s announced a limit of %g and received %d requests in %v, allowed %g", runner.ID, limit.PerSecond, most, limitWindow, limitAllowance(limit.PerSecond))
				}
			}
		}
	}
}

// sentBy returns all requests that were sent, by id.
func sentBy(l *load, f *faults, probes map[string]standin.Attempt) map[string]standin.Attempt {
	sent := maps.Clone(probes)
	for _, a := range slices.Concat(l.attempts, f.lethal) {
		sent[a.ID] = a
	}
	return sent
}

// mostInWindow returns the largest number of requests in any limitWindow that ends while
// the limit is enforced.
func mostInWindow(limit standin.Limit, sent map[string]standin.Attempt, f *faults) int {
	var counted []time.Time
	most := 0
	for _, got := range limit.Arrivals {
		if got.At.Sub(limit.From) < limitGrace || f.recentlyDisturbed(sent[got.ID].Gateway, got.At) {
			continue
		}
		counted = append(counted, got.At)
		for got.At.Sub(counted[0]) >= limitWindow {
			counted = counted[1:]
		}
		if got.At.Sub(limit.From) >= contactTime {
			most = max(most, len(counted))
		}
	}
	return most
}

// recentlyDisturbed reports whether a gateway was paused, killed or restarted shortly before
// a time.
func (f *faults) recentlyDisturbed(front string, at time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	paused := slices.ContainsFunc(f.paused[front], func(s span) bool {
		return at.After(s.from) && at.Before(s.to.Add(contactTime))
	})
	return paused || slices.ContainsFunc(f.stopping[front], func(stop time.Time) bool {
		return at.After(stop) && at.Before(stop.Add(stopWindow+contactTime))
	})
}
