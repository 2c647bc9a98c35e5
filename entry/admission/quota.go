package admission

import "time"

// Capacity describes the capacity of a service's backend servers and one process's share of
// the load.
type Capacity struct {
	// Slots is the number of requests that the servers run concurrently, Members the
	// number of processes that share them.
	Slots, Members int
	// OnTimeRate is the number of requests per second that arrive at this process and
	// can be on time.
	OnTimeRate float64
	// ServiceTime is the expected time for which a request occupies a slot.
	ServiceTime time.Duration
}

// LateQuota returns how many late requests this process may have at the servers at a time:
// its share of the slots less those that on-time arrivals occupy according to Little's
// law. A value of 0 or less means none.
func LateQuota(p Capacity) float64 {
	return float64(p.Slots)/float64(max(1, p.Members)) - p.OnTimeRate*p.ServiceTime.Seconds()
}
