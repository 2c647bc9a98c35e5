package gateway

import (
	"strings"

	"baywall.example/core/clock"
	"baywall.example/core/source"
)

// Operators request the evacuation of an availability zone through an entry in the store.
// Until they withdraw it, nothing new is sent to the backend servers of the zone; requests
// in progress there run to their end. The entries are followed like the configuration, so
// that each gateway knows them before it accepts requests. Package balance leaves the
// servers out, and every request is checked again at the moment of sending.

// applyEvacuations applies the set of evacuated availability zones.
func (g *Gateway) applyEvacuations(u source.Update) {
	zones := make(map[string]bool)
	for key := range u.Items {
		if zone, ok := g.adapter.EvacuatedZone(key); ok {
			zones[zone] = true
		}
	}
	before, now := g.registry.Evacuated(), clock.Now()
	returned, changed := g.registry.Evacuate(zones, now)
	if !changed {
		return
	}
	g.log.Info().Str("zones", strings.Join(g.registry.Evacuated(), ",")).Str("before", strings.Join(before, ",")).
		Uint64("era", u.Term).Uint64("revision", u.Revision).Str("from", u.From).Int("servers_back", len(returned)).Msg("evacuated availability zones changed")
	g.limits.markReturnedCold(returned, now)
}
