package source

import (
	"math/rand/v2"
	"time"

	"baywall.example/core/settings"
)

// How long a follower waits before it calls the store again. Whatever the store answers, no
// call follows an answer without a pause.

const (
	// shortestWait is how long one watch waits for events where nobody else
	// follows the store: a watch may go deaf without an error, and a change has
	// to be in force two seconds after it was published.
	shortestWait = 1200 * time.Millisecond
	// waitPart stretches the wait where others follow too, by this part of the time
	// within which a change has to be in force for each of them: each hears of a change
	// from the first whose watch ends, so the calls of all together stay the same.
	waitPart = 0.15
	// defaultWithin is that time where none is set.
	defaultWithin = 2 * time.Second
	// longestWait keeps watches within the store's own limit of 30 s.
	longestWait = 10 * time.Second
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

// UsualWait returns how long a watch waits for events on average and a little more, where so
// many others follow the same store, for a change that has to be in force within the time,
// 0 = 2s.
func UsualWait(others int, within time.Duration) time.Duration {
	if others == 0 {
		return shortestWait
	}
	within = settings.Or(within, defaultWithin)
	return min(longestWait, max(shortestWait, time.Duration(waitPart*float64(others+1)*float64(within))))
}

// Wait returns how long the next watch waits. Each event wakes all followers at
// once, so the waits that follow are spread over the whole usual wait: whenever
// watches go deaf, some follower asks again soon and tells the others.
func Wait(others int, within time.Duration) time.Duration {
	usual := UsualWait(others, within)
	return usual/4 + rand.N(usual)
}

// Staleness returns how old the store's latest answer to a follower may be while the
// store answers and the follower follows it.
func Staleness(others int, within time.Duration) time.Duration { return 2 * UsualWait(others, within) }

// patience is the pause after a failed call of a follower that knows the state and does not
// follow for others.
func patience() time.Duration { return firstPatience + rand.N(longestPatience-firstPatience) }

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
