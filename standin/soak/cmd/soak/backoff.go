package main

import (
	"context"
	"time"

	"baywall.example/core/wait"
	"baywall.example/platform/standin"
)

const (
	// backoffReaction is the time after a response that asks for a backoff from which the
	// gateway has to honor it; backoffTolerance is how many requests it may still send from
	// then until the backoff ends.
	backoffReaction  = 500 * time.Millisecond
	backoffTolerance = 2
	// leavingReaction is the time after a response that announces that a backend server
	// leaves from which the gateway may send it no new requests.
	leavingReaction = 1600 * time.Millisecond
)

// backoffTimes are the backoffs that backend servers ask for.
var backoffTimes = [...]time.Duration{300 * time.Millisecond, 1200 * time.Millisecond, 4 * time.Second}

// askForBackoff has a backend server refuse requests and ask for a backoff for a while.
func (f *faults) askForBackoff(ctx context.Context, d draw) {
	f.backoff(ctx, []*standin.Runner{f.backend(d).current()}, d)
}

// askForBackoffOfService has all backend servers of a service ask for a backoff.
func (f *faults) askForBackoffOfService(ctx context.Context, d draw) {
	f.backoff(ctx, f.runnersOf(f.backend(d).service), d)
}

// runnersOf returns the current runners of a service.
func (f *faults) runnersOf(service string) []*standin.Runner {
	var all []*standin.Runner
	for _, b := range f.world.backends {
		if b.service == service {
			all = append(all, b.current())
		}
	}
	return all
}

// backoff has the runners ask for a backoff for a while and returns when the last one that
// they asked for is over.
func (f *faults) backoff(ctx context.Context, runners []*standin.Runner, d draw) {
	backoff := backoffTimes[d.variant%len(backoffTimes)]
	for _, r := range runners {
		r.SetBackoff(backoff)
	}
	wait.Sleep(ctx, d.duration)
	for _, r := range runners {
		r.SetBackoff(0)
	}
	wait.Sleep(ctx, backoff)
}

// leaveByAnswer has a backend server announce in its responses, but not in its store entry,
// that it leaves. Once it has ended, it is started again under its old id or a new one.
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
	f.replace(ctx, i, id, (*standin.Runner).AnnounceLeaving)
}

// checkNotices reports requests that reached a backend server during a backoff, or after it
// had announced that it leaves, from the gateway that had received this response. Requests
// from gateways that were disturbed shortly before do not count.
func (r *report) checkNotices(w *world, l *load, f *faults, probes map[string]standin.Attempt) {
	sent := sentBy(l, f, probes)
	for _, b := range w.backends {
		for _, runner := range b.incarnations {
			arrivals := runner.Arrivals()
			for _, backoff := range runner.Backoffs() {
				r.backoffs++
				gateway := sent[backoff.ID].Gateway
				within := arrivedWithin(arrivals, sent, gateway, backoff.At.Add(backoffReaction), backoff.At.Add(backoff.Length))
				if len(within) > backoffTolerance && !f.recentlyDisturbed(gateway, within[0].At) && !f.recentlyImpaired(b.relay, within[0].At) {
					r.violatedf("%s had asked %s for a backoff of %v and received %d requests from it", runner.ID, gateway, backoff.Length, len(within))
				}
			}
			r.checkLeftByAnswer(b.relay, runner, arrivals, sent, f)
		}
	}
}

// checkLeftByAnswer reports requests that a gateway sent to a backend server although a
// response had informed the gateway that the server leaves.
func (r *report) checkLeftByAnswer(relay *relay, runner *standin.Runner, arrivals []standin.Arrival, sent map[string]standin.Attempt, f *faults) {
	informed := make(map[string]bool) // by gateway
	for _, a := range runner.ArrivalsWhileLeaving() {
		gateway := sent[a.ID].Gateway
		if informed[gateway] || sent[a.ID].Outcome != standin.Served || f.recentlyImpaired(relay, a.At) {
			continue
		}
		informed[gateway] = true
		r.leaveNotices++
		for _, late := range arrivedWithin(arrivals, sent, gateway, a.At.Add(leavingReaction), a.At.Add(time.Hour)) {
			if sent[late.ID].Sent.After(a.At.Add(leavingReaction)) && !f.recentlyDisturbed(gateway, late.At) {
				r.violatedf("%s had informed %s that it leaves and received %s %v later", runner.ID, gateway, late.ID, late.At.Sub(a.At))
			}
		}
	}
}

// arrivedWithin returns the requests that arrived through a gateway between two times.
func arrivedWithin(arrivals []standin.Arrival, sent map[string]standin.Attempt, gateway string, from, to time.Time) (out []standin.Arrival) {
	for _, a := range arrivals {
		if sent[a.ID].Gateway == gateway && a.At.After(from) && a.At.Before(to) {
			out = append(out, a)
		}
	}
	return out
}
