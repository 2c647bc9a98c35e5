package admission

import "time"

// Request is the state of a request that needs a backend server.
type Request struct {
	// Age is the time since the request arrived at this process.
	Age time.Duration
	// Objective is the age by which an answer has to begin to be on time; 0 = any time.
	Objective time.Duration
	// Limit is the age at which the caller leaves if it has received nothing by then, or
	// nothing more of an interrupted stream.
	Limit time.Duration
	// Deadline is the age at which the request's deadline passes.
	Deadline time.Duration
	// FirstAnswer is the usual time from sending a request to the beginning of its
	// answer, 0 = unknown.
	FirstAnswer time.Duration
	// Interrupted is set if the caller has received a part of the answer already, or if
	// an earlier attempt may have run. Such a request is late whatever its age.
	Interrupted bool
}

// Urgency classifies requests by whether they can be on time.
type Urgency int

// Urgencies, in the order in which they are served.
const (
	OnTime   Urgency = iota + 1 // an answer can still begin on time
	Late                        // it can still begin before the caller leaves
	Hopeless                    // it cannot begin before the caller leaves
)

// String returns the name of the urgency.
func (u Urgency) String() string { return [...]string{"", "punctual", "late", "hopeless"}[u] }

// firstAnswerFraction bounds the time to the first answer that is assumed, as a fraction
// of the objective. Without a bound, all requests would count as late on arrival while
// answers are slow.
const firstAnswerFraction = 0.5

// Urgency returns the current urgency of the request.
func (r Request) Urgency() Urgency {
	switch {
	case r.Age+r.FirstAnswer >= r.Limit:
		return Hopeless
	case r.Interrupted || r.Objective > 0 && r.Slack() <= 0:
		return Late
	default:
		return OnTime
	}
}

// Slack returns for how long the request may wait and still be on time. It is negative if
// the request can no longer be on time, and 0 for a request without an objective.
func (r Request) Slack() time.Duration {
	if r.Objective == 0 {
		return 0
	}
	need := min(r.FirstAnswer, time.Duration(firstAnswerFraction*float64(r.Objective)))
	return r.Objective - need - r.Age
}

// SlotWait returns for how long the request may wait for a slot and still be served
// before its caller leaves; negative if it is too late already.
func (r Request) SlotWait() time.Duration { return r.Limit - r.FirstAnswer - r.Age }
