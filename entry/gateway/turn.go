package gateway

import (
	"math/rand/v2"
	"time"

	"baywall.example/entry/admission"
	"baywall.example/entry/balance"
)

// A request for which all servers are at their limits, or rest, waits in a line for its turn, or is
// refused and comes back in its turn. Package admission decides which.

// place returns the request's place among those that wait for a permit.
func (q *request) place(now time.Time) *admission.Place {
	wait := q.wants(now).PermitWait()
	return &admission.Place{Again: q.sequence.Attempts() > 0, Priority: q.priority, Until: now.Add(wait)}
}

// passed returns why the request may not look for a server now, as others that are more urgent
// wait for as many as may take one: balance.Limited or balance.Resting; balance.Available if it
// may.
func (q *request) passed(now time.Time) balance.Availability {
	s := q.state
	if q.line == nil && !s.hasLine() {
		return balance.Available
	}
	ahead := s.aheadInLine(q.linePlace(now))
	if ahead == 0 {
		return balance.Available
	}
	p := q.g.registry.Permits(q.service, now)
	switch {
	case ahead < p.Open:
		return balance.Available
	case p.Resting > 0:
		return balance.Resting
	default:
		return balance.Limited
	}
}

// linePlace returns the place in the line, or the one that the request would have.
func (q *request) linePlace(now time.Time) *admission.Place {
	if q.line != nil {
		return q.line
	}
	return q.place(now)
}

// turn returns when the request can expect that a server which is at its limit or rests takes it.
func (q *request) turn(now time.Time) admission.Turn {
	p := q.g.registry.Permits(q.service, now)
	gap := longestPermitGap
	if p.PerSecond > 0 {
		gap = min(gap, time.Duration(float64(q.g.node.Members())/p.PerSecond*float64(time.Second)))
	}
	ahead := q.state.aheadInLine(q.linePlace(now))
	return admission.Turn{Next: p.Next, Queue: time.Duration(ahead) * gap, Gap: gap}
}

// longestPermitGap bounds the time between two permits, far beyond any that is waited.
const longestPermitGap = time.Minute

// mayWaitForPermit reports whether the request waits until a server that is at its limit takes
// another one. One that may have run does, as nothing true can be said of it before.
func (q *request) mayWaitForPermit(wants admission.Request, now time.Time) bool {
	if q.sequence.MayHaveRun() {
		return wants.Urgency() != admission.Hopeless
	}
	if q.line != nil {
		return now.Before(q.turnBy) && wants.Urgency() == admission.Punctual
	}
	return admission.MayWaitForPermit(wants, q.turn(now))
}

// mayWaitForRest reports whether the request waits until a server's rest is over.
func (q *request) mayWaitForRest(wants admission.Request, now time.Time) bool {
	if q.line != nil {
		return now.Before(q.turnBy) && admission.MayStayForRest(wants, q.turn(now))
	}
	return admission.MayWaitForRest(wants, q.turn(now))
}

// comeBackForPermit returns for how long a caller stays away for which there was no permit, and
// comeBackAfterRest the same where all servers rest.
func (q *request) comeBackForPermit(now time.Time) time.Duration {
	turn := q.turn(now)
	s := q.state
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.permits.Pause(turn, rand.Float64(), now)
}

func (q *request) comeBackAfterRest(now time.Time) time.Duration {
	turn := q.turn(now)
	s := q.state
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.permits.PauseAfterRest(turn, rand.Float64(), now)
}

// hasLine reports whether requests wait for a permit.
func (s *serviceState) hasLine() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.line.Empty()
}

// aheadInLine returns how many requests go before one that waits for a permit.
func (s *serviceState) aheadInLine(p *admission.Place) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.line.Ahead(p)
}

// joinLine lets the request wait for a permit, or for the end of a rest.
func (q *request) joinLine(found balance.Availability, now time.Time) {
	if q.line != nil {
		return
	}
	by := q.turn(now).PermitBy()
	if found == balance.Resting {
		by = q.turn(now).RestBy()
	}
	q.turnBy = now.Add(by)
	q.line = q.place(now)
	q.state.mu.Lock()
	defer q.state.mu.Unlock()
	q.state.line.Join(q.line)
}

// leaveLine ends that, if it waits, in the line of a service.
func (q *request) leaveLine(s *serviceState) {
	if q.line == nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.line.Leave(q.line)
	q.line = nil
}
