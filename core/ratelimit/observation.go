package ratelimit

import (
	"time"

	"baywall.example/core/wire"
)

// Key is the hash of an incarnation of a backend server.
type Key uint64

const (
	// MaxLimit is the largest limit that is enforced, in requests a second. No backend
	// server processes more, so a larger limit counts as none.
	MaxLimit = 100_000.0
	// minRate is the rate, in requests a second, that is used for a server with a lower
	// limit: only an answer can tell that its limit has ended.
	minRate = 1.0 / 3
)

// Report is what one answer reports about a limit.
type Report struct {
	Kind  LimitKind
	Limit float64 // requests a second, 0 or more; only with LimitSet
}

// LimitKind tells whether an answer reports a limit.
type LimitKind int

// Kinds of reports about a limit.
const (
	LimitUnknown LimitKind = iota // the answer does not tell whether there is a limit
	LimitNone                     // there is no limit
	LimitSet                      // there is a limit
)

// Observation is a backend server's limit as reported in one answer.
type Observation struct {
	Server  Key
	Limit   float64 // requests a second
	Limited bool    // false: the server reported no limit
	// At is when the request was sent whose answer reported it.
	At time.Time
	// until is when an imposed limit ends; zero if the limit is not imposed.
	until time.Time
}

// rate returns the rate at which requests are sent to the server, in requests a second.
func (s Observation) rate() float64 { return max(minRate, s.Limit) }

func (s Observation) same(o Observation) bool { return s.Limited == o.Limited && s.Limit == o.Limit }

// supersedes reports whether the observation replaces another one of the same server. Of
// two observations of the same time, the lower limit wins.
func (s Observation) supersedes(o Observation) bool {
	if !s.At.Equal(o.At) {
		return s.At.After(o.At)
	}
	return s.Limited && (!o.Limited || s.Limit < o.Limit)
}

func (s Observation) wire(now time.Time) *wire.ServerLimit {
	out := &wire.ServerLimit{Server: uint64(s.Server), Ended: !s.Limited}
	if s.Limited {
		out.Limit = s.Limit
	}
	if age := now.Sub(s.At); age > 0 {
		// Rounded up: a relayed age must never be too low.
		out.AgeMs = uint32((age + time.Millisecond - 1) / time.Millisecond)
	}
	return out
}

// PermitRequestToWire encodes a permit request for the server.
func (s Observation) PermitRequestToWire(now time.Time) *wire.PermitAsk {
	return &wire.PermitAsk{Limit: s.wire(now)}
}

// ToWire encodes the grant.
func (g Grant) ToWire() *wire.PermitReply {
	wait := uint32((g.Wait + time.Millisecond - 1) / time.Millisecond)
	return &wire.PermitReply{Granted: g.Granted, WaitMs: wait, Elsewhere: g.Elsewhere}
}

// maxWait bounds the waiting time that another process may request.
const maxWait = 10 * time.Second

// GrantFromWire decodes a grant. A missing grant counts as a denial.
func GrantFromWire(w *wire.PermitReply) Grant {
	if w == nil {
		return Grant{Wait: notGrantorBackoff, Elsewhere: true}
	}
	wait := time.Duration(w.GetWaitMs()) * time.Millisecond
	return Grant{Granted: w.GetGranted(), Wait: min(wait, maxWait), Elsewhere: w.GetElsewhere()}
}

// ObservationFromWire decodes an observation. It returns false if the observation is
// invalid.
func ObservationFromWire(w *wire.ServerLimit, now time.Time) (Observation, bool) {
	limit := w.GetLimit()
	valid := limit >= 0 && limit <= MaxLimit // false for NaN
	if w == nil || !valid || w.GetEnded() && limit != 0 {
		return Observation{}, false
	}
	return Observation{
		Server: Key(w.GetServer()), Limit: limit, Limited: !w.GetEnded(),
		At: now.Add(-time.Duration(w.GetAgeMs()) * time.Millisecond),
	}, true
}
