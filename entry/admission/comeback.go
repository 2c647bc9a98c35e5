package admission

import (
	"time"
)

const (
	// leastPause is the least time after which a caller may come back: places come
	// free within a pass or two of an engine.
	leastPause = 100 * time.Millisecond
	// heededPart is the part of the time that a caller has left for which it stays away
	// at most.
	heededPart = 1.0 / 3
	// jitterPart is the part by which a pause varies, so that callers refused by several
	// processes at once do not come back together.
	jitterPart = 0.2
)

// turns hands out times at which callers may come back, one after the other.
type turns struct{ next time.Time }

// take returns for how long a caller is to stay away: until the turn that follows the latest
// one given, and the jitter. The first turn can be expected after a time, the others follow at
// a gap. It returns false, and gives none, if that is longest or more.
func (t *turns) take(first, gap, jitter, longest time.Duration, now time.Time) (time.Duration, bool) {
	at := now.Add(max(leastPause, first))
	if t.next.After(at) {
		at = t.next
	}
	pause := at.Sub(now)
	if pause >= longest {
		return 0, false
	}
	t.next = at.Add(gap)
	return min(longest, pause+jitter), true
}

// Pacer hands out the times at which refused callers may come back. It is not safe for
// concurrent use.
type Pacer struct{ turns turns }

// Pause returns for how long a refused caller that has some time left is to stay away:
// until the turn that follows the latest one given, as far as callers heed it. The
// draw is uniform in [0, 1).
func (p *Pacer) Pause(s Situation, left time.Duration, draw float64, now time.Time) time.Duration {
	longest := max(leastPause, time.Duration(heededPart*float64(left)))
	gap, turn := s.turnGap(), s.Turn()
	if turn >= longest { // or never
		return lastMoment(longest, s.Back, draw)
	}
	pause, ok := p.turns.take(turn, gap, time.Duration(draw*float64(gap)), longest, now)
	if !ok {
		return lastMoment(longest, s.Back, draw)
	}
	return pause
}

// lastMoment returns the pause of a caller whose turn does not come in time: it comes back
// as late as it can, in the part of that time that callers are spread over, and not
// before the service is expected back.
func lastMoment(longest, back time.Duration, draw float64) time.Duration {
	return longest - time.Duration(jitterPart*draw*float64(longest-min(longest, back)))
}
