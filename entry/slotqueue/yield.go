package slotqueue

import "time"

// yieldLogInterval is the least time between two reported changes of a service.
const yieldLogInterval = time.Second

// Yields tracks which levels of a service give way to more urgent requests at other
// gateways. It is not safe for concurrent use.
type Yields struct {
	yields   [levels]bool // as last reported
	reported time.Time
}

// Observe records whether a request of the level gives way, and reports whether that is a
// change to be logged. A change within yieldLogInterval of another one is reported when it
// is observed again after that.
func (y *Yields) Observe(l Level, yields bool, now time.Time) bool {
	if y.yields[l] == yields || now.Sub(y.reported) < yieldLogInterval {
		return false
	}
	y.yields[l], y.reported = yields, now
	return true
}
