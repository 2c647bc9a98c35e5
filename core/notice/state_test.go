package notice

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// A shorter backoff that is requested later must not end a longer one.
func TestBackoffEndsAtLatestRequestedEnd(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var s State
		var latest time.Time
		at := now
		for range rapid.IntRange(1, 20).Draw(t, "asks") {
			at = at.Add(time.Duration(rapid.IntRange(0, 2000).Draw(t, "pause")) * time.Millisecond)
			until := at.Add(time.Duration(rapid.IntRange(0, 5000).Draw(t, "rest")) * time.Millisecond)
			before := latest
			if until.After(latest) {
				latest = until
			}
			end, active := s.Backoff(until, at)
			if !end.Equal(latest) || !s.BackoffUntil().Equal(latest) {
				t.Fatalf("backoff until %v, requested until %v", end, latest)
			}
			if active != at.Before(before) {
				t.Fatalf("backoff in effect %v at %v, until %v", active, at, before)
			}
		}
	})
}

func TestLeavingIsFinalForIncarnation(t *testing.T) {
	is := is.New(t)
	table := NewTable()
	s := table.Of(1)
	_, leaves := s.Leaving()
	is.True(!leaves)
	is.True(s.Leave(FromAnswer))
	is.True(!s.Leave(FromEntry)) // already known
	from, leaves := table.Of(1).Leaving()
	is.True(leaves)
	is.Equal(from, FromAnswer)
	_, leaves = table.Of(2).Leaving() // nothing is known about another incarnation
	is.True(!leaves)
}

func TestStateOutlivesEntryForAWhile(t *testing.T) {
	is := is.New(t)
	table := NewTable()
	table.Of(1).Leave(FromEntry)
	table.Of(2).Backoff(now.Add(stateRetention+time.Minute), now)
	table.Of(3).Leave(FromEntry)
	table.Unlist(1, now)
	table.Unlist(2, now)
	table.Expire(now.Add(stateRetention - time.Second))
	is.Equal(len(table.states), 3)
	table.Of(1) // it is listed again
	table.Expire(now.Add(stateRetention))
	is.Equal(len(table.states), 3) // the backoff of another incarnation has not ended
	table.Expire(now.Add(stateRetention + time.Minute))
	is.Equal(len(table.states), 2)
	_, leaves := table.Of(1).Leaving()
	is.True(leaves)
}
