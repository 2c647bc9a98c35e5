package dispatch

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"github.com/cespare/xxhash/v2"

	"baywall.example/core/clock"
	"baywall.example/core/contract"
	"baywall.example/core/timeline"
	"baywall.example/core/wait"
	"baywall.example/entry/quarantine"
	"baywall.example/entry/retry"
)

// trialPollInterval is how often a request checks whether it may be tried while an equal
// one is being tried.
const trialPollInterval = 15 * time.Millisecond

// fingerprints returns the fingerprints of the request, first that of all equal requests.
func (x *exchange) fingerprints() []quarantine.Fingerprint {
	if x.fingerprintCache == nil {
		x.fingerprintCache = quarantine.Identity{
			Team: x.contract.Team, Method: x.request.Method, Host: x.contract.Service, Target: x.request.Path, Body: x.request.Body,
		}.Fingerprints()
	}
	return x.fingerprintCache
}

// serverKey identifies the engine behind the current agent up to its end with the given
// number; 0 stands for an engine that has not ended.
func (x *exchange) serverKey(end uint64) quarantine.ServerKey {
	return quarantine.ServerKey(xxhash.Sum64String(fmt.Sprintf("%s/%d/%d", x.location.VM, x.location.Incarnation, end)))
}

// waitAdmitted waits until the request may be tried, and reports whether it may.
func (x *exchange) waitAdmitted(ctx context.Context) bool {
	x.suspect = quarantine.Attempt{}
	if x.d.suspects.Empty() {
		return true
	}
	for {
		attempt, permission := x.d.suspects.Admit(x.fingerprints(), clock.Now())
		x.suspect = attempt
		if permission == quarantine.Refused || permission == quarantine.Wait && !wait.Sleep(ctx, trialPollInterval) {
			return false
		}
		if permission == quarantine.Granted {
			return true
		}
	}
}

// isQuarantined reports whether the request was quarantined since it was admitted.
func (x *exchange) isQuarantined() bool {
	return !x.d.suspects.Empty() && x.d.suspects.Judge(x.fingerprints(), clock.Now()).Status == quarantine.Quarantined
}

// refuseQuarantined refuses a quarantined request. For a request with a ticket the outcome is
// unknown, because the ticket may have been presented before.
func (x *exchange) refuseQuarantined() error {
	judgement := x.d.suspects.Judge(x.fingerprints(), clock.Now())
	x.d.recorder.Record(timeline.Event{
		Kind: timeline.KindRefused, Request: string(x.contract.Request), Choice: judgement.Status.String(),
		Reason: fmt.Sprintf("%d backend servers ended under requests with fingerprint %s, the latest %s ago",
			judgement.Ends, judgement.Fingerprint, judgement.Since.Round(time.Millisecond)),
	})
	x.sequence.Deadline = time.Time{} // prevents a retry
	refusal := contract.Refusal{Outcome: contract.NotRun, Reason: contract.ReasonQuarantined, RetryAfter: judgement.Remaining}
	event := retry.EventRefused
	if x.contract.Ticket != nil {
		event = retry.EventOutcomeUnknown
	}
	if x.headSent {
		return ErrAborted
	}
	decision := x.sequence.Next(event, refusal, clock.Now())
	decision.Refusal.Reason = contract.ReasonQuarantined
	return &decision.Refusal
}

// recordEnd records that the agent's engine ended while it was running the current attempt.
func (x *exchange) recordEnd(end uint64) {
	x.d.suspects.Ended(x.fingerprints(), &x.suspect, x.serverKey(end), clock.Now())
}

// recordSuccess records that the request succeeded, if err is nil.
func (x *exchange) recordSuccess(err error) {
	if err == nil && x.status < http.StatusMultipleChoices && !x.d.suspects.Empty() {
		x.d.suspects.Succeeded(x.fingerprints(), clock.Now())
	}
}
