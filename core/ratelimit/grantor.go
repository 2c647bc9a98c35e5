package ratelimit

import (
	"maps"
	"slices"
	"time"

	"golang.org/x/time/rate"
)

const (
	// settleTime is how long a process grants nothing after its first permit request for a
	// server. Before that request, another process may have granted permits, or no process
	// may have known of the limit.
	settleTime = time.Second
	// initialBackoffPermits is the number of permits withheld when a server reports a
	// limit for the first time, for at most maxInitialBackoff: before that it received
	// more requests than it can process.
	initialBackoffPermits = 2
	maxInitialBackoff     = 2 * time.Second
	// burstTime is the time for which a bucket accumulates unused permits. minBurst is the
	// least number of permits that it holds, because requesters may come a little after a
	// permit has become available.
	burstTime = 500 * time.Millisecond
	minBurst  = 2
	// idleTimeout is the time without a permit request after which a bucket is removed.
	idleTimeout = 30 * time.Second
	// notGrantorBackoff is when to try again after the process that was asked turned out
	// not to be the grantor. Some heartbeats later both processes agree about the grantor.
	notGrantorBackoff = 100 * time.Millisecond
	// minWait is the minimum time after which a denied request may be tried again.
	minWait = 5 * time.Millisecond
	// partitionMemory is how long a process remembers members that fell silent. Only a process
	// that has been up for longer knows the members that it does not reach.
	partitionMemory = time.Minute
	// maxSlots limits the number of denied requests that are given consecutive slots, one
	// permit apart: requests in earlier slots may be withdrawn.
	maxSlots = 2
)

// FleetView is how a process sees the gateways when it answers a permit request.
type FleetView struct {
	// IsGrantor reports whether this process is the grantor for the server.
	IsGrantor bool
	// ReachableFraction is the fraction of a limit that this process may grant, from 0 to 1.
	ReachableFraction float64
}

// ReachableFraction returns the fraction of a limit that a process may grant which has been up
// for some time and reaches the given fractions of the known active members and of the seeds.
// In a fleet that is partitioned after all processes have restarted, no part knows that there
// are others, but each seed is in one part. If no seed is reached, the seeds may all be
// outdated; then a process that has been up for long enough goes by the members.
func ReachableFraction(members, seeds float64, up time.Duration) float64 {
	if seeds == 0 && up >= partitionMemory {
		return members
	}
	return min(members, seeds)
}

// Grant is the reply to a permit request.
type Grant struct {
	Granted bool
	// Wait is the time after which to try again; 0 if a permit is granted.
	Wait time.Duration
	// Elsewhere reports that another process is the grantor.
	Elsewhere bool
}

// Grantor grants permits for backend servers. It is a pure state machine and not safe for
// concurrent use.
type Grantor struct{ buckets map[Key]*bucket }

// bucket holds the permits for one server.
type bucket struct {
	tokens      *rate.Limiter
	opensAt     time.Time // nothing is granted before this time
	slot        time.Time // when the last denied request was told to try again
	lastRequest time.Time
}

// NewGrantor returns a grantor without buckets.
func NewGrantor() *Grantor { return &Grantor{buckets: make(map[Key]*bucket)} }

// Handle answers a permit request for a server with a limit.
func (g *Grantor) Handle(s KnownLimit, f FleetView, now time.Time) Grant {
	if !f.IsGrantor {
		delete(g.buckets, s.Server)
		return Grant{Wait: notGrantorBackoff, Elsewhere: true}
	}
	if f.ReachableFraction <= 0 {
		return Grant{Wait: unansweredBackoff}
	}
	perSecond := s.rate() * f.ReachableFraction
	b := g.bucket(s, perSecond, now)
	b.lastRequest = now
	if now.Before(b.opensAt) {
		return Grant{Wait: b.opensAt.Sub(now)}
	}
	b.setRate(perSecond, now)
	if b.tokens.AllowN(now, 1) {
		return Grant{Granted: true}
	}
	return Grant{Wait: b.wait(perSecond, now)}
}

func (g *Grantor) bucket(s KnownLimit, perSecond float64, now time.Time) *bucket {
	b := g.buckets[s.Server]
	if b != nil && now.Sub(b.lastRequest) < idleTimeout {
		return b
	}
	b = &bucket{opensAt: now.Add(settleTime), tokens: rate.NewLimiter(rate.Limit(perSecond), burst(perSecond))}
	if backoffEnd := s.Since.Add(initialBackoff(perSecond)); s.New && backoffEnd.After(b.opensAt) {
		b.opensAt = backoffEnd
	}
	b.tokens.AllowN(b.opensAt, burst(perSecond)) // start with an empty bucket
	g.buckets[s.Server] = b
	return b
}

func burst(perSecond float64) int { return max(minBurst, int(perSecond*burstTime.Seconds())) }

// initialBackoff returns how long a server gets no requests after it first reported a
// limit.
func initialBackoff(perSecond float64) time.Duration {
	return min(maxInitialBackoff, time.Duration(initialBackoffPermits/perSecond*float64(time.Second)))
}

func (b *bucket) setRate(perSecond float64, now time.Time) {
	b.tokens.SetLimitAt(now, rate.Limit(perSecond))
	b.tokens.SetBurstAt(now, burst(perSecond))
}

// wait returns when a denied request may be tried again: when there is a token, or a
// little later for requests that are denied one after the other.
func (b *bucket) wait(perSecond float64, now time.Time) time.Duration {
	gap := time.Duration(float64(time.Second) / perSecond)
	next := now.Add(time.Duration((1 - b.tokens.TokensAt(now)) * float64(gap)))
	slot := b.slot.Add(gap)
	if slot.Before(next) || slot.Sub(next) >= maxSlots*gap {
		slot = next
	}
	b.slot = slot
	return max(minWait, slot.Sub(now))
}

// Servers returns the servers for which there are buckets.
func (g *Grantor) Servers() []Key { return slices.Collect(maps.Keys(g.buckets)) }

// Drop removes the bucket of a server for which another process is the grantor.
func (g *Grantor) Drop(server Key) { delete(g.buckets, server) }

// Expire removes buckets without recent permit requests.
func (g *Grantor) Expire(now time.Time) {
	for server, b := range g.buckets {
		if now.Sub(b.lastRequest) >= idleTimeout {
			delete(g.buckets, server)
		}
	}
}
