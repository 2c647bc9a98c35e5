package slotqueue

import "time"

// reportLifetime is how long a report counts if no later one arrives. It exceeds the
// interval between heartbeats, so that single lost ones do not matter.
const reportLifetime = 500 * time.Millisecond

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
	at       time.Time
	services map[uint32]*Counts
}

// Receive replaces the reports of a gateway. An empty list says that nothing waits there.
func (r *Reports) Receive(from string, reports []Report, now time.Time) {
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
	r.gateways[from] = gatewayReport{now, services}
}

func (r *Reports) expire(now time.Time) {
	for from, report := range r.gateways {
		if now.Sub(report.at) >= reportLifetime {
			delete(r.gateways, from)
		}
	}
}

// Waiting returns how many requests of the service wait at other gateways.
func (r *Reports) Waiting(service uint32, now time.Time) Counts {
	var sum Counts
	for _, report := range r.gateways {
		counts := report.services[service]
		if counts == nil || now.Sub(report.at) >= reportLifetime {
			continue
		}
		for l, n := range counts {
			sum[l] += n
		}
	}
	return sum
}
