package outage

import (
	"time"

	"baywall.example/entry/admission"
)

// View is what a gateway knows about a request and its service.
type View struct {
	Request           admission.Request
	Situation         admission.Situation
	TimeLeft          time.Duration // until the caller's deadline
	InterruptedQueued int           // interrupted requests that wait at the gateway
}

// Policy decides which requests run, wait or are refused.
type Policy interface {
	// Name returns the name of the policy in tables and plots.
	Name() string
	// Takes reports whether the request may take a free slot.
	Takes(v View) bool
	// Waits reports whether the request may wait for a slot; otherwise it is refused.
	Waits(v View) bool
	// Pause returns how long the caller has to wait before it retries after a refusal.
	Pause(v View, p *admission.Pacer, draw float64, now time.Time) time.Duration
}

// Admission is the product's policy.
type Admission struct{}

// Name implements Policy.
func (Admission) Name() string { return "admission" }

// Takes implements Policy.
func (Admission) Takes(v View) bool {
	switch {
	case v.Request.Urgency() == admission.OnTime:
		return true
	case !v.Request.Interrupted && v.InterruptedQueued > 0:
		return false
	default:
		return float64(v.Situation.Taken+1) <= v.Situation.Quota
	}
}

// Waits implements Policy.
func (Admission) Waits(v View) bool { return admission.MayWait(v.Request, v.Situation) }

// Pause implements Policy.
func (Admission) Pause(v View, p *admission.Pacer, draw float64, now time.Time) time.Duration {
	return p.Pause(v.Situation, v.TimeLeft, draw, now)
}

// Unrestricted gives any free slot to any request, lets requests wait as long as their
// callers do, and refuses none.
type Unrestricted struct{}

// Name implements Policy.
func (Unrestricted) Name() string { return "as they come" }

// Takes implements Policy.
func (Unrestricted) Takes(View) bool { return true }

// Waits implements Policy.
func (Unrestricted) Waits(View) bool { return true }

// Pause implements Policy.
func (Unrestricted) Pause(View, *admission.Pacer, float64, time.Time) time.Duration { return 0 }

// Fixed gives any free slot to any request. It refuses requests that get no slot within an
// eighth of their objective, or at once during an outage, and interrupted ones after 1.5 s.
// Callers pause for 0.25 s, or 2 s during an outage.
type Fixed struct{}

// Name implements Policy.
func (Fixed) Name() string { return "fixed pauses" }

// Takes implements Policy.
func (Fixed) Takes(View) bool { return true }

// Waits implements Policy.
func (Fixed) Waits(v View) bool {
	if v.Request.Interrupted {
		return v.Request.Age < 1500*time.Millisecond
	}
	return v.Situation.RecoversIn == 0 && v.Request.Age < v.Request.Objective/8
}

// Pause implements Policy.
func (Fixed) Pause(v View, _ *admission.Pacer, draw float64, _ time.Time) time.Duration {
	pause := 250 * time.Millisecond
	if v.Situation.RecoversIn > 0 {
		pause = 2 * time.Second
	}
	return min(v.TimeLeft/3, pause+time.Duration(0.2*draw*float64(pause)))
}

// NoQuota is Admission without slots reserved for requests that are on time.
type NoQuota struct{ Admission }

// Name implements Policy.
func (NoQuota) Name() string { return "admission, late ones take any place" }

// Takes implements Policy.
func (NoQuota) Takes(View) bool { return true }

// NoPacing is Admission with the pauses of Fixed.
type NoPacing struct{ Admission }

// Name implements Policy.
func (NoPacing) Name() string { return "admission, fixed pauses" }

// Pause implements Policy.
func (NoPacing) Pause(v View, p *admission.Pacer, draw float64, now time.Time) time.Duration {
	return Fixed{}.Pause(v, p, draw, now)
}

// InterruptedFirst is Admission, except that interrupted requests may take any free slot.
type InterruptedFirst struct{ Admission }

// Name implements Policy.
func (InterruptedFirst) Name() string { return "interrupted take any place" }

// Takes implements Policy.
func (p InterruptedFirst) Takes(v View) bool {
	return v.Request.Interrupted || p.Admission.Takes(v)
}

// Policies returns the policies to compare, the product's first.
func Policies() []Policy {
	return []Policy{Admission{}, InterruptedFirst{}, NoQuota{}, NoPacing{}, Fixed{}, Unrestricted{}}
}
