package retry

import (
	"time"

	"baywall.example/core/wire"
)

const (
	// grantLifetime is how long a grant is valid, counted from when it was requested. It also
	// bounds the request: a process answers within a few milliseconds.
	grantLifetime = 150 * time.Millisecond
	// notGrantorWait is when to ask again after the process that was asked turned out not to
	// grant retries: it reads the changed list within seconds.
	notGrantorWait = time.Second
	// minWait is the minimum time after which a denied process asks again.
	minWait = 20 * time.Millisecond
)

// Grant is the reply to a request for one retry.
type Grant struct {
	Granted bool
	// Wait is the time after which to ask again; 0 if the retry is granted.
	Wait time.Duration
}

// ToWire encodes the grant.
func (g Grant) ToWire() *wire.RetryReply {
	return &wire.RetryReply{Granted: g.Granted, WaitMs: uint32((g.Wait + time.Millisecond - 1) / time.Millisecond)}
}

// GrantFromWire decodes a grant. A missing grant counts as a denial.
func GrantFromWire(w *wire.RetryReply) Grant {
	if w == nil {
		return Grant{Wait: notGrantorWait}
	}
	return Grant{Granted: w.GetGranted(), Wait: time.Duration(w.GetWaitMs()) * time.Millisecond}
}

// Grantor grants retries of one service from a process's part of the slack. It is a pure
// state machine and not safe for concurrent use.
type Grantor struct {
	width   time.Duration
	granted ring // over a window and the lifetime of a grant
}

// NewGrantor returns a grantor that has granted nothing.
func NewGrantor(l Limit, now time.Time) *Grantor {
	width := l.Window / windowIntervals
	// One more interval, as the oldest one covers a part of its width only.
	n := int((l.Window+grantLifetime+width-1)/width) + 1
	return &Grantor{width: width, granted: newRing(n, width, now)}
}

// Granted returns the number of retries granted lately.
func (g *Grantor) Granted(now time.Time) float64 { return g.granted.sum(now) }

// Handle answers a request for one retry. The part is the number of retries that the process
// may grant in any window.
func (g *Grantor) Handle(part float64, now time.Time) Grant {
	if g.Granted(now)+1 > part {
		return Grant{Wait: g.wait(now)}
	}
	g.granted.add(1, now)
	return Grant{Granted: true}
}

// wait returns the time after which an earlier grant no longer counts.
func (g *Grantor) wait(now time.Time) time.Duration {
	intervalEnd := g.granted.origin.Add(time.Duration(g.granted.newest+1) * g.width)
	for i, v := range g.granted.oldest() {
		if *v > 0 {
			return max(minWait, intervalEnd.Add(time.Duration(i)*g.width).Sub(now))
		}
	}
	return time.Duration(len(g.granted.values)) * g.width // the part is less than one retry
}
