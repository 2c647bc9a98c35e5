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
	// limitTime is for how long a backend server names a limit, at least: it holds from
	// contactTime after its begin.
	limitTime = 5 * time.Second
	// limitWindow is the time over which requests are counted, toldTime after what time a
	// limit is known to those that are counted.
	limitWindow = 4 * time.Second
	toldTime    = 500 * time.Millisecond
)

// namedLimits are the limits that backend servers name, in requests a second.
var namedLimits = [...]float64{0.25, 1, 5}

// allowed is how many requests a backend server with a limit may get in limitWindow.
func allowed(perSecond float64) float64 { return 1.5*perSecond*limitWindow.Seconds() + 5 }

// nameLimit has a backend server name a limit for a while; half of the time another one.
func (f *faults) nameLimit(ctx context.Context, d draw) {
	r := f.backend(d).current()
	r.Name(namedLimits[d.variant%len(namedLimits)])
	wait.Sleep(ctx, limitTime+d.duration)
	if d.which%2 == 0 {
		r.Name(namedLimits[(d.variant+1)%len(namedLimits)])
		wait.Sleep(ctx, limitTime+d.duration)
	}
	r.Name(0)
}

// checkLimits looks for backend servers that got more than the limits that they named allow,
// from gateways that were not disturbed.
func (r *report) checkLimits(w *world, l *load, f *faults, looks map[string]standin.Attempt) {
	sent := sentBy(l, f, looks)
	for _, b := range w.backends {
		for _, runner := range b.all {
			for _, limit := range runner.Limits() {
				r.limits++
				if most := mostInWindow(limit, sent, f); float64(most) > allowed(limit.PerSecond) {
					r.breakf("%s named a limit of %g and got %d requests in %v, allowed %g", runner.ID, limit.PerSecond, most, limitWindow, allowed(limit.PerSecond))
				}
			}
		}
	}
}

// sentBy returns all that was sent, by id.
func sentBy(l *load, f *faults, looks map[string]standin.Attempt) map[string]standin.Attempt {
	sent := maps.Clone(looks)
	for _, a := range slices.Concat(l.attempts, f.lethal) {
		sent[a.ID] = a
	}
	return sent
}

// mostInWindow returns the most requests in a window that ends when the limit holds.
func mostInWindow(limit standin.Limit, sent map[string]standin.Attempt, f *faults) int {
	var counted []time.Time
	most := 0
	for _, got := range limit.Got {
		if got.At.Sub(limit.From) < toldTime || f.disturbedLately(sent[got.ID].Gateway, got.At) {
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

// disturbedLately reports whether a gateway was paused, killed or restarted shortly before a
// time.
func (f *faults) disturbedLately(front string, at time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	paused := slices.ContainsFunc(f.paused[front], func(s span) bool {
		return at.After(s.from) && at.Before(s.to.Add(contactTime))
	})
	return paused || slices.ContainsFunc(f.stopping[front], func(stop time.Time) bool {
		return at.After(stop) && at.Before(stop.Add(graceful+contactTime))
	})
}
