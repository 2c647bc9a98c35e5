package main

import (
	"context"
	"slices"
	"time"

	"baywall.example/core/wait"
	"baywall.example/platform/standin"
)

// The limit of retries that the gateways' settings have, over all gateways.
const (
	retryRatio  = 0.2
	retrySlack  = 60
	retryWindow = 10 * time.Second
)

// failRequests has all backend servers of a service break off each request for a while.
func (f *faults) failRequests(ctx context.Context, d draw) {
	runners := f.runnersOf(f.backend(d).service)
	for _, r := range runners {
		r.SetFailing(true)
	}
	wait.Sleep(ctx, d.duration)
	for _, r := range runners {
		r.SetFailing(false)
	}
}

// serviceOf returns the service that gets requests of a kind.
func serviceOf(kind string) string {
	if kind == standin.KindStream {
		return modelService
	}
	return plainService
}

// checkRetries reports windows in which a service received more arrivals beyond the first of
// their request than the limit allows, from all gateways together. Nothing is excused.
func (r *report) checkRetries(w *world, sent map[string]standin.Attempt) {
	requests := make(map[string][]time.Time)
	for _, a := range sent {
		requests[serviceOf(a.Kind)] = append(requests[serviceOf(a.Kind)], a.Sent)
	}
	arrivals := make(map[string][]standin.Arrival)
	for _, b := range w.backends {
		for _, runner := range b.incarnations {
			arrivals[runner.Service] = append(arrivals[runner.Service], runner.Arrivals()...)
		}
	}
	for service, all := range arrivals {
		repeats := repeatsOf(all)
		r.retries += len(repeats)
		for _, from := range repeats {
			n := countFrom(repeats, from)
			// The users count the requests of the window, of the one before it, or of the one half
			// a window before it, whichever are most.
			most := max(countFrom(requests[service], from), countFrom(requests[service], from.Add(-retryWindow)), countFrom(requests[service], from.Add(-retryWindow/2)))
			if allowed := retryRatio*float64(most) + retrySlack; float64(n) > allowed {
				r.violatedf("%s received %d repeats within %v for %d requests, %.0f are allowed", service, n, retryWindow, most, allowed)
				return
			}
		}
	}
}

// repeatsOf returns when the arrivals beyond the first of each request came.
func repeatsOf(arrivals []standin.Arrival) []time.Time {
	slices.SortFunc(arrivals, func(a, b standin.Arrival) int { return a.At.Compare(b.At) })
	first := make(map[string]bool)
	var out []time.Time
	for _, a := range arrivals {
		if first[a.ID] {
			out = append(out, a.At)
		}
		first[a.ID] = true
	}
	return out
}

// countFrom returns how many of the times are in the window that begins at a time.
func countFrom(times []time.Time, from time.Time) (n int) {
	for _, at := range times {
		if !at.Before(from) && at.Before(from.Add(retryWindow)) {
			n++
		}
	}
	return n
}
