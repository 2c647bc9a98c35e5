package dispatch

import (
	"context"
	"time"

	"baywall.example/core/clock"
	"baywall.example/core/wait"
	"baywall.example/entry/backend"
)

// choose picks the backend server for the next attempt. It reports false if there is none.
func (x *exchange) choose() bool {
	if t := x.contract.Ticket; t != nil {
		b, ok := x.d.directory.Find(t.VM)
		x.backend = b
		return ok
	}
	view := x.d.config.View()
	choice := x.d.directory.Usable(x.contract.Service)
	open, next := choice.Available(clock.Now())
	if next.Reason != "" {
		x.backoff = next
		return false
	}
	if choice = open; len(x.tried) > 0 {
		choice = x.untried(choice)
	}
	i := x.d.policy(view, x.contract.Service).Pick(choice.Runners, x.request.Key)
	if i < 0 {
		return false
	}
	limit := int64(1 << 30)
	if svc := view.Services[x.contract.Service]; svc != nil {
		limit = int64(svc.RunnerConcurrency)
	}
	if choice.Runners[i].Load() >= limit {
		i = leastLoaded(choice)
		if choice.Runners[i].Load() >= limit {
			return false
		}
	}
	x.backend = choice.Backends[i]
	x.tried = append(x.tried, x.backend)
	return true
}

func leastLoaded(c backend.Choice) int {
	best := 0
	for i := range c.Runners {
		if c.Runners[i].Load() < c.Runners[best].Load() {
			best = i
		}
	}
	return best
}

// untried returns the choice without the backend servers tried before and, if others remain,
// without those in the availability zone of the last one.
func (x *exchange) untried(c backend.Choice) backend.Choice {
	last := x.tried[len(x.tried)-1].VM().Zone
	var all, other backend.Choice
	for i, b := range c.Backends {
		if x.wasTried(b) {
			continue
		}
		all.Backends = append(all.Backends, b)
		all.Runners = append(all.Runners, c.Runners[i])
		if b.VM().Zone != last {
			other.Backends = append(other.Backends, b)
			other.Runners = append(other.Runners, c.Runners[i])
		}
	}
	if len(other.Backends) > 0 {
		return other
	}
	return all
}

func (x *exchange) wasTried(b *backend.Backend) bool {
	for _, t := range x.tried {
		if t == b {
			return true
		}
	}
	return false
}

const (
	// freeingTimeout bounds the time for which a request waits until slow readers that were ended have
	// freed a backend server, and freeingInterval is the time between two attempts to choose one.
	freeingTimeout  = 500 * time.Millisecond
	freeingInterval = 20 * time.Millisecond
)

// chooseFreed ends slow readers until it can choose a backend server that they have freed. It reports
// false if there is none, at once if no reader is slow.
func (x *exchange) chooseFreed(ctx context.Context) bool {
	if x.d.readers == nil || x.contract.Ticket != nil || x.backoff.Reason != "" {
		return false
	}
	for ends := time.Now().Add(freeingTimeout); time.Now().Before(ends); {
		if !x.d.readers.EndSlowestReader() || !wait.Sleep(ctx, freeingInterval) {
			return false
		}
		if x.choose() {
			return true
		}
	}
	return false
}
