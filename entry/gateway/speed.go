package gateway

import (
	"net/http"
	"time"

	"baywall.example/core/clock"
	"baywall.example/entry/balance"
	"baywall.example/entry/catalog"
)

// learnsSpeed reports whether requests of a route take part in learning and applying the
// speeds of a service's servers. Streams do not: the length of a stream depends on its number
// of events, and the speed of an engine is reported by its agent.
func (g *Gateway) learnsSpeed(s *catalog.Snapshot, route *catalog.Route, service string) bool {
	if !g.settings.Scheduling.ServerSpeed || route.Kind == catalog.KindStream {
		return false
	}
	published := s.Service(service)
	return published == nil || published.Engine == nil
}

// recordSpeed records how long the server took for the answer to an attempt that was sent at
// a time. Errors do not count: they take less time than the work that they report on.
func (q *request) recordSpeed(c balance.Choice, a attempt, sent time.Time) {
	if a.verdict != verdictAnswered || a.status >= http.StatusBadRequest || !q.learnsSpeed {
		return
	}
	received := q.began.Add(q.firstAnswer) // forwarding to the caller does not count
	registry, service := q.g.registry, q.service
	registry.RecordSpeed(c, q.route.Name, received.Sub(sent), clock.Now())
	q.g.inst.watchSpeed(service, func() float64 { return registry.MaxSlowness(service, clock.Now()) })
}
