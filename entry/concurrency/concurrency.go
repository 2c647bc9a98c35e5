package concurrency

import (
	"slices"
	"sync"
	"time"
)

const (
	// window is the time over which gaps are collected into one observation: several passes
	// of an engine, and less than it takes to replace an expert map.
	window = 500 * time.Millisecond
	// windows is the number of windows with enough load whose highest cost factor applies:
	// six seconds, as demand changes every few seconds.
	windows = 12
	// maxAge is how long a cost factor counts at most. It covers a lull between two surges.
	maxAge = 30 * time.Second
	// quantile is the quantile of a window's gaps that counts, so that single slow
	// connections have no effect.
	quantile = 0.75
	// minGaps is the least number of gaps in a window for the quantile to be meaningful.
	minGaps = 8
	// maxGaps bounds the gaps that are kept of one window.
	maxGaps = 512
	// maxGap is the longest gap that is taken for one pass: after a longer one the group
	// was stalled.
	maxGap = 500 * time.Millisecond
	// margin is the fraction of the gap target that a pass may take. The rest is for the
	// way from the engine to the caller.
	margin = 0.95
	// minLoad is the least number of requests in flight to a server, as a fraction of its
	// slots, from which gaps tell the cost of a sequence: in smaller batches prompts
	// dominate the pass.
	minLoad = 0.25
	// minThroughput is the throughput, as a fraction of that of a full batch, that a limited
	// batch has at least by the published engine: the smaller the part of a step that grows
	// with the batch, the less a limit shortens passes and the more streams it causes to be refused.
	minThroughput = 0.8
)

// Engine holds the published parameters of a service's engines.
type Engine struct {
	Slots        int           // requests in one batch
	StepTime     time.Duration // time of a step with an empty batch
	SequenceTime time.Duration // added for each sequence in the batch
	StepsPerPass int           // a stream gets one event per pass
}

// known reports whether the parameters suffice to compute the time of a pass.
func (e Engine) known() bool {
	return e.Slots > 0 && e.StepTime > 0 && e.SequenceTime > 0 && e.StepsPerPass > 0
}

// costFactor returns by which factor the part of a step that grows with the batch was longer
// than published.
func (e Engine) costFactor(gap time.Duration, load float64) float64 {
	step := float64(gap) / float64(e.StepsPerPass)
	return (step - float64(e.StepTime)) / (float64(e.SequenceTime) * load)
}

// minBatch returns the batch with minThroughput. The throughput of a batch is its size over
// the time of a step.
func (e Engine) minBatch() float64 {
	full := float64(e.Slots) / float64(e.StepTime+time.Duration(e.Slots)*e.SequenceTime)
	needed := minThroughput * full
	return needed * float64(e.StepTime) / (1 - needed*float64(e.SequenceTime))
}

// batch returns the number of sequences with which a pass takes the given time.
func (e Engine) batch(pass time.Duration, factor float64) float64 {
	step := float64(pass) / float64(e.StepsPerPass)
	return (step - float64(e.StepTime)) / (float64(e.SequenceTime) * factor)
}

// Limiter learns the limit of one service. The zero value has none. It is safe for
// concurrent use.
type Limiter struct {
	mu      sync.Mutex
	since   time.Time // start of the current window
	gaps    []time.Duration
	loads   float64 // sum of the loads at the gaps
	factors [windows]observation
	next    int // index of the oldest factor
	relief  relief
}

// observation is the cost factor of one window.
type observation struct {
	factor float64
	at     time.Time // end of the window
}

// Observe records the gap between two events of a stream. The load is the mean number of
// requests in flight to a server of the service.
func (l *Limiter) Observe(e Engine, gap time.Duration, load float64, now time.Time) {
	if !e.known() || gap <= 0 || gap > maxGap {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.since.IsZero() || now.Sub(l.since) >= window {
		l.closeWindow(e, now)
	}
	if len(l.gaps) < maxGaps {
		l.gaps = append(l.gaps, gap)
		l.loads += load
	}
}

// closeWindow turns the gaps of the current window into an observation and begins the next
// window.
func (l *Limiter) closeWindow(e Engine, now time.Time) {
	if n := len(l.gaps); n >= minGaps {
		load := l.loads / float64(n)
		slices.Sort(l.gaps)
		gap := l.gaps[int(quantile*float64(n))]
		if load >= minLoad*float64(e.Slots) {
			l.factors[l.next] = observation{factor: e.costFactor(gap, load), at: now}
			l.next = (l.next + 1) % windows
		}
	}
	l.since, l.gaps, l.loads = now, l.gaps[:0], 0
}

// Decided records that a stream got a slot, or was refused for lack of one. The fraction of
// refusals raises the limit (see relief).
func (l *Limiter) Decided(refused bool, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.relief.decided(refused, now)
}

// Limit is a decision about the batch of a service's engines.
type Limit struct {
	// Requests is the mean number of requests that a server may have in flight, 0 = no limit.
	Requests float64
	// CostFactor is the highest recent cost factor, 0 = none was observed.
	CostFactor float64
}

// Limit returns the limit for streams with a target between two events.
func (l *Limiter) Limit(e Engine, target time.Duration, now time.Time) Limit {
	if !e.known() || target <= 0 {
		return Limit{}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	factor := l.costFactor(now)
	if factor <= 0 {
		return Limit{}
	}
	requests := max(e.minBatch(), e.batch(time.Duration(margin*float64(target)), factor))
	requests += l.relief.raised * max(0, float64(e.Slots)-requests)
	if requests >= float64(e.Slots) {
		return Limit{CostFactor: factor}
	}
	return Limit{Requests: requests, CostFactor: factor}
}

// costFactor returns the highest cost factor that still counts, 0 if there is none.
func (l *Limiter) costFactor(now time.Time) float64 {
	highest := 0.0
	for _, o := range l.factors {
		if now.Sub(o.at) < maxAge {
			highest = max(highest, o.factor)
		}
	}
	return highest
}
