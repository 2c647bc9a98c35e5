package admission

import (
	"slices"
	"time"
)

// Place is a request's place in a Line.
type Place struct {
	// Again tells that it is not the first attempt.
	Again bool
	// Priority is the request's rank, 0 is the most urgent.
	Priority int
	// Until is when it has to be sent to be of use.
	Until time.Time
}

// before reports whether the place is before another one: first attempts go before others,
// then by rank, and then what cannot wait for as long.
func (p *Place) before(o *Place) bool {
	switch {
	case p.Again != o.Again:
		return o.Again
	case p.Priority != o.Priority:
		return p.Priority < o.Priority
	default:
		return p.Until.Before(o.Until)
	}
}

// Line is the requests that wait for a permit to be sent to servers that name limits. It is
// not safe for concurrent use.
type Line struct{ places []*Place }

// Join adds a request.
func (l *Line) Join(p *Place) { l.places = append(l.places, p) }

// Leave takes a request out.
func (l *Line) Leave(p *Place) {
	l.places = slices.DeleteFunc(l.places, func(o *Place) bool { return o == p })
}

// Empty reports whether nobody waits.
func (l *Line) Empty() bool { return len(l.places) == 0 }

// Ahead returns how many of those in the line go before a request, which may be one of them.
func (l *Line) Ahead(p *Place) int {
	n := 0
	for _, o := range l.places {
		if o != p && o.before(p) {
			n++
		}
	}
	return n
}

// PermitWait returns for how long a request may wait for a permit: until it is late, or its
// caller leaves.
func (r Request) PermitWait() time.Duration {
	if r.Objective == 0 {
		return r.PlacesBefore()
	}
	return min(r.Spare(), r.PlacesBefore())
}

// MayWaitForPermit reports whether a request waits for a permit that it can expect after a
// time: only if it is sure to come in time. A late request does not take one that others need.
func MayWaitForPermit(r Request, turn time.Duration) bool {
	return r.Urgency() == Punctual && turn*doubt < r.PermitWait()
}

// longestReturn bounds the time after which a caller may come back that was refused for want of
// a permit: limits come and go within seconds.
const longestReturn = 5 * time.Second

// PermitPacer hands out the times at which callers may come back that were refused for want of a
// permit. It is not safe for concurrent use.
type PermitPacer struct{ turns turns }

// Pause returns for how long a refused caller is to stay away: until the turn that follows the
// latest one given. The first turn can be expected after a time, the others follow at a gap. The
// draw is uniform in [0, 1).
func (p *PermitPacer) Pause(turn, gap time.Duration, draw float64, now time.Time) time.Duration {
	jitter := time.Duration(draw * float64(min(gap, longestReturn)))
	pause, ok := p.turns.take(turn, gap, jitter, longestReturn, now)
	if !ok {
		return lastMoment(longestReturn, 0, draw)
	}
	return pause
}

// PermitBy returns for how long a request waits for a permit that it can expect after a time.
func PermitBy(turn time.Duration) time.Duration { return turn * doubt }
