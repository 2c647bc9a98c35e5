package gateway

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"baywall.example/core/clock"
	"baywall.example/core/cluster"
)

// Ready reports whether this gateway accepts requests: it has a configuration and the list
// of backend servers, is not catching up after its start and is not leaving.
func (g *Gateway) Ready() bool {
	return !g.leaving.Load() && g.catalog.Current() != nil && g.listed.Load() && !g.catchingUp()
}

// catchUpTime is how long a process that has just started accepts no requests while other
// gateways know a later configuration, or retain other entries in place of what the store
// lists: what they have in force must not be reverted because the store was restored from
// an older copy. The others are queried within 0.3 s.
const catchUpTime = 1500 * time.Millisecond

// catchingUp reports whether this gateway has just started and knows less than others.
func (g *Gateway) catchingUp() bool {
	if clock.Since(g.began) >= catchUpTime {
		return false
	}
	version, retained := g.catalog.Version(), g.follower.Retained()
	return slices.ContainsFunc(g.node.Live(), func(p cluster.Peer) bool {
		return p.CatalogVersion > version || p.Retained != 0 && p.Retained != retained
	})
}

const (
	// minZoneEntries is the number of active gateways in a caller's own zone from which the
	// caller gets no addresses of other zones: two of them may have failed without being
	// detected yet.
	minZoneEntries = 3
	// standbyMaxAge is the age of a standby gateway's last heartbeat from which its address
	// is only given to callers as a last resort: in a large fleet most standby gateways
	// send heartbeats rarely, and one may have ended since its last.
	standbyMaxAge = 2 * time.Second
	// standbySampleInterval makes one in that many answers name a standby gateway too: a
	// trickle of requests verifies that standby gateways do serve.
	standbySampleInterval = 16
)

// Entries returns the addresses that a caller may connect to, according to recent
// heartbeats: the active gateways of its zone, and those of other zones if there are few.
// If no gateway is active, it returns all that accept requests. A gateway that knows of no
// other returns its own address as long as it accepts requests.
func (g *Gateway) Entries(_ context.Context, zone string) Entries {
	var reachable candidates
	now := clock.Now()
	for _, p := range g.node.Live() {
		switch {
		case !p.Ready:
		case !p.Active && now.Sub(p.LastHeartbeat) >= standbyMaxAge:
			reachable.stale = append(reachable.stale, p.Front)
		default:
			reachable.add(p.Zone == zone, p.Active, p.Front)
		}
	}
	if g.Ready() {
		reachable.add(g.settings.Zone == zone, g.activity.isActive(), g.settings.Listen.Front)
	}
	all := reachable.choose(rand.IntN)
	return Entries{Addresses: all[:min(len(all), g.settings.Entries.MaxAddresses)], TTLSeconds: int(g.settings.Entries.TTL.Seconds())}
}

// candidates are the addresses of gateways that accept requests.
type candidates struct {
	own, ownStandby       []string // in the caller's zone
	others, othersStandby []string
	stale                 []string // standby gateways without a recent heartbeat
}

func (c *candidates) add(own, active bool, front string) {
	list := &c.othersStandby
	switch {
	case own && active:
		list = &c.own
	case own:
		list = &c.ownStandby
	case active:
		list = &c.others
	}
	*list = append(*list, front)
}

// choose returns the addresses for one caller, those of its own zone first.
func (c *candidates) choose(draw func(n int) int) []string {
	for _, list := range [][]string{c.own, c.ownStandby, c.others, c.othersStandby, c.stale} {
		slices.Sort(list)
	}
	switch {
	case len(c.own)+len(c.others) == 0:
		return slices.Concat(c.ownStandby, c.othersStandby, c.stale)
	case len(c.own) < minZoneEntries:
		return slices.Concat(c.own, c.others)
	case len(c.ownStandby) > 0 && draw(standbySampleInterval) == 0:
		return append(c.own, c.ownStandby[draw(len(c.ownStandby))])
	default:
		return c.own
	}
}
