package notice

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// A shorter rest that is asked for later does not end the longer one.
func TestARestEndsAtTheLatestOfAllEndsAskedFor(t *testing.T) {
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
			end, rested := s.Rest(until, at)
			if !end.Equal(latest) || !s.RestsUntil().Equal(latest) {
				t.Fatalf("rests until %v, asked for %v", end, latest)
			}
			if rested != at.Before(before) {
				t.Fatalf("rested %v at %v, until %v", rested, at, before)
			}
		}
	})
}

func TestALeavingIsFinalForAnIncarnation(t *testing.T) {
	is := is.New(t)
	table := NewTable()
	s := table.Of(1)
	_, leaves := s.Leaving()
	is.True(!leaves)
	is.True(s.Leave(FromAnswer))
	is.True(!s.Leave(FromEntry)) // known already
	from, leaves := table.Of(1).Leaving()
	is.True(leaves)
	is.Equal(from, FromAnswer)
	_, leaves = table.Of(2).Leaving() // of another incarnation nothing is known
	is.True(!leaves)
}

func TestWhatIsKnownOutlivesAnEntryForAWhile(t *testing.T) {
	is := is.New(t)
	table := NewTable()
	table.Of(1).Leave(FromEntry)
	table.Of(2).Rest(now.Add(keptFor+time.Minute), now)
	table.Of(3).Leave(FromEntry)
	table.Unlist(1, now)
	table.Unlist(2, now)
	table.Expire(now.Add(keptFor - time.Second))
	is.Equal(len(table.states), 3)
	table.Of(1) // it is listed again
	table.Expire(now.Add(keptFor))
	is.Equal(len(table.states), 3) // another one rests
	table.Expire(now.Add(keptFor + time.Minute))
	is.Equal(len(table.states), 2)
	_, leaves := table.Of(1).Leaving()
	is.True(leaves)
}
