package main

import (
	"context"
	"fmt"
	"time"

	"baywall.example/core/wait"
	"baywall.example/platform/standin"
)

const (
	// lethalTime is how long a caller repeats a request that ends each backend server that
	// runs it. It is some seconds longer than the time until three servers have ended and
	// all gateways have exchanged state. lethalGap is the interval between its attempts.
	lethalTime = 9 * time.Second
	lethalGap  = 250 * time.Millisecond
	// maxCrashes is how many servers may end under equal requests, and maxPartCrashes under
	// requests with a part of their prompts in common.
	maxCrashes     = 3
	maxPartCrashes = 5
	// contactTime is how long after these have ended gateways may still send such a request,
	// and maxLate how often it may be sent afterwards, both by the users' rules.
	contactTime = 3 * time.Second
	maxLate     = 3
)

// sendLethalPart sends streams that have a lethal part of their prompts in common, and
// nothing else but the part that all streams share, through the gateways in turn.
func (f *faults) sendLethalPart(ctx context.Context, d draw) {
	sender := &standin.Caller{
		Host: host, Key: teamKey, Connect: f.load.connect, Deadline: callerDeadline,
		Part: fmt.Sprintf("%s%d", standin.LethalMarker, d.which),
	}
	for n, end := 0, time.Now().Add(lethalTime); time.Now().Before(end) && ctx.Err() == nil; n++ {
		id := fmt.Sprintf("p%d-%d", d.which, n)
		f.sendOnce(sender, f.world.gateways[(d.which+n)%len(f.world.gateways)], id, standin.KindStream, streamPath+id)
		wait.Sleep(ctx, lethalGap/2)
	}
}

// answerUnframed makes the plain backend servers answer with neither a length nor chunks for
// a while.
func (f *faults) answerUnframed(ctx context.Context, d draw) {
	runners := f.runnersOf(plainService)
	for _, r := range runners {
		r.SetUnframed(true)
	}
	wait.Sleep(ctx, 2*d.duration)
	for _, r := range runners {
		r.SetUnframed(false)
	}
}

// sendLethal sends a lethal request repeatedly, through the gateways in turn.
func (f *faults) sendLethal(ctx context.Context, d draw) {
	kind, prefix := standin.KindStream, streamPath
	switch d.variant {
	case 0:
		kind, prefix = standin.KindSafe, safePath
	case 1:
		kind, prefix = standin.KindUnsafe, unsafePath
	}
	path := fmt.Sprintf("%s%s%d", prefix, standin.LethalMarker, d.which)
	sender := &standin.Caller{Host: host, Key: teamKey, Connect: f.load.connect, Deadline: callerDeadline, Body: "lethal"}
	for n, end := 0, time.Now().Add(lethalTime); time.Now().Before(end) && ctx.Err() == nil; n++ {
		f.sendOnce(sender, f.world.gateways[(d.which+n)%len(f.world.gateways)], fmt.Sprintf("l%d-%d", d.which, n), kind, path)
		wait.Sleep(ctx, lethalGap)
	}
}

func (f *faults) sendOnce(sender *standin.Caller, g *gateway, id, kind, path string) {
	conn, err := sender.Dial(g.front)
	if err != nil {
		return // the gateway is down
	}
	defer conn.Close()
	a, _ := sender.Send(conn, id, kind, path)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.lethal = append(f.lethal, a)
}

// checkLethal reports lethal requests that reached backend servers more than maxLate times
// later than contactTime after the allowed number of servers had ended, and other requests
// that were quarantined as lethal.
func (r *report) checkLethal(w *world, l *load, f *faults) {
	sent := make(map[string]standin.Attempt, len(f.lethal))
	for _, a := range f.lethal {
		sent[a.ID] = a
		r.checkAttempt(w, f, a)
	}
	for path, seen := range w.ledger.Lethal() {
		allowed := maxCrashes
		if seen.Part {
			allowed = maxPartCrashes
		}
		if len(seen.Crashes) < maxCrashes {
			continue
		}
		r.quarantined++
		if len(seen.Crashes) < allowed {
			continue
		}
		late := 0
		for _, arrival := range seen.Arrivals {
			if arrival.At.After(seen.Crashes[allowed-1].Add(contactTime)) && !f.recentlyPaused(sent[arrival.ID].Gateway, arrival.At) {
				late++
			}
		}
		if late > maxLate {
			r.violatedf("%s reached backend servers %d times after %d had ended", path, late, len(seen.Crashes))
		}
	}
	for _, a := range l.attempts {
		if a.Reason == "quarantined" {
			r.violatedf("%s (%s) was quarantined as a lethal request", a.ID, a.Kind)
		}
	}
}
