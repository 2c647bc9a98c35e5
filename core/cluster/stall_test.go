package cluster

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestDatagramsMayHaveWaitedDuringStall(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	var s stall
	is.True(!s.mayHaveWaited(now))
	for range 10 {
		s.recordTick(now)
		now = now.Add(standbyTick)
		is.True(!s.mayHaveWaited(now))
	}
	now = now.Add(4 * time.Second) // the process stalls
	is.True(s.mayHaveWaited(now))  // read before the next tick
	s.recordTick(now)
	is.True(s.mayHaveWaited(now)) // and after it
	now = now.Add(drainTime)
	is.True(!s.mayHaveWaited(now))
}
