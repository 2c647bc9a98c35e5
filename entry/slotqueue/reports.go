package slotqueue

import "time"

const (
	// reportLifetime is how long a report counts at least if no later one arrives.
	reportLifetime = 500 * time.Millisecond
	// lifetimeFactor is how long a report counts, in multiples of the interval between
	// reports, so that a single lost one does not matter.
	lifetimeFactor = 2.5
)

// Report is the number of waiting requests of one level of a service at another gateway.
type Report struct {
	Service  uint32 // hash of the service's name
	Level    Level
	Requests int
}

// Reports holds the latest reports of the other gateways. It is not safe for concurrent
// use.
type Reports struct{ gateways map[string]gatewayReport }

type gatewayReport struct {
	until    time.Time // until when it counts
	services map[uint32]*Counts
}

// Receive replaces the reports of a gateway, which sends them at an interval. An empty list
// says that nothing waits there.
func (r *Reports) Receive(from string, reports []Report, interval time.Duration, now time.Time) {
	r.expire(now)
	if len(reports) == 0 {
		delete(r.gateways, from)
		return
	}
	services := make(map[uint32]*Counts)
	for _, one := range reports {
		counts := services[one.Service]
		if counts == nil {
			counts = &Counts{}
			services[one.Service] = counts
		}
		level := min(max(0, one.Level), repeatedLevel)
		counts[level] = min(counts[level]+max(0, one.Requests), MaxEntries)
	}
	if r.gateways == nil {
		r.gateways = make(map[string]gatewayReport)
	}
	lifetime := max(reportLifetime, time.Duration(lifetimeFactor*float64(interval)))
	r.gateways[from] = gatewayReport{now.Add(lifetime), services}
}

func (r *Reports) expire(now time.Time) {
	for from, report := range r.gateways {
		if !now.Before(report.until) {
			delete(r.gateways, from)
		}
	}
}

// Waiting returns how many requests of the service wait at other gateways.
func (r *Reports) Waiting(service uint32, now time.Time) Counts {
	var sum Counts
	for _, report := range r.gateways {
		counts := report.services[service]
		if counts == nil || !now.Before(report.until) {
			continue
		}
		for l, n := range counts {
			sum[l] += n
		}
	}
	return sum
}
