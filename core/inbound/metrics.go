package inbound

import (
	"fmt"

	"github.com/VictoriaMetrics/metrics"
)

// Register adds the memory that clients have reserved and the state of each listener, also of those
// that are opened later, to a set of metrics.
func (s *Set) Register(set *metrics.Set) {
	set.NewGauge(`baywall_client_memory_bytes{part="heads"}`, func() float64 { return float64(s.heads.Used()) })
	set.NewGauge(`baywall_client_memory_bytes{part="bodies"}`, func() float64 { return float64(s.bodies.Used()) })
	s.mu.Lock()
	defer s.mu.Unlock()
	s.metrics = set
	for _, l := range s.listeners {
		l.register(set)
	}
}

// register adds the listener's connections, and how often it ended or refused clients.
func (l *Listener) register(set *metrics.Set) {
	set.NewGauge(fmt.Sprintf("baywall_connections{listener=%q}", l.name), func() float64 { return float64(l.Connections()) })
	for _, r := range Reasons() {
		set.NewGauge(fmt.Sprintf("baywall_clients_ended_total{listener=%q,reason=%q}", l.name, r), func() float64 { return float64(l.Count(r)) })
	}
}
