package gateway

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"baywall.example/core/clock"
	"baywall.example/core/cluster"
)

// Ready reports whether this gateway takes requests: it knows a configuration
// and the backend servers, and is not leaving.
func (g *Gateway) Ready() bool {
	return !g.leaving.Load() && g.catalog.Current() != nil && g.listed.Load() && !g.catchingUp()
}

// catchUpTime is for how long a process that has started takes no requests while others know
// a later configuration, or something better than the store: what they have in force must not
// go back because the store did. They are asked within 0.3 s.
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
	// leastEntries is how many addresses of its own zone a caller is told at least
	// without those of other zones: two of them may have failed unheard.
	leastEntries = 3
	// standbyFresh is how long ago a standby may have been heard last that callers are told
	// of: in a large fleet most standbys are heard seldom, and one may have ended since.
	standbyFresh = 2 * time.Second
	// standbyEvery is in which answers a standby is named too: a trickle of requests
	// shows that those that stand by do serve.
	standbyEvery = 16
)

// Entries returns where a caller may connect, as far as heard lately: the active
// gateways of its zone, and those of other zones where that has few. Without any
// active one it is told of all that take requests. A gateway that knows of none names
// itself as long as it serves.
func (g *Gateway) Entries(_ context.Context, zone string) Entries {
	var known candidates
	now := clock.Now()
	for _, p := range g.node.Live() {
		switch {
		case !p.Ready:
		case !p.Active && now.Sub(p.Heard) >= standbyFresh:
			known.stale = append(known.stale, p.Front)
		default:
			known.add(p.Zone == zone, p.Active, p.Front)
		}
	}
	if g.Ready() {
		known.add(g.settings.Zone == zone, g.activity.is(), g.settings.Listen.Front)
	}
	all := known.choose(rand.IntN)
	return Entries{Addresses: all[:min(len(all), g.settings.Entries.Most)], TTLSeconds: int(g.settings.Entries.TTL.Seconds())}
}

// candidates are addresses of gateways that take requests.
type candidates struct {
	own, ownStandby       []string // in the caller's zone
	others, othersStandby []string
	stale                 []string // standbys that were heard last a while ago
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

// choose returns the addresses for one caller, those of its zone first.
func (c *candidates) choose(draw func(n int) int) []string {
	for _, list := range [][]string{c.own, c.ownStandby, c.others, c.othersStandby, c.stale} {
		slices.Sort(list)
	}
	switch {
	case len(c.own)+len(c.others) == 0:
		return slices.Concat(c.ownStandby, c.othersStandby, c.stale)
	case len(c.own) < leastEntries:
		return slices.Concat(c.own, c.others)
	case len(c.ownStandby) > 0 && draw(standbyEvery) == 0:
		return append(c.own, c.ownStandby[draw(len(c.ownStandby))])
	default:
		return c.own
	}
}
