package ratelimit

import (
	"maps"
	"slices"
	"time"

	"golang.org/x/time/rate"
)

const (
	// settleTime is how long a process grants nothing after it was asked first: before,
	// another one may have granted permits, or nobody knew of the limit.
	settleTime = time.Second
	// restPermits is the number of permits that are lost when a server names a limit for the
	// first time, in longestRest at most: it got more than it can take before.
	restPermits = 2
	longestRest = 2 * time.Second
	// burstTime is the time of which a bucket holds the permits that nobody wanted, leastBurst
	// how many it holds at least: those for whom one is there come a little later.
	burstTime  = 500 * time.Millisecond
	leastBurst = 2
	// idleTime is after how long without an ask a bucket is dropped.
	idleTime = 30 * time.Second
	// elsewherePause is when it is worth asking again after the process that was asked does
	// not grant: some heartbeats later both agree about who does.
	elsewherePause = 100 * time.Millisecond
	// shortestWait is the least time after which it is worth asking again.
	shortestWait = 5 * time.Millisecond
	// mostTurns bounds how many permits later an ask is put that comes in vain, one after
	// the other: those before it may be withdrawn.
	mostTurns = 2
)

// Fleet is how a process sees the gateways when it is asked for a permit.
type Fleet struct {
	// First tells that it is the one that grants for the server.
	First bool
	// Part is the part of the active gateways that it reaches, itself included, of all that
	// may be active: over 0, at most 1.
	Part float64
}

// Grant is the answer to an ask for a permit.
type Grant struct {
	Granted bool
	// Wait is the time after which it is worth asking again; 0 if one is granted.
	Wait time.Duration
	// Elsewhere tells that the process asked is not the one that grants.
	Elsewhere bool
}

// Grantor grants permits for backend servers. It is a pure state machine and not safe for
// concurrent use.
type Grantor struct{ buckets map[Key]*bucket }

// bucket is what a grantor has for one server.
type bucket struct {
	tokens *rate.Limiter
	opens  time.Time // it grants nothing before
	turn   time.Time // when the latest ask that came in vain was told to come again
	asked  time.Time
}

// NewGrantor returns a grantor without buckets.
func NewGrantor() *Grantor { return &Grantor{buckets: make(map[Key]*bucket)} }

// Handle answers an ask for a permit for a server with a limit.
func (g *Grantor) Handle(s Known, f Fleet, now time.Time) Grant {
	if !f.First {
		delete(g.buckets, s.Server)
		return Grant{Wait: elsewherePause, Elsewhere: true}
	}
	perSecond := s.rate() * f.Part
	b := g.bucket(s, perSecond, now)
	b.asked = now
	if now.Before(b.opens) {
		return Grant{Wait: b.opens.Sub(now)}
	}
	b.setRate(perSecond, now)
	if b.tokens.AllowN(now, 1) {
		return Grant{Granted: true}
	}
	return Grant{Wait: b.wait(perSecond, now)}
}

func (g *Grantor) bucket(s Known, perSecond float64, now time.Time) *bucket {
	b := g.buckets[s.Server]
	if b != nil && now.Sub(b.asked) < idleTime {
		return b
	}
	b = &bucket{opens: now.Add(settleTime), tokens: rate.NewLimiter(rate.Limit(perSecond), burst(perSecond))}
	if rested := s.Since.Add(rest(perSecond)); s.New && rested.After(b.opens) {
		b.opens = rested
	}
	b.tokens.AllowN(b.opens, burst(perSecond)) // it starts empty
	g.buckets[s.Server] = b
	return b
}

func burst(perSecond float64) int { return max(leastBurst, int(perSecond*burstTime.Seconds())) }

// rest returns for how long a server is left alone that names a limit for the first time.
func rest(perSecond float64) time.Duration {
	return min(longestRest, time.Duration(restPermits/perSecond*float64(time.Second)))
}

func (b *bucket) setRate(perSecond float64, now time.Time) {
	b.tokens.SetLimitAt(now, rate.Limit(perSecond))
	b.tokens.SetBurstAt(now, burst(perSecond))
}

// wait returns when it is worth asking again: when there is a token, or a little later for
// those that ask in vain one after the other.
func (b *bucket) wait(perSecond float64, now time.Time) time.Duration {
	gap := time.Duration(float64(time.Second) / perSecond)
	next := now.Add(time.Duration((1 - b.tokens.TokensAt(now)) * float64(gap)))
	turn := b.turn.Add(gap)
	if turn.Before(next) || turn.Sub(next) >= mostTurns*gap {
		turn = next
	}
	b.turn = turn
	return max(shortestWait, turn.Sub(now))
}

// Servers returns the servers that it grants permits for.
func (g *Grantor) Servers() []Key { return slices.Collect(maps.Keys(g.buckets)) }

// Drop notes that another process grants for a server.
func (g *Grantor) Drop(server Key) { delete(g.buckets, server) }

// Expire drops the buckets that nobody asks for.
func (g *Grantor) Expire(now time.Time) {
	for server, b := range g.buckets {
		if now.Sub(b.asked) >= idleTime {
			delete(g.buckets, server)
		}
	}
}
