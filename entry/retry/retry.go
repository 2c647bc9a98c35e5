// Package retry decides what follows when an attempt did not bring an answer.
//
// The decision is a pure function of what is known: whether the request may
// run twice, how the attempt ended, how many there were, the time left and the
// retry budget. Its rules:
//
//   - A request is "not-run" only if every attempt at it provably did not run.
//   - An idempotent request is tried again elsewhere, within the budget.
//   - A non-idempotent one is tried again only after proof that it did not run;
//     after a lost link its agent is asked for that proof.
//   - One with a ticket can run only on the ticket's agent, and only that agent
//     can prove that it did not: the ticket may have been presented before.
//
// The budget is a share of recent requests, so that retries cannot multiply an
// overload.
package retry

import (
	"sync"
	"time"

	"baywall.example/core/contract"
)

// Event tells how an attempt ended without a whole answer.
type Event int

// Events.
const (
	// EventRefused: the agent refused the attempt.
	EventRefused Event = iota + 1
	// EventNotSent: the attempt was never sent.
	EventNotSent
	// EventLost: the link broke, or the agent fell silent, before the head.
	EventLost
	// EventCut: the link broke after the head was passed on.
	EventCut
	// EventTombstoned: the agent proved that the attempt will never run.
	EventTombstoned
	// EventHeld: the agent holds the attempt and can be asked for its answer.
	EventHeld
	// EventNoFate: the agent cannot tell, or was not reached in time.
	EventNoFate
)

// Action is what to do next.
type Action int

// Actions.
const (
	ActionRetry  Action = iota + 1 // make another attempt
	ActionQuery                    // ask the agent for the attempt's fate
	ActionResume                   // attach to the attempt again
	ActionRefuse                   // give up with Decision.Refusal
	ActionAbort                    // cut the caller's connection visibly
)

// Decision is the action and, with ActionRefuse, the refusal.
type Decision struct {
	Action  Action
	Refusal contract.Refusal
}

const (
	// maxAttempts bounds the attempts at one request.
	maxAttempts = 4
	// minTimeLeft is the least time a further attempt is worth.
	minTimeLeft = 5 * time.Millisecond
	// retryAfter is when callers may come back after a refusal for lack of
	// backend servers.
	retryAfter = 500 * time.Millisecond
)

// Sequence is the state of one request's attempts. It is not safe for
// concurrent use.
type Sequence struct {
	Idempotent bool
	Ticketed   bool
	Deadline   time.Time
	Budget     Taker
	// MaxRuns bounds the attempts that may have run, 0 = only all attempts
	// together are bounded.
	MaxRuns int

	attempts int
	runs     int // attempts that may have run
}

// Taker is a budget of retries.
type Taker interface {
	// Take uses up one retry and reports false if none is left.
	Take() bool
}

// Attempts returns the number of attempts begun.
func (s *Sequence) Attempts() int { return s.attempts }

// MayHaveRun reports whether an attempt so far may have run.
func (s *Sequence) MayHaveRun() bool { return s.runs > 0 }

// Begin counts a new attempt and returns its number, from 1.
func (s *Sequence) Begin() uint32 {
	s.attempts++
	return uint32(s.attempts)
}

// Void takes back the latest Begin: its attempt was not made.
func (s *Sequence) Void() { s.attempts-- }

// Next decides what follows the event. The refusal is the agent's, where it
// sent one; otherwise its zero value.
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
		s.runs++ // only the agent's refusal voids the ticket
	}
	if s.Ticketed && ev != EventTombstoned {
		return s.refuse(r)
	}
	if !s.mayRetry(now) {
		return s.refuse(r)
	}
	if chargeable(r.Reason) && !s.Budget.Take() {
		return s.refuse(r)
	}
	return Decision{Action: ActionRetry}
}

// chargeable reports whether a retry for this reason counts against the
// budget. One that only corrects this entry VM's outdated view does not.
func chargeable(r contract.Reason) bool {
	return r != contract.ReasonStaleConfig && r != contract.ReasonDraining && r != contract.ReasonRateLimit
}

// uncertain handles an attempt that may have run.
func (s *Sequence) uncertain(r contract.Refusal, now time.Time) Decision {
	s.runs++
	if !s.Idempotent || !s.mayRetry(now) || s.MaxRuns > 0 && s.runs >= s.MaxRuns {
		return s.refuse(r)
	}
	if !s.Budget.Take() {
		r.Reason = contract.ReasonRetryBudget
		return s.refuse(r)
	}
	return Decision{Action: ActionRetry}
}

// Leave reports whether an attempt that goes on may be given up for another one, and
// counts it as one that ran.
func (s *Sequence) Leave(now time.Time) bool {
	if !s.Idempotent || !s.mayRetry(now) || s.MaxRuns > 0 && s.runs+1 >= s.MaxRuns || !s.Budget.Take() {
		return false
	}
	s.runs++
	return true
}

func (s *Sequence) mayRetry(now time.Time) bool {
	return s.attempts < maxAttempts && s.Deadline.Sub(now) > minTimeLeft
}

func (s *Sequence) refuse(r contract.Refusal) Decision {
	denied := s.Ticketed && r.Outcome == contract.NotRun // proved by the ticket's agent
	r.Outcome = contract.NotRun
	if s.runs > 0 && !denied {
		r.Outcome = contract.Unknown
	}
	if r.RetryAfter == 0 {
		r.RetryAfter = retryAfter
	}
	return Decision{Action: ActionRefuse, Refusal: r}
}

const (
	// budgetShare is how many retries one request earns.
	budgetShare = 0.2
	// budgetCap bounds the saved retries.
	budgetCap = 100
	// budgetStart lets a fresh process retry before it has served anything.
	budgetStart = 20
)

// Budget bounds the retries of one service to a share of its requests. It is
// safe for concurrent use.
type Budget struct {
	mu     sync.Mutex
	tokens float64
}

// NewBudget returns a budget with some retries to start with.
func NewBudget() *Budget { return &Budget{tokens: budgetStart} }

// Earn adds one request's share.
func (b *Budget) Earn() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(budgetCap, b.tokens+budgetShare)
}

// Take uses up one retry and reports false if none is left.
func (b *Budget) Take() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
