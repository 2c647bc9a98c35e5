package follow

import (
	"maps"
	"time"

	"baywall.example/core/cluster"
	"baywall.example/core/source"
	"baywall.example/core/vm"
)

const (
	// CheckInterval is how often a gateway checks whether others know newer changes.
	CheckInterval = 200 * time.Millisecond
	// NonFollowerCheckInterval is how often a gateway that does not follow the store itself
	// checks this.
	NonFollowerCheckInterval = 100 * time.Millisecond
	// PullTimeout bounds a call to another gateway.
	PullTimeout = 2 * time.Second
)

const (
	// nudgeAfter and pullAfter are the numbers of consecutive checks, CheckInterval apart,
	// that have to find a newer change at other gateways before the store is queried again,
	// and before the state of one of them is pulled.
	nudgeAfter = 1
	pullAfter  = 2
	// hedgeAfter is how long a pull may take before another gateway is asked as well, and
	// maxPulls how many pulls may be in progress: the first gateway may be frozen or cut off
	// without its missing heartbeats having been noticed yet.
	hedgeAfter = 250 * time.Millisecond
	maxPulls   = 3
	// repeatPullAfter is the least time between two pulls of the same state that is ahead
	// of the store.
	repeatPullAfter = time.Second
	// pullGapFraction determines the least time between two pulls, as a fraction of the
	// time within which a change has to be in force: changes in quick succession are then
	// pulled together.
	pullGapFraction = 0.1
)

// State is the state of a gateway with regard to the store.
type State struct {
	Changed  source.Position // newest change
	Catalog  uint64          // version in force
	Retained uint64          // digest of the entries in which it is ahead of the store
	Listed   bool            // it knows a state of the store
	Passive  bool            // it does not follow the store itself
	Active   bool            // it is announced to callers
	Failing  bool            // the store does not answer it
}

// aheadState identifies the state in which a gateway is ahead of the store.
type aheadState struct{ retained, catalog uint64 }

// Step is the outcome of a check.
type Step struct {
	Nudge source.Position // change for which the store is queried; zero for none
	Pull  *cluster.Peer   // gateway whose state is pulled; nil for none
}

// Exchange decides when a gateway queries the store again, and whose state it pulls
// instead. It is not safe for concurrent use.
type Exchange struct {
	zone        string        // of this gateway
	gap         time.Duration // least time between two pulls
	behind      int           // consecutive checks that found a newer change
	pulled      time.Time     // when the latest pull started
	pulling     map[vm.ID]time.Time
	pulledAhead map[aheadState]time.Time // when a state that is ahead of the store was last pulled
}

// NewExchange returns the exchange of a gateway in an availability zone, in a fleet in which a
// change has to be in force within the given time.
func NewExchange(zone string, within time.Duration) *Exchange {
	return &Exchange{
		zone:    zone,
		gap:     time.Duration(pullGapFraction * float64(within)),
		pulling: make(map[vm.ID]time.Time), pulledAhead: make(map[aheadState]time.Time),
	}
}

// Check compares the states that other gateways report with the state of this one.
func (x *Exchange) Check(own State, live []cluster.Peer, now time.Time) Step {
	var out Step
	newest := own.Changed
	for i := range live {
		if live[i].StoreChanged.After(newest) {
			newest = live[i].StoreChanged
		}
	}
	if newest == own.Changed {
		x.behind = 0
		out.Pull = x.pullIf(live, now, func(p *cluster.Peer) bool { return x.isAhead(own, p, now) })
		if out.Pull != nil {
			maps.DeleteFunc(x.pulledAhead, func(_ aheadState, at time.Time) bool { return now.Sub(at) >= repeatPullAfter })
			x.pulledAhead[aheadState{out.Pull.Retained, out.Pull.CatalogVersion}] = now
		}
		return out
	}
	x.behind++
	if x.behind == nudgeAfter {
		out.Nudge = newest
	}
	if x.behind >= pullAfter || !own.Listed || own.Passive {
		out.Pull = x.pullIf(live, now, func(p *cluster.Peer) bool { return p.StoreChanged.After(own.Changed) })
	}
	return out
}

// isAhead reports whether a gateway is ahead of the store in a state that this one does not
// have and has not pulled recently.
func (x *Exchange) isAhead(own State, p *cluster.Peer, now time.Time) bool {
	b := aheadState{p.Retained, p.CatalogVersion}
	differs := b.retained != 0 && b.retained != own.Retained || b.catalog > own.Catalog
	return differs && now.Sub(x.pulledAhead[b]) >= repeatPullAfter
}

// pullIf returns the gateway to pull from among those that fit. It prefers gateways of the
// same availability zone, because states are most of the traffic between zones, and among
// these the one whose heartbeat is the most recent, because it is the most likely to
// answer.
func (x *Exchange) pullIf(live []cluster.Peer, now time.Time, fits func(*cluster.Peer) bool) *cluster.Peer {
	if !x.mayPull(now) {
		return nil
	}
	var best *cluster.Peer
	for i := range live {
		p := &live[i]
		if _, under := x.pulling[p.VM]; under || p.Front == "" || !fits(p) {
			continue
		}
		if best == nil || x.isPreferred(p, best) {
			best = p
		}
	}
	if best != nil {
		x.pulled = now
		x.pulling[best.VM] = now
	}
	return best
}

// isPreferred reports whether a pull from p is preferable to one from another gateway.
func (x *Exchange) isPreferred(p, than *cluster.Peer) bool {
	if near := p.Zone == x.zone; near != (than.Zone == x.zone) {
		return near
	}
	return p.LastHeartbeat.After(than.LastHeartbeat)
}

// mayPull reports whether another pull may start. Only one may be in progress, unless it takes
// longer than hedgeAfter.
func (x *Exchange) mayPull(now time.Time) bool {
	if len(x.pulling) >= maxPulls {
		return false
	}
	if len(x.pulling) > 0 {
		return now.Sub(x.pulled) >= hedgeAfter
	}
	return now.Sub(x.pulled) >= x.gap
}

// PullEnded records that a pull has ended.
func (x *Exchange) PullEnded(from vm.ID) { delete(x.pulling, from) }
