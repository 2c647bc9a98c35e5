package concurrency

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

const ms = time.Millisecond

var engine = Engine{Slots: 10, StepTime: 5 * ms, SequenceTime: ms, StepsPerPass: 5}

// pass returns the time of a pass of the engine.
func pass(batch, factor float64) time.Duration {
	return time.Duration(5 * (float64(5*ms) + batch*factor*float64(ms)))
}

// observe records the gaps of 20 streams for a time, one per pass.
func observe(l *Limiter, batch, factor float64, from time.Time, length time.Duration) time.Time {
	gap := pass(batch, factor)
	for now := from; ; now = now.Add(gap) {
		if now.Sub(from) >= length {
			return now
		}
		for range 20 {
			l.Observe(engine, gap, batch, now)
		}
	}
}

// With a limit by the current passes only, or none, all streams are late in the pass after a
// change of the experts in demand.
func TestPassAfterAChangeOfDemandKeepsToTheTarget(t *testing.T) {
	is := is.New(t)
	var l Limiter
	target := 120 * ms
	now := time.Unix(100, 0)
	batch := 10.0
	for round := range 6 {
		for _, phase := range []struct {
			factor float64
			length time.Duration
		}{{1.3, 1500 * ms}, {2.4, 900 * ms}} {
			if round > 0 {
				is.True(pass(batch, phase.factor) <= target)
			}
			now = observe(&l, batch, phase.factor, now, phase.length)
			if limit := l.Limit(engine, target, now); limit.Requests > 0 {
				batch = min(10, limit.Requests)
			}
		}
	}
	is.True(pass(batch, 2.4) > 9*target/10) // and no smaller than needed
}

func TestLimit(t *testing.T) {
	cases := []struct {
		name    string
		engine  Engine
		batch   float64
		factor  float64
		target  time.Duration
		after   time.Duration
		limited bool
	}{
		{"even load", engine, 8, 1, 120 * ms, 0, false},
		{"uneven load", engine, 8, 3, 120 * ms, 0, true},
		{"no published engine", Engine{}, 8, 3, 120 * ms, 0, false},
		{"no gap target", engine, 8, 3, 0, 0, false},
		{"small batch", engine, 1, 3, 120 * ms, 0, false},
		{"long ago", engine, 8, 3, 120 * ms, maxAge, false},
		{"after a lull", engine, 8, 3, 120 * ms, 10 * time.Second, true},
		{"stall", engine, 8, 30, 120 * ms, 0, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			var l Limiter
			now := observe(&l, c.batch, c.factor, time.Unix(100, 0), 2*time.Second)
			is.New(t).Equal(l.Limit(c.engine, c.target, now.Add(c.after)).Requests > 0, c.limited)
		})
	}
}

// One slow connection must not lower the limit of a service.
func TestSingleSlowConnectionDoesNotCount(t *testing.T) {
	is := is.New(t)
	var l Limiter
	now := time.Unix(100, 0)
	for range 40 {
		now = now.Add(60 * ms)
		for range 9 {
			l.Observe(engine, pass(7, 1), 7, now)
		}
		l.Observe(engine, 400*ms, 7, now)
	}
	is.Equal(l.Limit(engine, 120*ms, now).Requests, 0.0)
}

// A limit must not cost more streams than it keeps on time: an engine with a long fixed part of
// a step needs a larger batch.
func TestLeastBatchKeepsTheThroughput(t *testing.T) {
	for _, e := range []Engine{engine, {Slots: 10, StepTime: 5 * ms, SequenceTime: ms / 2, StepsPerPass: 5}, {Slots: 1, StepTime: ms, SequenceTime: ms, StepsPerPass: 1}} {
		throughput := func(batch float64) float64 {
			return batch / (float64(e.StepTime) + batch*float64(e.SequenceTime))
		}
		part := throughput(e.minBatch()) / throughput(float64(e.Slots))
		is.New(t).True(part > minThroughput-0.001 && part < minThroughput+0.001)
	}
}

// Demand that stays above the limited batch must not have callers refused that could be
// served late. A surge of two seconds is cut.
func TestLimitRisesWhileTooManyAreRefused(t *testing.T) {
	is := is.New(t)
	var l Limiter
	now := observe(&l, 8, 3, time.Unix(100, 0), 2*time.Second)
	decide := func(refused int, length time.Duration) float64 { // refused of every ten requests
		for until := now.Add(length); now.Before(until); now = now.Add(50 * ms) {
			for i := range 10 {
				l.Decided(i < refused, now)
			}
			l.Observe(engine, pass(8, 3), 8, now)
		}
		return l.Limit(engine, 120*ms, now).Requests
	}
	limit := l.Limit(engine, 120*ms, now).Requests
	is.True(limit > 0)
	is.True(decide(4, 2*time.Second) < 8.5)
	is.Equal(decide(4, 4*time.Second), 0.0) // no limit
	is.Equal(decide(1, 6*time.Second), limit)
}

// Whatever is observed, a limit is between the least batch and the slots.
func TestLimitIsBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var l Limiter
		now := time.Unix(100, 0)
		for range rapid.IntRange(0, 100).Draw(t, "events") {
			now = now.Add(time.Duration(rapid.IntRange(0, 300).Draw(t, "after")) * ms)
			l.Observe(engine, time.Duration(rapid.IntRange(-10, 700).Draw(t, "gap"))*ms, rapid.Float64Range(0, 30).Draw(t, "load"), now)
		}
		limit := l.Limit(engine, time.Duration(rapid.IntRange(1, 500).Draw(t, "target"))*ms, now).Requests
		if limit != 0 && (limit < engine.minBatch() || limit >= float64(engine.Slots)) {
			t.Fatalf("limit %g", limit)
		}
	})
}
