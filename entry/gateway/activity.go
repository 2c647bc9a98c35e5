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
	// rateWeight is the weight of the newest window in the smoothed rate where it is
	// the smaller one: a burst counts at once.
	rateWeight = 0.2
)

// activity is a gateway's part in its zone: whether callers are told of it. It is safe
// for concurrent use.
type activity struct {
	mu     sync.Mutex
	role   subset.Role
	active bool
	count  int // requests in this window
	since  time.Time
	smooth float64 // requests a second
}

// arrived counts a request.
func (a *activity) arrived() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.count++
}

// is reports whether the gateway is active.
func (a *activity) is() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.active
}

// rate returns the requests a second.
func (a *activity) rate() uint32 {
	a.mu.Lock()
	defer a.mu.Unlock()
	return uint32(a.smooth)
}

// measure takes a window's count into the rate once the window is over.
func (a *activity) measure(now time.Time) {
	passed := now.Sub(a.since)
	if !a.since.IsZero() && passed < rateWindow {
		return
	}
	newest := float64(a.count) / passed.Seconds()
	if newest >= a.smooth {
		a.smooth = newest
	} else {
		a.smooth += rateWeight * (newest - a.smooth)
	}
	a.since, a.count = now, 0
}

// decide returns whether the gateway is active, and whether that changed.
func (a *activity) decide(id string, zone []subset.Member, others float64, now time.Time) (active, changed bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.measure(now)
	before := a.active
	a.active = a.role.Decide(id, zone, others+a.smooth, now)
	return a.active, a.active != before
}

// decideActivity decides whether this gateway carries requests, and tells all others
// when that changed.
func (g *Gateway) decideActivity(now time.Time) {
	var zone []subset.Member
	if !g.leaving.Load() {
		zone = append(zone, subset.Member{
			ID: g.settings.VM, Cores: float64(g.settings.Machine.millicores()) / 1000, Active: g.activity.is(),
		})
	}
	requests := 0.0
	for _, p := range g.node.Live() {
		// One that has just started may be active and not ready yet; one that leaves is
		// neither.
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
