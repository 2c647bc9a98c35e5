package speed

import "time"

const (
	// slowFrom and normalFrom are the slowness from which a server is reported as slow and
	// below which it is reported as normal again. They differ so that a server between
	// them is not reported again and again.
	slowFrom, normalFrom = 1.5, 1.25
	// reportInterval is the minimum time between two reported changes.
	reportInterval = time.Second
)

// Change is a server that became slow, or normal again.
type Change struct {
	Server      string
	Slow        bool
	Slowness    float64
	ServiceTime time.Duration
}

// changes bounds the rate of reported changes.
type changes struct{ at time.Time }

// Change returns a change that was not returned yet, at most one a second. A change that
// is reversed before it could be returned is dropped.
func (s *Service) Change(now time.Time) (Change, bool) {
	if now.Sub(s.changes.at) < reportInterval {
		return Change{}, false
	}
	for id, one := range s.servers {
		slowness := s.Slowness(id, now)
		if one.reported && slowness >= normalFrom || !one.reported && slowness < slowFrom {
			continue
		}
		one.reported = !one.reported
		s.changes.at = now
		return Change{Server: id, Slow: one.reported, Slowness: slowness, ServiceTime: s.ServiceTime(id, now)}, true
	}
	return Change{}, false
}
