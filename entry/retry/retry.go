package retry

import (
	"time"

	"baywall.example/core/contract"
)

// Event is the way in which an attempt ended without a complete answer.
type Event int

// Events.
const (
	// EventRefused: the agent refused the attempt.
	EventRefused Event = iota + 1
	// EventNotSent: the attempt was never sent.
	EventNotSent
	// EventLost: the link broke, or the agent stopped responding, before the head.
	EventLost
	// EventCut: the link broke after the head was forwarded.
	EventCut
	// EventTombstoned: the agent proved that the attempt will never run.
	EventTombstoned
	// EventHeld: the agent holds the attempt, and its answer can be requested.
	EventHeld
	// EventOutcomeUnknown: the agent does not know the attempt's outcome, or was not reached in time.
	EventOutcomeUnknown
)

// Action is the next step.
type Action int

// Actions.
const (
	ActionRetry  Action = iota + 1 // make another attempt
	ActionQuery                    // query the agent for the attempt's outcome
	ActionResume                   // reattach to the attempt
	ActionRefuse                   // give up with Decision.Refusal
	ActionAbort                    // cut the caller's connection, so that it notices the failure
)

// Decision is the action and, with ActionRefuse, the refusal.
type Decision struct {
	Action  Action
	Refusal contract.Refusal
}

const (
	// maxAttempts bounds the attempts at one request.
	maxAttempts = 4
	// minTimeLeft is the least time before the deadline for which another attempt is made.
	minTimeLeft = 5 * time.Millisecond
	// retryAfter is the delay suggested to callers in a refusal that specifies none, such as
	// one for lack of backend servers.
	retryAfter = 500 * time.Millisecond
)

// Checker tells whether a retry budget has a retry left.
type Checker interface {
	Has() bool
}

// Sequence is the state of the attempts at one request. It is not safe for concurrent use.
type Sequence struct {
	Idempotent bool
	Ticketed   bool
	Deadline   time.Time
	Budget     Checker
	// MaxRuns bounds the attempts that may have run. If it is 0, only the total number of
	// attempts is bounded.
	MaxRuns int

	attempts  int
	runs      int  // attempts that may have run
	chargeDue bool // the next attempt is a retry that is not charged yet
}

// Attempts returns the number of attempts started.
func (s *Sequence) Attempts() int { return s.attempts }

// MayHaveRun reports whether any attempt so far may have run.
func (s *Sequence) MayHaveRun() bool { return s.runs > 0 }

// Begin counts a new attempt and returns its number, starting at 1.
func (s *Sequence) Begin() uint32 {
	s.attempts++
	return uint32(s.attempts)
}

// UndoBegin undoes the latest Begin, whose attempt was not made.
func (s *Sequence) UndoBegin() { s.attempts-- }

// ChargeDue reports whether the next attempt is a retry that must be charged to the budget at
// the moment of sending. A request that no server has received yet is not retried by
// sending it.
func (s *Sequence) ChargeDue() bool { return s.chargeDue }

// Charged records that the next attempt has been charged.
func (s *Sequence) Charged() { s.chargeDue = false }

// Next decides what to do after the event. The refusal is the one that the agent sent, or
// the zero value if it sent none.
func (s *Sequence) Next(ev Event, r contract.Refusal, now time.Time) Decision {
	switch ev {
	case EventNotSent, EventTombstoned:
		return s.notRun(ev, r, now)
	case EventRefused:
		if r.Outcome == contract.NotRun {
			return s.notRun(ev, r, now)
		}
		return s.uncertain(r, now)
	case EventLost:
		if !s.Idempotent {
			return Decision{Action: ActionQuery}
		}
		return s.uncertain(contract.Refusal{Reason: contract.ReasonLinkLost}, now)
	case EventCut, EventHeld:
		return Decision{Action: ActionResume}
	default:
		return s.uncertain(contract.Refusal{Reason: contract.ReasonLinkLost}, now)
	}
}

// notRun handles an attempt that provably did not run.
func (s *Sequence) notRun(ev Event, r contract.Refusal, now time.Time) Decision {
	if r.Reason == "" {
		r.Reason = contract.ReasonNoBackend
	}
	if s.Ticketed && ev != EventRefused {
		s.runs++ // only a refusal by the agent invalidates the ticket
	}
	if s.Ticketed && ev != EventTombstoned {
		return s.refuse(r)
	}
	if !s.mayRetry(now) {
		return s.refuse(r)
	}
	s.chargeDue = s.chargeDue || ev != EventNotSent && chargeable(r.Reason)
	if s.chargeDue && !s.Budget.Has() {
		r.Reason = contract.ReasonRetryBudget
		return s.refuse(r)
	}
	return Decision{Action: ActionRetry}
}

// chargeable reports whether a retry for this reason counts against the budget. A retry
// that only corrects an outdated view of this entry VM does not.
func chargeable(r contract.Reason) bool {
	return r != contract.ReasonStaleConfig && r != contract.ReasonDraining && r != contract.ReasonRateLimit
}

// uncertain handles an attempt that may have run.
func (s *Sequence) uncertain(r contract.Refusal, now time.Time) Decision {
	s.runs++
	if !s.Idempotent || !s.mayRetry(now) || s.MaxRuns > 0 && s.runs >= s.MaxRuns {
		return s.refuse(r)
	}
	s.chargeDue = true
	if !s.Budget.Has() {
		r.Reason = contract.ReasonRetryBudget
		return s.refuse(r)
	}
	return Decision{Action: ActionRetry}
}

// MayAbandon reports whether an attempt that is still running may be abandoned for another
// one.
func (s *Sequence) MayAbandon(now time.Time) bool {
	return s.Idempotent && s.mayRetry(now) && (s.MaxRuns == 0 || s.runs+1 < s.MaxRuns)
}

// Abandon counts an abandoned attempt as one that may have run. The attempt that replaces it
// has been charged.
func (s *Sequence) Abandon() { s.runs++ }

func (s *Sequence) mayRetry(now time.Time) bool {
	return s.attempts < maxAttempts && s.Deadline.Sub(now) > minTimeLeft
}

func (s *Sequence) refuse(r contract.Refusal) Decision {
	ticketInvalid := s.Ticketed && r.Outcome == contract.NotRun // proven by the ticket's agent
	r.Outcome = contract.NotRun
	if s.runs > 0 && !ticketInvalid {
		r.Outcome = contract.Unknown
	}
	if r.RetryAfter == 0 {
		r.RetryAfter = retryAfter
	}
	return Decision{Action: ActionRefuse, Refusal: r}
}
