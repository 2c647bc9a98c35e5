package gateway

import (
	"fmt"
	"math"
	"sync"
	"time"

	"baywall.example/entry/catalog"
	"baywall.example/entry/concurrency"
)

// limitLogInterval is the least time between two log lines about the concurrency limit of a
// service.
const limitLogInterval = time.Second

// concurrencyState is the concurrency limit of a service's engines and what was last logged
// about it.
type concurrencyState struct {
	limiter concurrency.Limiter

	mu       sync.Mutex
	latest   concurrency.Limit
	logged   float64 // limit
	loggedAt time.Time
}

// concurrencyEngine returns the parameters of a service's engines, as far as they are
// published.
func concurrencyEngine(s *catalog.Service) concurrency.Engine {
	if s == nil || s.Engine == nil {
		return concurrency.Engine{}
	}
	e := s.Engine
	return concurrency.Engine{Slots: e.Slots, StepTime: e.StepTime, SequenceTime: e.SequenceTime, StepsPerPass: e.StepsPerPass}
}

// observeGap records the gap between two events of the request's stream.
func (q *request) observeGap(gap time.Duration, now time.Time) {
	if !q.g.settings.Scheduling.ConcurrencyLimit {
		return
	}
	q.state.concurrency.limiter.Observe(concurrencyEngine(q.snapshot.Service(q.service)), gap, q.g.registry.MeanInFlight(q.service), now)
}

// decidedOnSlot records that a stream got a slot, or was refused for lack of one.
// Interrupted and repeated streams are not counted; other late ones are.
func (q *request) decidedOnSlot(refused bool, now time.Time) {
	if q.g.settings.Scheduling.ConcurrencyLimit && q.route.Kind == catalog.KindStream && !q.interrupted && !q.repeated {
		q.state.concurrency.limiter.Decided(refused, now)
	}
}

// concurrencyLimit returns how many requests a server may have in flight on average for the
// request to be sent, 0 = no limit. An interrupted stream has none, as it loses more than
// the others would lose by one more sequence.
func (q *request) concurrencyLimit(now time.Time) float64 {
	if !q.g.settings.Scheduling.ConcurrencyLimit || q.interrupted || q.route.Kind != catalog.KindStream {
		return 0
	}
	limit := q.state.concurrency.limiter.Limit(concurrencyEngine(q.snapshot.Service(q.service)), q.route.GapTarget, now)
	if before, changed := q.state.concurrency.record(limit, now); changed {
		q.log.Info().Str("service", q.service).Dur("gap_target", q.route.GapTarget).Float64("limit", limit.Requests).
			Float64("before", before).Float64("cost_factor", limit.CostFactor).Msg("concurrency limit changed")
	}
	return limit.Requests
}

// record stores a limit. If it differs from the latest one logged by a request or more and
// may be logged now, it returns that one and true.
func (c *concurrencyState) record(limit concurrency.Limit, now time.Time) (before float64, changed bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.latest, before = limit, c.logged
	if math.Abs(limit.Requests-before) < 1 || now.Sub(c.loggedAt) < limitLogInterval {
		return before, false
	}
	c.logged, c.loggedAt = limit.Requests, now
	return before, true
}

// current returns the latest limit.
func (c *concurrencyState) current() concurrency.Limit {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.latest
}

// watchConcurrency adds the gauges of a service's concurrency limit.
func (i *instruments) watchConcurrency(service string, c *concurrencyState) {
	gauge := func(name string, value func(concurrency.Limit) float64) {
		i.set.GetOrCreateGauge(fmt.Sprintf("%s{service=%q}", name, service), func() float64 { return value(c.current()) })
	}
	gauge("baywall_concurrency_limit", func(l concurrency.Limit) float64 { return l.Requests })
	gauge("baywall_sequence_cost_factor", func(l concurrency.Limit) float64 { return l.CostFactor })
}
