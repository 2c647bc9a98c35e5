// Package contract holds what was promised for one request: who owns it, how
// often it may run, until when, and how it ended.
package contract

import (
	"fmt"
	"net/http"
	"time"

	"baywall.example/core/vm"
	"baywall.example/core/wire"
)

// RequestID identifies one request; an entry VM makes a new one for each.
type RequestID string

// AttemptID identifies one attempt at a request. Every message about the
// attempt carries it, and both ends check it.
type AttemptID struct {
	Request RequestID
	Number  uint32 // counts from 1
}

// String returns "request#number".
func (a AttemptID) String() string { return fmt.Sprintf("%s#%d", a.Request, a.Number) }

// Outcome is how a request that got no answer ended.
type Outcome string

// Outcomes of a refusal. NotRun is a promise: no backend server was given the
// request, and none will be. Unknown means that it may have run.
const (
	NotRun  Outcome = "not-run"
	Unknown Outcome = "unknown"
)

// Wire returns the outcome as it travels on a link.
func (o Outcome) Wire() wire.Outcome {
	if o == NotRun {
		return wire.Outcome_OUTCOME_NOT_RUN
	}
	return wire.Outcome_OUTCOME_UNKNOWN
}

// OutcomeFromWire reads an outcome; anything but a clear not-run is Unknown.
func OutcomeFromWire(o wire.Outcome) Outcome {
	if o == wire.Outcome_OUTCOME_NOT_RUN {
		return NotRun
	}
	return Unknown
}

// Reason is a short machine-readable cause of a refusal.
type Reason string

// Reasons that callers may see.
const (
	ReasonNoBackend       Reason = "no-backend"
	ReasonUnknownService  Reason = "unknown-service"
	ReasonUnknownTeam     Reason = "unknown-team"
	ReasonTeamLimit       Reason = "team-limit"
	ReasonOverload        Reason = "overload"
	ReasonDeadline        Reason = "deadline"
	ReasonDraining        Reason = "draining"
	ReasonStaleConfig     Reason = "stale-configuration"
	ReasonLinkLost        Reason = "link-lost"
	ReasonEngineDial      Reason = "engine-unreachable"
	ReasonEngineFailed    Reason = "engine-failed"
	ReasonTombstoned      Reason = "tombstoned"
	ReasonTicketRequired  Reason = "ticket-required"
	ReasonTicketInvalid   Reason = "ticket-invalid"
	ReasonTicketExpired   Reason = "ticket-expired"
	ReasonTicketForgotten Reason = "ticket-forgotten"
	ReasonReplacedAgent   Reason = "agent-replaced"
	ReasonAnswerEvicted   Reason = "answer-evicted"
	ReasonUnknownAttempt  Reason = "unknown-attempt"
	ReasonBadRequest      Reason = "bad-request"
	ReasonStarting        Reason = "starting"
	ReasonRetryBudget     Reason = "retry-budget"
	ReasonQuarantined     Reason = "quarantined"
	ReasonRateLimit       Reason = "rate-limit"
	ReasonRest            Reason = "rest"
	ReasonEvacuated       Reason = "evacuated"
)

// Refusal is the truthful end of a request that gets no answer.
type Refusal struct {
	Outcome    Outcome
	Reason     Reason
	RetryAfter time.Duration // when the caller may come back, 0 = no advice
	// EngineEnd is set by agents: the number of the end of their engine under the
	// attempt, 0 = it has not ended.
	EngineEnd uint64
}

// Error makes a Refusal an error.
func (r *Refusal) Error() string { return fmt.Sprintf("%s: %s", r.Outcome, r.Reason) }

// Contract is what an entry VM promised for one request.
type Contract struct {
	Request    RequestID
	Service    string
	Team       string
	Idempotent bool
	Deadline   time.Time
	Priority   int
	Ticket     *Ticket
}

// Ticket allows one non-idempotent request to run on one incarnation of one
// agent. The nonce is used once; resending the request with the same ticket
// joins the first execution instead of starting a second one.
type Ticket struct {
	Service     string
	VM          vm.ID
	Incarnation vm.Incarnation
	Nonce       string
	Issued      time.Time
	Expires     time.Time
}

// HopByHop reports whether a header field concerns one connection only and is
// not passed on (RFC 9110, section 7.6.1).
func HopByHop(name string) bool {
	switch http.CanonicalHeaderKey(name) {
	case "Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate",
		"Proxy-Authorization", "Te", "Trailer", "Transfer-Encoding", "Upgrade":
		return true
	default:
		return false
	}
}
