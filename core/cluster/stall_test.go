package cluster

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestWhatWaitedWhileTheProcessStoodStill(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	var s stall
	is.True(!s.waited(now))
	for range 10 {
		s.look(now)
		now = now.Add(standbyTick)
		is.True(!s.waited(now))
	}
	now = now.Add(4 * time.Second) // it stands still
	is.True(s.waited(now))         // read before the next look
	s.look(now)
	is.True(s.waited(now)) // and after it
	now = now.Add(drainTime)
	is.True(!s.waited(now))
}
