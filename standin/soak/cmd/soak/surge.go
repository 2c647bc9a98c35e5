package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"time"

	"baywall.example/core/wait"
	"baywall.example/platform/standin"
)

const (
	surgeName     = "surge of demand"
	surgeKey      = "key-of-the-surge"
	surgeIDPrefix = "s" // of one letter, as those of other callers
	surgePriority = 2   // the least urgent that callers use
	// surgeKinds is the smallest number of fault kinds with which a run ends with a surge.
	surgeKinds = 26
	// surgeTime is the minimum length of a surge; surgeFactor is its request rate as a
	// multiple of what the service can serve.
	surgeTime   = 2 * time.Second
	surgeFactor = 1.5
	// lastSurge is the draw for the surge after the faults. It makes that surge longer than
	// otherFaultMargin, so that no fault excuses it from the check of the recovery.
	lastSurge = 2500 * time.Millisecond
	// Of the requests of each kind and priority that are sent in the last surgeWindow of
	// surgeRecovery after a surge, more than surgeServed must be served.
	surgeRecovery = 5 * time.Second
	surgeWindow   = time.Second
	surgeServed   = 0.5
	// surgeProbes is how many requests a second the surge's team sends after a surge.
	surgeProbes = 10
	// refusalLimit is the time within which a refused request must get its answer, so that
	// its caller can still retry.
	refusalLimit = callerDeadline / 2
)

// surge has a team send more of the least urgent streams than the service can serve, and a
// few after that, which show whether it recovers. There is one surge at a time.
func (f *faults) surge(ctx context.Context, d draw) {
	if !f.surging.CompareAndSwap(false, true) {
		return
	}
	defer f.surging.Store(false)
	var sending sync.WaitGroup
	capacity := float64(slots*len(f.world.agents)) / standin.StreamTime.Seconds()
	from := time.Now()
	f.sendSurge(ctx, &sending, surgeTime+d.duration, surgeFactor*capacity)
	to := time.Now()
	f.sendSurge(ctx, &sending, surgeRecovery, surgeProbes)
	sending.Wait()
	f.mu.Lock()
	defer f.mu.Unlock()
	f.surges = append(f.surges, span{from, to})
}

// sendSurge sends requests at a rate, each on a new connection, without waiting for answers.
func (f *faults) sendSurge(ctx context.Context, sending *sync.WaitGroup, length time.Duration, perSecond float64) {
	from := time.Now()
	sender := &standin.Caller{Host: host, Key: surgeKey, Connect: f.load.connect, Deadline: callerDeadline}
	c := &caller{load: f.load, rnd: rand.New(rand.NewPCG(f.world.seed, uint64(from.UnixNano())))}
	for ; ctx.Err() == nil && time.Since(from) < length; c.index++ {
		if c.connect(ctx, sender) {
			conn, id := c.conn, fmt.Sprintf("%s%d-%d", surgeIDPrefix, from.UnixNano(), c.index)
			c.conn = nil
			sending.Go(func() {
				a, _ := sender.Send(conn, id, standin.KindStream, surgePath+id)
				f.load.record(a)
				_ = conn.Close() // nothing is in flight on it
			})
		}
		wait.Sleep(ctx, time.Until(from.Add(time.Duration(float64(c.index+1)/perSecond*float64(time.Second)))))
	}
}

// checkSurges reports refusals that were answered late, and kinds of requests that were not
// served again soon after a surge. Recovery is checked only if no other fault was in force.
func (r *report) checkSurges(w *world, l *load, f *faults) {
	callers := make(map[string]*relay)
	for _, g := range w.gateways {
		callers[g.front] = g.callers
	}
	for _, a := range l.attempts {
		if strings.HasPrefix(a.ID, surgeIDPrefix) && a.Reason == "overload" {
			r.surgeRefused++
		}
		answered := a.Sent.Add(a.Took)
		if a.Outcome != standin.Refused || f.recentlyPaused(a.Gateway, answered) || f.recentlyImpaired(callers[a.Gateway], answered) {
			continue
		}
		r.slowest = max(r.slowest, a.Took)
		if a.Took > refusalLimit {
			r.violatedf("%s (%s) was refused (%s) after %v, allowed %v", a.ID, a.Kind, a.Reason, a.Took, refusalLimit)
		}
	}
	for _, s := range f.surges {
		until := s.to.Add(surgeRecovery)
		if overlaps(f.others, s.to.Add(-otherFaultMargin), until) {
			continue
		}
		all, served := make(map[string]int), make(map[string]int)
		for _, a := range l.attempts {
			if a.Sent.Before(until.Add(-surgeWindow)) || a.Sent.After(until) {
				continue
			}
			all[a.Kind+a.ID[:1]]++ // the first letter tells the surge's team from the others
			if a.Outcome == standin.Served {
				served[a.Kind+a.ID[:1]]++
			}
		}
		for _, kind := range []string{standin.KindSafe + "a", standin.KindUnsafe + "a", standin.KindStream + "a", standin.KindStream + surgeIDPrefix} {
			if float64(served[kind]) <= surgeServed*float64(all[kind]) {
				r.violatedf("%s: %d of %d requests served %v after a surge", kind, served[kind], all[kind], surgeRecovery)
			}
		}
	}
}
