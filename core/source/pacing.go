package source

import (
	"math/rand/v2"
	"time"

	"baywall.example/core/settings"
)

// This file decides how long a follower waits before it calls the store again. Whatever
// the store answers, no call follows an answer without a pause.

const (
	// leadWaitMin and leadWaitMax bound the wait of a leader's watch, as fractions of the
	// time in which a change has to take effect. A watch may stall without an error, and
	// a change that it then delivers late still has to reach the others in time.
	leadWaitMin, leadWaitMax = 0.1, 0.35
	// followFraction is the usual wait of the other followers, per follower, as a
	// fraction of that time. They learn of changes from a leader, so that the number of
	// calls of all together stays constant.
	followFraction = 0.3
	// staleFraction is the fraction of that time after which the store's latest answer to
	// any follower is too old to rely on: a leader gets an answer, and reports it, in
	// less.
	staleFraction = 0.55
	// defaultWithin is that time if none is set.
	defaultWithin = 2 * time.Second
	// maxWait keeps watches within the store's own limit of 30 s.
	maxWait = 10 * time.Second
	// callGap is the least time between an answer and the next call.
	callGap = 20 * time.Millisecond
	// listSpread is the time over which leaders and followers spread their lists after a
	// lost history, which all of them notice at the same moment. standInListSpread is the
	// same for stand-ins, which need not list if they take the state from the others.
	listSpread        = 100 * time.Millisecond
	standInListSpread = time.Second
	// minBackoff and maxBackoff bound the jittered, doubling pause between failed calls:
	// a recovered store is noticed within half a second.
	minBackoff = 60 * time.Millisecond
	maxBackoff = 450 * time.Millisecond
	// minStandInPause and maxStandInPause bound the random pause of a stand-in that knows
	// the state: of 140 followers, some try in each tenth of a second.
	minStandInPause = time.Second
	maxStandInPause = 3 * time.Second
	// burstFraction is how long a follower lets further events gather during a burst, as
	// when a whole service starts, as a fraction of the time in which a change has to
	// take effect: each call adds load to the store.
	burstFraction = 0.125
	// burstGap is the longest time between events that count as one burst.
	burstGap = time.Second
)

// Role determines whether, and for whom, a follower calls the store.
type Role int

// Roles of a follower.
const (
	// RoleLead follows on behalf of others, with short watches.
	RoleLead Role = iota
	// RoleFollow follows in addition to the leaders.
	RoleFollow
	// RoleStandIn follows because no reachable follower is known to do so. Each try of an
	// unavailable store adds load, so stand-ins try seldom.
	RoleStandIn
	// RolePassive makes no calls to the store. Its name in logs is "rest".
	RolePassive
)

var roleNames = [...]string{"lead", "follow", "stand-in", "rest"}

func (r Role) String() string { return roleNames[r] }

func fraction(p float64, within time.Duration) time.Duration {
	return time.Duration(p * float64(settings.Or(within, defaultWithin)))
}

// maxWatchWait returns the longest wait of a watch, given how many others follow the same
// store and the time in which a change has to take effect (0 = 2s).
func maxWatchWait(r Role, others int, within time.Duration) time.Duration {
	if r == RoleLead {
		return fraction(leadWaitMax, within)
	}
	return min(maxWait, max(fraction(leadWaitMax, within), fraction(followFraction*float64(others+1), within)*5/4))
}

// WatchWait returns the wait of the next watch. Each event wakes all followers at once, so the
// following waits are random: if watches stall, some follower soon starts a new one and
// informs the others.
func WatchWait(r Role, others int, within time.Duration) time.Duration {
	longest := maxWatchWait(r, others, within)
	least := longest / 5
	if r == RoleLead {
		least = fraction(leadWaitMin, within)
	}
	return least + rand.N(longest-least)
}

// MaxStaleness returns how old the store's latest answer to any follower may be while
// passive followers rely on it.
func MaxStaleness(within time.Duration) time.Duration { return fraction(staleFraction, within) }

// standInPause is the pause after a failed call of a stand-in that knows the state.
func standInPause() time.Duration { return minStandInPause + rand.N(maxStandInPause-minStandInPause) }

// backoff returns a jittered, doubling pause after the n-th consecutive answer without
// progress, counted from 1.
func backoff(n int) time.Duration {
	limit := min(maxBackoff, minBackoff<<min(n-1, 4))
	return limit/2 + rand.N(limit/2)
}

// relistPause returns the pause before a list after a lost history, the n-th consecutive
// one.
func relistPause(n int, r Role) time.Duration {
	switch {
	case n > 1:
		return max(backoff(n), callGap)
	case r == RoleStandIn:
		return callGap + rand.N(standInListSpread)
	default:
		return callGap + rand.N(listSpread)
	}
}
