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

// Turn is when a request can expect that a server takes it that is at its limit or rests.
type Turn struct {
	// Next is the time until a server takes one.
	Next time.Duration
	// Queue is for how long others go before then, and Gap the time between two of them. Both
	// are estimates.
	Queue, Gap time.Duration
}

// after returns the time until the turn.
func (t Turn) after() time.Duration { return t.Next + t.Queue }

// PermitBy returns for how long a request waits at most that waits for a permit, RestBy the same
// of one that waits for the end of a rest, which is known.
func (t Turn) PermitBy() time.Duration { return t.after() * doubt }

// RestBy: see PermitBy.
func (t Turn) RestBy() time.Duration { return t.Next + doubt*(t.Queue+t.Gap) }

// MayWaitForPermit reports whether a request waits for a permit: only if it is sure to come in
// time. A late request does not take one that others need.
func MayWaitForPermit(r Request, t Turn) bool {
	return r.Urgency() == Punctual && t.after()*doubt < r.PermitWait()
}

// MayWaitForRest reports whether a request waits until a rest is over, also if it is late then:
// only if its turn comes in half of the time until its caller leaves, as the server may ask for
// another rest.
func MayWaitForRest(r Request, t Turn) bool {
	return r.Urgency() != Hopeless && t.after()*doubt < r.PlacesBefore()
}

// MayStayForRest reports the same of one that waits already: unless another rest was asked for
// that lasts too long.
func MayStayForRest(r Request, t Turn) bool {
	return r.Urgency() != Hopeless && t.Next < r.PlacesBefore()
}

// longestReturn bounds the time after which a caller may come back that was refused for want of
// a permit, or after the end of a rest: limits come and go within seconds.
const longestReturn = 5 * time.Second

// PermitPacer hands out the times at which callers may come back that were refused for want of a
// permit, or as all servers rest. It is not safe for concurrent use.
type PermitPacer struct{ turns turns }

// Pause returns for how long a refused caller is to stay away: until the turn that follows the
// latest one given. The draw is uniform in [0, 1).
func (p *PermitPacer) Pause(t Turn, draw float64, now time.Time) time.Duration {
	return p.pause(t, 0, draw, now)
}

// PauseAfterRest is Pause where nobody is served before the end of a rest.
func (p *PermitPacer) PauseAfterRest(t Turn, draw float64, now time.Time) time.Duration {
	return p.pause(t, t.Next, draw, now)
}

// pause returns a time between the end of a rest and longestReturn after it.
func (p *PermitPacer) pause(t Turn, rest time.Duration, draw float64, now time.Time) time.Duration {
	longest := rest + longestReturn
	jitter := time.Duration(draw * float64(min(t.Gap, longestReturn)))
	pause, ok := p.turns.take(t.after(), t.Gap, jitter, longest, now)
	if !ok {
		return lastMoment(longest, rest, draw)
	}
	return pause
}
