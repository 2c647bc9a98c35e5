package balance

import (
	"time"

	"baywall.example/entry/speed"
)

// The servers of a service without engines may differ in speed. Package speed learns from
// the answers how much longer than usual each takes. With Demand.ServerSpeed, a slower
// server counts with fewer slots, and is left out while its answer would be late.

// speedMargin is the factor by which the additional time of a slower server is
// overestimated: its answers vary, and the smoothed slowness approaches its final value from
// below.
const speedMargin = 1.2

// RecordSpeed records how long the chosen server took for an answer. Answers to requests
// that may have queued count, too, with a lower bound that excludes the expected time in the
// queue: a slow server is full most of the time, so its speed would be learned too late from
// the others.
func (r *Registry) RecordSpeed(c Choice, route string, took time.Duration, now time.Time) {
	server := c.Server
	s := r.shard(server.Service)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.servers[server.ID] != server {
		return // no longer listed
	}
	slots := max(1, server.Slots)
	ahead := max(0, c.InFlight+1-slots) // requests that had to end before this one started
	least := took * time.Duration(slots) / time.Duration(slots+ahead)
	s.speeds.Answered(server.ID, route, least, took, now)
	if change, changed := s.speeds.Change(now); changed {
		r.logSpeed(server.Service, change)
	}
}

func (r *Registry) logSpeed(service string, c speed.Change) {
	message := "backend server answers at normal speed again"
	if c.Slow {
		message = "backend server answers slowly"
	}
	r.log.Info().Str("server", c.Server).Str("service", service).Float64("slowness", c.Slowness).
		Dur("service_time", c.ServiceTime).Msg(message)
}

// MaxSlowness returns how much longer than the median server the slowest server of the
// service takes for an answer, 1 = not longer.
func (r *Registry) MaxSlowness(service string, now time.Time) float64 {
	s := r.shard(service)
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.speeds.MaxSlowness(now)
}

// minSlowness returns the least slowness of the usable servers that the demand does not
// exclude.
func (s *shard) minSlowness(d Demand, now time.Time) float64 {
	fastest := 0.0
	for _, server := range s.usable {
		if d.Exclude[server.ID] {
			continue
		}
		if slowness := s.speeds.Slowness(server.ID, now); fastest == 0 || slowness < fastest {
			fastest = slowness
		}
	}
	return fastest
}

// loadSlots returns the number of slots that the load of a usable server is relative to.
func (s *shard) loadSlots(i int, d Demand, now time.Time) float64 {
	slots := float64(max(1, s.usable[i].Slots))
	switch {
	case !d.ServerSpeed:
		return slots
	case s.inFlight(i) == 0 && s.tooLate(i, d, now):
		return 1 // it gets one request at a time
	default:
		return max(1, slots/s.speeds.Slowness(s.usable[i].ID, now))
	}
}

// waitsTooLong reports whether a request would queue at a usable server for too long, or its
// answer would be late because the server is slow.
func (s *shard) waitsTooLong(i int, d Demand, now time.Time) bool {
	if d.ServerSpeed && s.tooLate(i, d, now) {
		return !s.probesSpeed(i, now)
	}
	return s.queueTime(i, d, now) > d.MaxWait
}

// queueTime returns the expected time for which a request queues at a usable server.
func (s *shard) queueTime(i int, d Demand, now time.Time) time.Duration {
	server := s.usable[i]
	ahead := s.inFlight(i) + 1 - server.Slots // requests that have to end before this one starts
	if ahead <= 0 || server.Slots <= 0 {
		return 0
	}
	serviceTime := s.serviceTime(d)
	if d.ServerSpeed {
		if learned := s.speeds.ServiceTime(server.ID, now); learned > 0 {
			serviceTime = learned
		}
	}
	return time.Duration(ahead) * serviceTime / time.Duration(server.Slots)
}

// tooLate reports whether a request that can still be on time would be late at a usable
// server because the server takes longer than the fastest one.
func (s *shard) tooLate(i int, d Demand, now time.Time) bool {
	if d.Late || d.Slack <= 0 {
		return false
	}
	longer := s.speeds.Slowness(s.usable[i].ID, now) - s.leastSlowness
	if longer <= 0 {
		return false
	}
	additional := time.Duration(speedMargin * longer * float64(s.speeds.Typical(d.Route)))
	return s.queueTime(i, d, now)+additional > d.Slack
}

// probesSpeed reports whether a server that is left out gets a request to learn whether it
// has become faster.
func (s *shard) probesSpeed(i int, now time.Time) bool {
	server := s.usable[i]
	if server.InFlight() > 0 || s.inFlight(i) >= server.Slots {
		return false
	}
	return s.speeds.ProbeDue(server.ID, s.inFlight(i) == 0, now)
}
