package outage

import (
	"time"

	"baywall.example/entry/admission"
)

// View is what a gateway knows of a request and its service.
type View struct {
	Request   admission.Request
	Situation admission.Situation
	Left      time.Duration // until the caller's time limit
	Ahead     int           // interrupted requests that wait at the gateway
}

// Policy decides about requests.
type Policy interface {
	// Name names the policy in tables.
	Name() string
	// Takes reports whether the request takes a place that is free.
	Takes(v View) bool
	// Waits reports whether it waits for one; otherwise it is refused.
	Waits(v View) bool
	// Pause returns for how long its caller is to stay away after a refusal.
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
	case !v.Request.Interrupted && v.Ahead > 0:
		return false
	default:
		return float64(v.Situation.Taken+1) <= v.Situation.Quota
	}
}

// Waits implements Policy.
func (Admission) Waits(v View) bool { return admission.MayWait(v.Request, v.Situation) }

// Pause implements Policy.
func (Admission) Pause(v View, p *admission.Pacer, draw float64, now time.Time) time.Duration {
	return p.Pause(v.Situation, v.Left, draw, now)
}

// AsTheyCome gives places to whoever is there, holds everybody as long as its caller
// waits, and refuses nobody.
type AsTheyCome struct{}

// Name implements Policy.
func (AsTheyCome) Name() string { return "as they come" }

// Takes implements Policy.
func (AsTheyCome) Takes(View) bool { return true }

// Waits implements Policy.
func (AsTheyCome) Waits(View) bool { return true }

// Pause implements Policy.
func (AsTheyCome) Pause(View, *admission.Pacer, float64, time.Time) time.Duration { return 0 }

// Fixed gives places to whoever is there, and refuses what finds none within an eighth of
// its objective, with pauses of 0.25 s, or 2 s while nothing serves.
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
	return min(v.Left/3, pause+time.Duration(0.2*draw*float64(pause)))
}

// NoRoom is Admission without places kept for punctual requests.
type NoRoom struct{ Admission }

// Name implements Policy.
func (NoRoom) Name() string { return "admission, late ones take any place" }

// Takes implements Policy.
func (NoRoom) Takes(View) bool { return true }

// NoPace is Admission with fixed pauses.
type NoPace struct{ Admission }

// Name implements Policy.
func (NoPace) Name() string { return "admission, fixed pauses" }

// Pause implements Policy.
func (NoPace) Pause(v View, p *admission.Pacer, draw float64, now time.Time) time.Duration {
	return Fixed{}.Pause(v, p, draw, now)
}

// InterruptedFirst is Admission with any free place for interrupted requests.
type InterruptedFirst struct{ Admission }

// Name implements Policy.
func (InterruptedFirst) Name() string { return "interrupted take any place" }

// Takes implements Policy.
func (p InterruptedFirst) Takes(v View) bool {
	return v.Request.Interrupted || p.Admission.Takes(v)
}

// Policies are the policies that are compared, the product's first.
func Policies() []Policy {
	return []Policy{Admission{}, InterruptedFirst{}, NoRoom{}, NoPace{}, Fixed{}, AsTheyCome{}}
}
