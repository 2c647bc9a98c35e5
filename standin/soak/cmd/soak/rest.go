package main

import (
	"context"
	"time"

	"baywall.example/core/wait"
	"baywall.example/platform/standin"
)

const (
	// restHeeded is the time after an answer from which a gateway heeds the rest that it asks
	// for, restForgiven how many requests may still come then.
	restHeeded   = 500 * time.Millisecond
	restForgiven = 2
	// leavingHeeded is the time after an answer that says so from which a backend server gets
	// nothing new.
	leavingHeeded = 1600 * time.Millisecond
)

// askedRests are the rests that backend servers ask for.
var askedRests = [...]time.Duration{300 * time.Millisecond, 1200 * time.Millisecond, 4 * time.Second}

// askForRest has a backend server turn requests away for a while.
func (f *faults) askForRest(ctx context.Context, d draw) {
	f.rest(ctx, []*standin.Runner{f.backend(d).current()}, d)
}

// askForRestOfAll has all backend servers of a service do that.
func (f *faults) askForRestOfAll(ctx context.Context, d draw) {
	service := f.backend(d).service
	var all []*standin.Runner
	for _, b := range f.world.backends {
		if b.service == service {
			all = append(all, b.current())
		}
	}
	f.rest(ctx, all, d)
}

// rest returns when the rests are over.
func (f *faults) rest(ctx context.Context, runners []*standin.Runner, d draw) {
	rest := askedRests[d.variant%len(askedRests)]
	for _, r := range runners {
		r.AskForRest(rest)
	}
	wait.Sleep(ctx, d.duration)
	for _, r := range runners {
		r.AskForRest(0)
	}
	wait.Sleep(ctx, rest)
}

// leaveByAnswer has a backend server say in its answers that it leaves, and start again under its id
// when it is gone, or under another one. Its entry says nothing.
func (f *faults) leaveByAnswer(ctx context.Context, d draw) {
	i := d.which % len(f.world.backends)
	b := f.world.backends[i]
	if b.group != nil {
		return // ranks of a group are not replaced one by one
	}
	id := ""
	if d.variant > 0 {
		id = b.current().ID
	}
	f.replace(ctx, i, id, (*standin.Runner).Leave)
}

// checkNotices looks for requests that reached backend servers in a rest, or after they had said that
// they leave, from the gateway that heard so and was not disturbed.
func (r *report) checkNotices(w *world, l *load, f *faults, looks map[string]standin.Attempt) {
	sent := sentBy(l, f, looks)
	for _, b := range w.backends {
		for _, runner := range b.all {
			arrivals := runner.Arrivals()
			for _, rest := range runner.Rests() {
				r.rests++
				gateway := sent[rest.ID].Gateway
				within := arrivedWithin(arrivals, sent, gateway, rest.At.Add(restHeeded), rest.At.Add(rest.For))
				if len(within) > restForgiven && !f.disturbedLately(gateway, within[0].At) && !f.harmedLately(b.relay, within[0].At) {
					r.breakf("%s had asked %s for %v of rest and got %d requests from it", runner.ID, gateway, rest.For, len(within))
				}
			}
			r.checkLeftByAnswer(b.relay, runner, arrivals, sent, f)
		}
	}
}

// checkLeftByAnswer looks for requests that a gateway sent though an answer had told it that the
// backend server leaves.
func (r *report) checkLeftByAnswer(relay *relay, runner *standin.Runner, arrivals []standin.Arrival, sent map[string]standin.Attempt, f *faults) {
	heard := make(map[string]bool) // gateways
	for _, a := range runner.AnsweredLeaving() {
		gateway := sent[a.ID].Gateway
		if heard[gateway] || sent[a.ID].Outcome != standin.Served || f.harmedLately(relay, a.At) {
			continue
		}
		heard[gateway] = true
		r.leavings++
		for _, late := range arrivedWithin(arrivals, sent, gateway, a.At.Add(leavingHeeded), a.At.Add(time.Hour)) {
			if sent[late.ID].Sent.After(a.At.Add(leavingHeeded)) && !f.disturbedLately(gateway, late.At) {
				r.breakf("%s had told %s that it leaves and got %s %v later", runner.ID, gateway, late.ID, late.At.Sub(a.At))
			}
		}
	}
}

// arrivedWithin returns the requests that came through a gateway between two times.
func arrivedWithin(arrivals []standin.Arrival, sent map[string]standin.Attempt, gateway string, from, to time.Time) (out []standin.Arrival) {
	for _, a := range arrivals {
		if sent[a.ID].Gateway == gateway && a.At.After(from) && a.At.Before(to) {
			out = append(out, a)
		}
	}
	return out
}
