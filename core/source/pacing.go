package source

import (
	"math/rand/v2"
	"time"
)

// How long a follower waits before it calls the store again. Whatever the store answers, no
// call follows an answer without a pause.

const (
	// callGap is the least time between an answer and the next call.
	callGap = 20 * time.Millisecond
	// listSpread is the time over which those that follow for others list anew after a lost
	// history, which all notice in one moment; unhurriedSpread the same for the rest, which
	// need not list where they take the state from these.
	listSpread      = 100 * time.Millisecond
	unhurriedSpread = time.Second
	// firstPause and longestPause bound the jittered, doubling pause between
	// failed calls: a store that is back is noticed within half a second.
	firstPause   = 60 * time.Millisecond
	longestPause = 450 * time.Millisecond
	// firstPatience and longestPatience bound the random pause of a follower that knows
	// the state and does not lead: of 140 some try each tenth of a second.
	firstPatience   = time.Second
	longestPatience = 3 * time.Second
	// eventPause is how long a follower lets events gather that come in a row, as
	// when a whole service starts: each call has its price, and a change may take
	// two seconds to be in force.
	eventPause = 250 * time.Millisecond
	// inARow is how soon after the last event the next one counts as in a row.
	inARow = time.Second
)

// backoff is a jittered, doubling pause after an answer that is the n-th in a row, from 1,
// which brought nothing.
func backoff(n int) time.Duration {
	limit := min(longestPause, firstPause<<min(n-1, 4))
	return limit/2 + rand.N(limit/2)
}

// relistPause returns the pause before a list after a lost history, the n-th in a row.
func relistPause(n int, leads bool) time.Duration {
	switch {
	case n > 1:
		return max(backoff(n), callGap)
	case leads:
		return callGap + rand.N(listSpread)
	default:
		return callGap + rand.N(unhurriedSpread)
	}
}
