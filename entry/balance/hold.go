package balance

import "time"

// holdTime is for how long streams are held back after passes became long: a new expert
// map is in use 0.5 s after a change of demand. If passes stay long, holding streams back
// for longer would only make all of them late by their first event.
const holdTime = 600 * time.Millisecond

// longPasses tracks since when the passes of a server are long.
type longPasses struct{ since time.Time }

// holds records whether passes are long, and reports whether to hold streams back.
func (l *longPasses) holds(long bool, now time.Time) bool {
	switch {
	case !long:
		l.since = time.Time{}
	case l.since.IsZero():
		l.since = now
	}
	return long && now.Sub(l.since) < holdTime
}
