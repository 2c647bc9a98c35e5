package balance

import (
	"sync"
	"time"
)

// The ranks of a group execute each engine pass together, so the gap between two events
// of a stream is about one pass, and the same on all ranks. A gateway measures the gap on
// the streams that it forwards, receives the measurements of the other gateways, and
// keeps new streams away from servers whose passes are too long for a stream to be on
// time.

const (
	// gapWeight is the weight of the newest gap in the smoothed one: the latest three
	// passes dominate it.
	gapWeight = 0.4
	// gapLifetime is how long a measured gap is valid: demand changes within seconds.
	gapLifetime = 800 * time.Millisecond
	// stallThreshold is the gap from which a server counts as stalled. It is several
	// times the longest pass at which streams are still served.
	stallThreshold = 500 * time.Millisecond
	// stallLifetime is for how long a server counts as stalled after the last waiting
	// caller has left: without a waiting caller, the end of the stall cannot be observed.
	stallLifetime = time.Second
	// lateFrom and lateAt are the multiples of the gap target between which the addition
	// to the load of a server rises from 0 to lateCost.
	lateFrom, lateAt = 1.1, 1.5
	// lateCost is added to the load of a server whose passes are too long for streams:
	// the server counts as full.
	lateCost = 1.0
)

// StreamGap tracks the streams of a server and the gaps between their events. It is safe
// for concurrent use.
type StreamGap struct {
	mu        sync.Mutex
	gap       time.Duration // smoothed
	at        time.Time     // time of the latest event
	streams   int           // streams that have begun and not ended
	waiting   int           // streams that were sent and have not begun
	since     time.Time     // when the first of the waiting streams was sent
	stalledAt time.Time     // when it was last seen stalled
}

// Sent records that a stream was sent to the server. A call of Answered must follow on
// its first event, or when it ends without one.
func (p *StreamGap) Sent(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.waiting == 0 {
		p.since = now
	}
	p.waiting++
}

// Answered records that a sent stream has begun, or ended without an event.
func (p *StreamGap) Answered() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.waiting--
}

// Begun records the first event of a stream.
func (p *StreamGap) Begun(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.streams++
	p.at = now
}

// Event records a further event and the gap between it and the one before it.
func (p *StreamGap) Event(gap time.Duration, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	gap = min(gap, stallThreshold/2) // the length of a stall tells nothing about the gaps after it
	if p.gap == 0 {
		p.gap = gap
	}
	p.gap += time.Duration(gapWeight * float64(gap-p.gap))
	p.at = now
}

// Formed discards the measurements from before the server's group was formed.
func (p *StreamGap) Formed() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.gap, p.stalledAt = 0, time.Time{}
}

// Ended records the end of a stream that had begun.
func (p *StreamGap) Ended() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.streams--
}

// Gap returns the expected gap between events of a stream, 0 = unknown. A gap that has
// not ended counts as soon as it exceeds the smoothed one.
func (p *StreamGap) Gap(now time.Time) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	since := now.Sub(p.at)
	if p.streams+p.waiting > 0 {
		if silent := now.Sub(p.latest()); silent >= stallThreshold {
			p.stalledAt = now
			return silent
		}
	}
	switch {
	case p.streams > 0:
		return max(p.gap, since)
	case p.stalledAt.After(p.at) && now.Sub(p.stalledAt) < stallLifetime:
		return stallThreshold
	case since < gapLifetime:
		return p.gap
	default:
		p.gap = 0
		return 0
	}
}

// latest returns the time since which no event has arrived for the waiting streams.
func (p *StreamGap) latest() time.Time {
	if p.at.After(p.since) {
		return p.at
	}
	return p.since
}

// knownGap returns the expected gap on a usable server: the longest that any gateway
// reports.
func (s *shard) knownGap(i int, now time.Time) time.Duration {
	reported := s.peers[i].Gap
	if reported >= stallThreshold && now.Sub(s.usable[i].probation.formedAt) < recoveryReportMaxAge {
		reported = 0 // reported before its group was formed
	}
	return max(reported, s.usable[i].StreamGap.Gap(now))
}

// longestGap returns the longest known gap among the usable servers that are not stalled.
func (s *shard) longestGap(now time.Time) time.Duration {
	longest := time.Duration(0)
	for i := range s.usable {
		if gap := s.knownGap(i, now); gap < stallThreshold {
			longest = max(longest, gap)
		}
	}
	return longest
}

// expectedGap returns the known gap on a usable server, or the longest one of the service
// if no gateway has a stream on the server. Otherwise, while passes are long, streams
// would all go to the few servers with an unknown gap: 31 of 117 streams went to one of
// 63 servers.
func (s *shard) expectedGap(i int, now time.Time) time.Duration {
	if known := s.knownGap(i, now); known > 0 {
		return known
	}
	return s.maxGap
}

// lateness returns the addition to a server's load if streams on it would be late.
func (s *shard) lateness(i int, target time.Duration, now time.Time) float64 {
	gap := s.knownGap(i, now)
	if target <= 0 || gap == 0 {
		return 0
	}
	over := float64(gap)/float64(target) - lateFrom
	return lateCost * min(1, max(0, over/(lateAt-lateFrom)))
}
