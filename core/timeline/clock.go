package timeline

import (
	"sync/atomic"
	"time"
)

// logicalBits is the width of the counter below the milliseconds of a Stamp.
const logicalBits = 16

// Stamp is a reading of a hybrid logical clock: wall-clock milliseconds in the upper 48
// bits, a counter in the lower 16. Stamps of causally ordered events have the same order,
// regardless of wall-clock skew.
type Stamp uint64

// Time returns the wall-clock part of the stamp.
func (s Stamp) Time() time.Time { return time.UnixMilli(int64(s >> logicalBits)) }

// StampAt returns the smallest stamp of the given wall-clock time.
func StampAt(t time.Time) Stamp { return Stamp(uint64(t.UnixMilli()) << logicalBits) }

// Clock is a hybrid logical clock, safe for concurrent use.
type Clock struct {
	last atomic.Uint64
}

// Now returns a stamp greater than every stamp returned or observed before.
func (c *Clock) Now(wall time.Time) Stamp {
	physical := uint64(StampAt(wall))
	for {
		last := c.last.Load()
		next := max(last+1, physical)
		if c.last.CompareAndSwap(last, next) {
			return Stamp(next)
		}
	}
}

// maxAhead is how far a received stamp may advance the clock beyond the wall clock.
const maxAhead = time.Minute

// Observe merges a stamp received from another process. A stamp more than one
// minute ahead of the wall clock is ignored, so that one faulty peer cannot
// advance the clocks of the whole fleet.
func (c *Clock) Observe(s Stamp, wall time.Time) {
	if s > StampAt(wall.Add(maxAhead)) {
		return
	}
	for {
		last := c.last.Load()
		if uint64(s) <= last || c.last.CompareAndSwap(last, uint64(s)) {
			return
		}
	}
}
