package gateway

import (
	"context"
	"slices"
)

// Ready reports whether this gateway takes requests: it knows a configuration
// and the backend servers, and is not leaving.
func (g *Gateway) Ready() bool {
	return !g.leaving.Load() && g.catalog.Current() != nil && g.listed.Load()
}

// Entries returns the gateways that take requests, as far as heard lately. The
// zone's own come first. A gateway that knows of none names itself as long as
// it serves.
func (g *Gateway) Entries(_ context.Context, zone string) Entries {
	var own, others []string
	add := func(z, front string) {
		if z == zone {
			own = append(own, front)
		} else {
			others = append(others, front)
		}
	}
	for _, p := range g.node.Live() {
		if p.Ready {
			add(p.Zone, p.Front)
		}
	}
	if g.Ready() {
		add(g.settings.Zone, g.settings.Listen.Front)
	}
	slices.Sort(own)
	slices.Sort(others)
	all := append(own, others...)
	return Entries{Addresses: all[:min(len(all), g.settings.Entries.Most)], TTLSeconds: int(g.settings.Entries.TTL.Seconds())}
}
