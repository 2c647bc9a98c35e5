package retry

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"baywall.example/core/contract"
)

var now = time.Unix(1_700_000_000, 0)

// hasRetries is a budget that always has a retry left, or never.
type hasRetries bool

func (h hasRetries) Has() bool { return bool(h) }

func sequence(idempotent, ticketed bool) *Sequence {
	s := &Sequence{Idempotent: idempotent, Ticketed: ticketed, Deadline: now.Add(time.Second), Budget: hasRetries(true)}
	s.Begin()
	return s
}

func TestNext(t *testing.T) {
	notRun := contract.Refusal{Outcome: contract.NotRun, Reason: contract.ReasonOverload}
	unknown := contract.Refusal{Outcome: contract.Unknown, Reason: contract.ReasonEngineFailed}
	cases := []struct {
		name       string
		idempotent bool
		ticketed   bool
		event      Event
		refusal    contract.Refusal
		action     Action
		outcome    contract.Outcome
	}{
		{"idempotent, refused as not run", true, false, EventRefused, notRun, ActionRetry, ""},
		{"idempotent, may have run", true, false, EventRefused, unknown, ActionRetry, ""},
		{"idempotent, link lost", true, false, EventLost, contract.Refusal{}, ActionRetry, ""},
		{"idempotent, not sent", true, false, EventNotSent, contract.Refusal{}, ActionRetry, ""},
		{"not idempotent, refused as not run", false, false, EventRefused, notRun, ActionRetry, ""},
		{"not idempotent, may have run", false, false, EventRefused, unknown, ActionRefuse, contract.Unknown},
		{"not idempotent, link lost", false, false, EventLost, contract.Refusal{}, ActionQuery, ""},
		{"not idempotent, tombstoned", false, false, EventTombstoned, contract.Refusal{}, ActionRetry, ""},
		{"not idempotent, held", false, false, EventHeld, contract.Refusal{}, ActionResume, ""},
		{"not idempotent, outcome not known", false, false, EventOutcomeUnknown, contract.Refusal{}, ActionRefuse, contract.Unknown},
		{"ticket, not sent: an earlier presentation may have run", false, true, EventNotSent, contract.Refusal{}, ActionRefuse, contract.Unknown},
		{"ticket, its agent proved that it did not run", false, true, EventRefused, notRun, ActionRefuse, contract.NotRun},
		{"ticket, tombstoned", false, true, EventTombstoned, contract.Refusal{}, ActionRetry, ""},
		{"answer cut", true, false, EventCut, contract.Refusal{}, ActionResume, ""},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			d := sequence(c.idempotent, c.ticketed).Next(c.event, c.refusal, now)
			is.Equal(d.Action, c.action)
			if c.action == ActionRefuse {
				is.Equal(d.Refusal.Outcome, c.outcome)
				is.True(d.Refusal.RetryAfter > 0)
			}
		})
	}
}

// For any sequence of events, "not-run" is reported only if no attempt may have run, and a
// non-idempotent request is retried only after proof.
func TestNotRunIsReportedOnlyWithProof(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := sequence(rapid.Bool().Draw(t, "idempotent"), false)
		mayHaveRun := false
		for range 20 {
			ev := Event(rapid.IntRange(int(EventRefused), int(EventOutcomeUnknown)).Draw(t, "event"))
			outcome := rapid.SampledFrom([]contract.Outcome{contract.NotRun, contract.Unknown}).Draw(t, "outcome")
			proved := ev == EventNotSent || ev == EventTombstoned || ev == EventRefused && outcome == contract.NotRun
			open := ev == EventLost && !s.Idempotent || ev == EventCut || ev == EventHeld
			if !proved && !open {
				mayHaveRun = true
			}
			d := s.Next(ev, contract.Refusal{Outcome: outcome, Reason: contract.ReasonOverload}, now)
			switch d.Action {
			case ActionRetry:
				if mayHaveRun && !s.Idempotent {
					t.Fatal("a non-idempotent request that may have run is retried")
				}
				s.Begin()
			case ActionRefuse:
				if d.Refusal.Outcome == contract.NotRun && mayHaveRun {
					t.Fatal("not-run, though an attempt may have run")
				}
				return
			}
			if s.Attempts() > maxAttempts {
				t.Fatal("too many attempts")
			}
		}
	})
}

