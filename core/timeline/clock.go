package timeline

import (
	"sync/atomic"
	"time"
)

// logicalBits is the width of the counter below the milliseconds of a Stamp.
const logicalBits = 16

// Stamp is a hybrid logical clock reading: wall-clock milliseconds in the
// upper 48 bits, a counter in the lower 16. Stamps of causally ordered events
// are ordered the same way, whatever the wall clocks say.
type Stamp uint64

// Time returns the wall-clock part of the stamp.
func (s Stamp) Time() time.Time { return time.UnixMilli(int64(s >> logicalBits)) }

// StampAt returns the smallest stamp of the given wall-clock time.
func StampAt(t time.Time) Stamp { return Stamp(uint64(t.UnixMilli()) << logicalBits) }

// Clock is a hybrid logical clock, safe for concurrent use.
type Clock struct {
	last atomic.Uint64
}

// Now returns a stamp greater than every stamp given out or observed before.
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

// maxAhead bounds how far a received stamp may pull the clock forward.
const maxAhead = time.Minute

// Observe merges a stamp received from another process. A stamp more than one
// minute ahead of the wall clock is ignored, so that one broken peer cannot
// drag the whole fleet's clocks along.
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
