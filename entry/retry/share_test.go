package retry

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestShareHoldsInEveryWindow(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1_700_000_000, 0)
	limit := Limit{Ratio: 0.2, Slack: 80, Window: 10 * time.Second}
	share := NewShare(limit, func() int { return 8 }, now, func() time.Time { return now })
	taken := make(map[int]int) // retries by tenth of a second
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

// After a process was paused, its clock jumps by more than a window.
func TestShareAfterLongPause(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1_700_000_000, 0)
	share := NewShare(Limit{Slack: 10, Window: 10 * time.Second}, func() int { return 1 }, now, func() time.Time { return now })
	now = now.Add(10 * time.Second)
	for range 8 {
		is.True(share.Take())
	}
	is.True(!share.Take())
	now = now.Add(time.Hour)
	is.True(share.Take())
}

func taken(s *Share) int {
	n := 0
	for s.Take() {
		n++
	}
	return n
}

// A restarted process does not know how much of its slack the previous process used in the
// current window.
func TestRestartGrantsNoSlackImmediately(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1_700_000_000, 0)
	share := NewShare(Limit{Slack: 80, Window: 10 * time.Second}, func() int { return 1 }, now, func() time.Time { return now })
	is.Equal(taken(share), 0)
	now = now.Add(5 * time.Second)
	is.Equal(taken(share), 32)
}

// A gateway that is cut off from the others must not use their parts of the slack.
func TestUnreachableMembersKeepTheirPart(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1_700_000_000, 0)
	members := 8
	share := NewShare(Limit{Slack: 80, Window: 10 * time.Second}, func() int { return members }, now, func() time.Time { return now })
	share.Take()
	now = now.Add(20 * time.Second)
	members = 1
	is.Equal(taken(share), 8)
}

// Standby gateways are not counted as members but get occasional requests. Together they
// must not use the slack a second time.
func TestStandbyGatewayHasNoPartOfTheSlack(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1_700_000_000, 0)
	members := 0
	share := NewShare(Limit{Ratio: 0.2, Slack: 80, Window: 10 * time.Second}, func() int { return members }, now, func() time.Time { return now })
	now = now.Add(10 * time.Second)
	is.Equal(taken(share), 0)
	for range 50 {
		share.Request()
	}
	is.Equal(taken(share), 8) // from the ratio of its own requests
	members = 4
	is.Equal(taken(share), 16) // its part of the slack, once it is active
}

// The first request for a service may come long after the process started. The slack that
// the previous process used has left the window by then.
func TestFirstRequestLongAfterStartHasFullPart(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1_700_000_000, 0)
	share := NewShare(Limit{Slack: 80, Window: 10 * time.Second}, func() int { return 1 }, now.Add(-20*time.Second), func() time.Time { return now })
	share.Request()
	is.Equal(taken(share), 64)
}
