// Package contract defines the types that describe one request and its execution
// guarantee: its identity and attempts, whether it may run more than once, its deadline,
// the ticket of a non-idempotent request, and the outcome of a refused one.
package contract

import (
	"fmt"
	"net/http"
	"time"

	"baywall.example/core/vm"
	"baywall.example/core/wire"
)

// RequestID identifies one request; the entry VM generates it.
type RequestID string

// AttemptID identifies one attempt at a request. Every message about the
// attempt carries it, and both peers check it.
type AttemptID struct {
	Request RequestID
	Number  uint32 // counts from 1
}

// String returns "request#number".
func (a AttemptID) String() string { return fmt.Sprintf("%s#%d", a.Request, a.Number) }

// Outcome tells whether a request that was refused may have run.
type Outcome string

// Outcomes of a refusal. NotRun guarantees that no backend server has received or will
// receive the request. Unknown means that it may have run.
const (
	NotRun  Outcome = "not-run"
	Unknown Outcome = "unknown"
)

// Wire converts the outcome to its protobuf value.
func (o Outcome) Wire() wire.Outcome {
	if o == NotRun {
		return wire.Outcome_OUTCOME_NOT_RUN
	}
	return wire.Outcome_OUTCOME_UNKNOWN
}

// OutcomeFromWire converts a protobuf value; every value other than
// OUTCOME_NOT_RUN becomes Unknown.
func OutcomeFromWire(o wire.Outcome) Outcome {
	if o == wire.Outcome_OUTCOME_NOT_RUN {
		return NotRun
	}
	return Unknown
}

// Reason is the machine-readable cause of a refusal.
type Reason string

// Reasons that callers may see in the Baywall-Reason header.
const (
	ReasonNoBackend         Reason = "no-backend"
	ReasonUnknownService    Reason = "unknown-service"
	ReasonUnknownTeam       Reason = "unknown-team"
	ReasonTeamLimit         Reason = "team-limit"
	ReasonOverload          Reason = "overload"
	ReasonDeadline          Reason = "deadline"
	ReasonDraining          Reason = "draining"
	ReasonStaleConfig       Reason = "stale-configuration"
	ReasonLinkLost          Reason = "link-lost"
	ReasonEngineUnreachable Reason = "engine-unreachable"
	ReasonEngineFailed      Reason = "engine-failed"
	ReasonTombstoned        Reason = "tombstoned"
	ReasonTicketRequired    Reason = "ticket-required"
	ReasonTicketInvalid     Reason = "ticket-invalid"
	ReasonTicketExpired     Reason = "ticket-expired"
	ReasonTicketForgotten   Reason = "ticket-forgotten"
	ReasonAgentReplaced     Reason = "agent-replaced"
	ReasonAnswerEvicted     Reason = "answer-evicted"
	ReasonUnknownAttempt    Reason = "unknown-attempt"
	ReasonBadRequest        Reason = "bad-request"
	ReasonStarting          Reason = "starting"
	ReasonRetryBudget       Reason = "retry-budget"
	ReasonQuarantined       Reason = "quarantined"
	ReasonRateLimit         Reason = "rate-limit"
	ReasonBackoff           Reason = "rest"
	ReasonEvacuated         Reason = "evacuated"
	ReasonMemory            Reason = "memory"
	ReasonSlowBody          Reason = "slow-body"
)

// Refusal reports why a request got no answer and whether it may have run.
type Refusal struct {
	Outcome    Outcome
	Reason     Reason
	RetryAfter time.Duration // how long the caller should wait before a retry, 0 = unspecified
	// EngineEnd is set by agents when their engine terminated during the attempt: the
	// sequence number of that termination, 0 = the engine did not terminate.
	EngineEnd uint64
}

// Error implements the error interface.
func (r *Refusal) Error() string { return fmt.Sprintf("%s: %s", r.Outcome, r.Reason) }

// Contract holds the terms under which an entry VM accepted one request.
type Contract struct {
	Request    RequestID
	Service    string
	Team       string
	Idempotent bool
	Deadline   time.Time
	Priority   int
	Ticket     *Ticket
}

// Ticket permits one execution of a non-idempotent request on one incarnation of one
// agent. Its nonce is accepted once; a request that is resent with the same ticket
// attaches to the first execution instead of starting a second one.
type Ticket struct {
	Service     string
	VM          vm.ID
	Incarnation vm.Incarnation
	Nonce       string
	Issued      time.Time
	Expires     time.Time
}

// HopByHop reports whether a header field is hop-by-hop and must not be forwarded
// (RFC 9110, section 7.6.1).
func HopByHop(name string) bool {
	switch http.CanonicalHeaderKey(name) {
	case "Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate",
		"Proxy-Authorization", "Te", "Trailer", "Transfer-Encoding", "Upgrade":
		return true
	default:
		return false
	}
}