// The agent's refusal invalidates a ticket. A tombstone for one attempt does not.
func TestOnlyRefusalByAgentInvalidatesTicket(t *testing.T) {
	is := is.New(t)
	s := sequence(false, true)
	is.Equal(s.Next(EventTombstoned, contract.Refusal{Reason: contract.ReasonLinkLost}, now).Action, ActionRetry)
	s.Begin()
	d := s.Next(EventRefused, contract.Refusal{Outcome: contract.NotRun, Reason: contract.ReasonTombstoned}, now)
	is.Equal(d.Refusal.Outcome, contract.NotRun)

	s = sequence(false, true)
	d = s.Next(EventTombstoned, contract.Refusal{Reason: contract.ReasonLinkLost}, now.Add(time.Hour))
	is.Equal(d.Refusal.Outcome, contract.Unknown)
}

func TestNoRetryAfterTheDeadline(t *testing.T) {
	is := is.New(t)
	s := sequence(true, false)
	d := s.Next(EventLost, contract.Refusal{}, now.Add(time.Hour))
	is.Equal(d.Action, ActionRefuse)
	is.Equal(d.Refusal.Outcome, contract.Unknown)
}

// A running attempt may be abandoned only if another one may run in its place. It then
// counts as one that may have run.
func TestAbandoningRunningAttempt(t *testing.T) {
	is := is.New(t)
	now := time.Unix(0, 0)
	s := Sequence{Idempotent: true, Deadline: now.Add(time.Second), Budget: hasRetries(true), MaxRuns: 2}
	s.Begin()
	is.True(s.MayAbandon(now))
	s.Abandon()
	s.Begin()
	is.True(!s.MayAbandon(now)) // the second run is the last that MaxRuns allows
	is.Equal(s.Next(EventRefused, contract.Refusal{Outcome: contract.Unknown}, now).Action, ActionRefuse)

	once := Sequence{Deadline: now.Add(time.Second), Budget: hasRetries(true)}
	is.True(!once.MayAbandon(now))
	late := Sequence{Idempotent: true, Deadline: now, Budget: hasRetries(true)}
	is.True(!late.MayAbandon(now))
}

// An attempt after one that a server has received is charged at the moment of sending, and
// one after an attempt that was not sent is not.
func TestRetryIsChargedOnceIfTheRequestWasReceived(t *testing.T) {
	is := is.New(t)
	s := sequence(true, false)
	is.Equal(s.Next(EventNotSent, contract.Refusal{}, now).Action, ActionRetry)
	is.True(!s.ChargeDue())
	s.Begin()
	is.Equal(s.Next(EventLost, contract.Refusal{}, now).Action, ActionRetry)
	is.True(s.ChargeDue())
	s.Begin()
	is.Equal(s.Next(EventNotSent, contract.Refusal{}, now).Action, ActionRetry)
	is.True(s.ChargeDue()) // it was not sent, so it was not charged either
	s.Charged()
	is.True(!s.ChargeDue())
}

// A refusal for lack of budget says so, and whether the request ran.
func TestRefusalForLackOfBudget(t *testing.T) {
	cases := []struct {
		name    string
		event   Event
		refusal contract.Refusal
		outcome contract.Outcome
	}{
		{"refused as not run", EventRefused, contract.Refusal{Outcome: contract.NotRun, Reason: contract.ReasonOverload}, contract.NotRun},
		{"may have run", EventRefused, contract.Refusal{Outcome: contract.Unknown, Reason: contract.ReasonEngineFailed}, contract.Unknown},
		{"link lost", EventLost, contract.Refusal{}, contract.Unknown},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			s := sequence(true, false)
			s.Budget = hasRetries(false)
			d := s.Next(c.event, c.refusal, now)
			is.Equal(d.Action, ActionRefuse)
			is.Equal(d.Refusal.Reason, contract.ReasonRetryBudget)
			is.Equal(d.Refusal.Outcome, c.outcome)
			is.True(d.Refusal.RetryAfter > 0)
		})
	}
}
