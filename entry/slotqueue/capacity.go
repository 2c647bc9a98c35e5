package slotqueue

import "time"

// Capacity describes the slots of a service as one gateway sees them.
type Capacity struct {
	// Slots is the number of requests that the servers may run at a time, InFlight the
	// number that all gateways have sent to them.
	Slots, InFlight int
	// ServiceTime is the mean time for which a request occupies a slot, 0 = unknown.
	ServiceTime time.Duration
}

// Wait returns the expected time until a request gets a slot that has the given number of
// requests ahead. Requests in flight beyond the slots wait at the servers and are ahead as
// well. It is 0 if nothing is known.
func (c Capacity) Wait(ahead int) time.Duration {
	if c.Slots <= 0 {
		return 0
	}
	ahead += max(0, c.InFlight-c.Slots)
	return c.ServiceTime * time.Duration(ahead) / time.Duration(c.Slots)
}
