package gateway

import (
	"sync"
	"time"

	"baywall.example/core/cluster"
	"baywall.example/entry/subset"
)

const (
	// rateWindow is the time over which arriving requests are counted.
	rateWindow = 500 * time.Millisecond
	// rateWeight is the weight of the newest window in the smoothed rate if that window's
	// rate is lower. A higher rate replaces the smoothed one at once, so that a burst
	// counts immediately.
	rateWeight = 0.2
)

// activity tracks whether a gateway is active in its zone, that is, whether callers are
// directed to it. It is safe for concurrent use.
type activity struct {
	mu           sync.Mutex
	role         subset.Role
	active       bool
	count        int // requests in the current window
	since        time.Time
	smoothedRate float64 // requests per second
}

// countArrival counts a request.
func (a *activity) countArrival() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.count++
}

// isActive reports whether the gateway is active.
func (a *activity) isActive() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.active
}

// rate returns the smoothed rate in requests per second.
func (a *activity) rate() uint32 {
	a.mu.Lock()
	defer a.mu.Unlock()
	return uint32(a.smoothedRate)
}

// measure adds the count of a window to the smoothed rate once the window has ended.
func (a *activity) measure(now time.Time) {
	elapsed := now.Sub(a.since)
	if !a.since.IsZero() && elapsed < rateWindow {
		return
	}
	newest := float64(a.count) / elapsed.Seconds()
	if newest >= a.smoothedRate {
		a.smoothedRate = newest
	} else {
		a.smoothedRate += rateWeight * (newest - a.smoothedRate)
	}
	a.since, a.count = now, 0
}

// decide returns whether the gateway is active and whether that has changed.
func (a *activity) decide(id string, zone []subset.Member, others float64, now time.Time) (active, changed bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.measure(now)
	before := a.active
	a.active = a.role.Decide(id, zone, others+a.smoothedRate, now)
	return a.active, a.active != before
}

// decideActivity decides whether this gateway is active and announces a change to all
// others.
func (g *Gateway) decideActivity(now time.Time) {
	var zone []subset.Member
	if !g.leaving.Load() {
		zone = append(zone, subset.Member{
			ID: g.settings.VM, Cores: float64(g.settings.Machine.millicores()) / 1000, Active: g.activity.isActive(),
		})
	}
	requests := 0.0
	for _, p := range g.node.Live() {
		// A gateway that has just started may be active but not ready yet; one that leaves
		// is neither.
		if p.Zone == g.settings.Zone && (p.Ready || p.Active) {
			zone = append(zone, memberOf(p))
			requests += float64(p.Arrivals)
		}
	}
	active, changed := g.activity.decide(g.settings.VM, zone, requests, now)
	if !changed {
		return
	}
	g.node.Announce()
	g.log.Info().Bool("active", active).Int("zone", len(zone)).Float64("requests_per_s", requests).Msg("part in the zone changed")
}

func memberOf(p cluster.Peer) subset.Member {
	return subset.Member{ID: string(p.VM), Cores: float64(p.Millicores) / 1000, Active: p.Active}
}
