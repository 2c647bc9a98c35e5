package retry

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestAShareHoldsInEveryWindow(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1_700_000_000, 0)
	limit := Limit{Ratio: 0.2, Slack: 80, Window: 10 * time.Second}
	share := NewShare(limit, func() int { return 8 }, func() time.Time { return now })
	taken := make(map[int]int) // by tenth of a second
	for i := range 600 {       // one minute of 10 requests/s, all of which want a retry
		now = now.Add(100 * time.Millisecond)
		share.Request()
		if share.Take() {
			taken[i]++
		}
		window := 0
		for j := i - 99; j <= i; j++ {
			window += taken[j]
		}
		is.True(window <= 20+10)
	}
	is.True(len(taken) > 100)
}

// A process that was paused sees a long jump.
func TestAShareSurvivesALongPause(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1_700_000_000, 0)
	share := NewShare(Limit{Slack: 10, Window: 10 * time.Second}, func() int { return 1 }, func() time.Time { return now })
	for range 8 {
		is.True(share.Take())
	}
	is.True(!share.Take())
	now = now.Add(time.Hour)
	is.True(share.Take())
}
