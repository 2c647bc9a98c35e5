package mapswitch

import "time"

const (
	// stepLengthWindow is the minimum time over which the length of a step is measured:
	// steps are seen some tens of milliseconds late.
	stepLengthWindow = 150 * time.Millisecond
	// leadReserve is the factor by which the lead of the next switch exceeds the duration
	// of the latest one: a group that reaches the step before all ranks are armed has to
	// wait.
	leadReserve = 1.5
)

// leadEstimator estimates how many steps a switch takes, counted from its first order.
type leadEstimator struct {
	step           uint64 // at the start of the measurement
	windowStart    time.Time
	stepLength     time.Duration // of one step
	switchStart    time.Time     // of the current switch
	switchDuration time.Duration // of the latest switch
}

func (e *leadEstimator) observe(step uint64, now time.Time) {
	if e.step == 0 || step < e.step {
		e.step, e.windowStart = step, now
		return
	}
	if step > e.step && now.Sub(e.windowStart) >= stepLengthWindow {
		e.stepLength = now.Sub(e.windowStart) / time.Duration(step-e.step)
		e.step, e.windowStart = step, now
	}
}

func (e *leadEstimator) switchStarted(step uint64, now time.Time) {
	e.observe(step, now)
	e.switchStart = now
}

func (e *leadEstimator) switchEnded(now time.Time) {
	if !e.switchStart.IsZero() {
		e.switchDuration = now.Sub(e.switchStart)
	}
}

func (e *leadEstimator) steps() uint64 {
	if e.stepLength <= 0 {
		return 0
	}
	return uint64(leadReserve*float64(e.switchDuration)/float64(e.stepLength)) + 1
}
