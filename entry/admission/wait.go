package admission

import (
	"math"
	"time"
)

// Situation is the state of a service as seen by this process.
type Situation struct {
	// RecoversIn is the expected time until the service serves again, 0 = there is no
	// outage.
	RecoversIn time.Duration
	// Waiting is the number of late requests that wait at this process.
	Waiting int
	// Quota is the maximum number of concurrent late requests at the servers, Taken the
	// number that are in flight.
	Quota float64
	Taken int
	// ServiceTime is the expected time for which a request occupies a slot.
	ServiceTime time.Duration
}

// never is the wait for something that is not expected to happen.
const never = time.Duration(math.MaxInt64)

// QueueDelay returns when a late request that arrives now is expected to get a slot:
// immediately if the quota exceeds the late requests that are served or wait already,
// otherwise after enough of them have ended.
func (s Situation) QueueDelay() time.Duration {
	gap := s.slotInterval()
	if gap == never {
		return never
	}
	taken := s.Taken
	if s.RecoversIn > 0 {
		taken = 0 // an outage ends all requests in flight
	}
	before := max(0, float64(s.Waiting+taken+1)-s.Quota)
	return s.RecoversIn + bounded(before*float64(gap))
}

// slotInterval returns the expected time between two slots for late requests.
func (s Situation) slotInterval() time.Duration {
	if s.Quota <= 0 {
		return never
	}
	return bounded(float64(s.ServiceTime) / s.Quota)
}

// maxWait is the value to which expected waits are cut, far longer than any real wait.
const maxWait = time.Hour

func bounded(wait float64) time.Duration { return time.Duration(min(wait, float64(maxWait))) }

// safetyFactor is the factor by which an expected wait may be wrong: the wait is estimated
// from the usual length of an outage and from the mean service time.
const safetyFactor = 2

// MayWait reports whether a request for which there is no slot waits for one. A request
// that can still be on time waits as long as that holds. A late request waits only if it
// is sure to get a slot before its caller leaves, since the caller can retry instead. An
// interrupted one waits unless it is sure to get no slot in time: its caller has a part
// of the answer, and has used its retry already.
func MayWait(r Request, s Situation) bool {
	urgency := r.Urgency()
	delay := s.QueueDelay()
	switch {
	case urgency == Hopeless:
		return false
	case urgency == OnTime && s.RecoversIn <= 0:
		return true
	case urgency == OnTime && s.RecoversIn < r.Slack():
		return true
	case r.Interrupted && s.RecoversIn > 0:
		return s.RecoversIn/safetyFactor < r.SlotWait() // the slots are free when the outage ends
	case delay == never:
		return false
	case r.Interrupted:
		return delay/safetyFactor < r.SlotWait()
	default:
		return delay*safetyFactor < r.SlotWait()
	}
}

// outageWaitFraction is the fraction of a request's time until its deadline for which it
// waits for a service that serves nobody. It is below a half, so that a caller that is
// refused can retry with at least half of its time, the way of the refusal included.
const outageWaitFraction = 0.45

// MayKeepWaitingInOutage reports whether a request that waits for a service that serves
// nobody goes on waiting. The wait began because the service was expected to serve again
// earlier than the bound; beyond it, nothing is known of when it will, and the request would
// meet servers that are at their limits or have more urgent requests to serve. An interrupted
// request waits until its caller leaves, as that has used its retry already.
func MayKeepWaitingInOutage(r Request) bool {
	return r.Interrupted || r.Age < time.Duration(outageWaitFraction*float64(r.Deadline))
}
