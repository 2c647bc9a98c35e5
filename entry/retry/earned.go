package retry

import "time"

const (
	// usedShare is the fraction of a limit that all processes use together. The rest is for
	// retries that arrive in another window than they were charged in.
	usedShare = 0.8
	// earnedShare is the fraction of the ratio that a request earns: the retries in one window
	// may use what was earned in two.
	earnedShare = usedShare / 2
	// windowIntervals is the number of intervals in which a window is counted.
	windowIntervals = 20
	// wholeRetry is what one retry costs, less rounding errors of the sums.
	wholeRetry = 1 - 1e-9
)

// Earned counts the retries of one service that a process's own requests earned. It is a
// pure state machine and not safe for concurrent use.
type Earned struct {
	perRequest float64
	earned     ring // not used yet
}

// NewEarned returns a count of zero.
func NewEarned(l Limit, now time.Time) *Earned {
	return &Earned{perRequest: earnedShare * l.Ratio, earned: newRing(windowIntervals, l.Window/windowIntervals, now)}
}

// Request counts a request, which earns a fraction of a retry for at most a window.
func (e *Earned) Request(now time.Time) { e.earned.add(e.perRequest, now) }

// Left returns the retries that are left.
func (e *Earned) Left(now time.Time) float64 { return e.earned.sum(now) }

// Take consumes one retry, the part of it that was earned first before the rest. It reports
// false if less than one is left.
func (e *Earned) Take(now time.Time) bool {
	if e.Left(now) < wholeRetry {
		return false
	}
	due := 1.0
	for _, v := range e.earned.oldest() {
		used := min(due, *v)
		*v -= used
		due -= used
	}
	return true
}
