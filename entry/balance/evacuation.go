package balance

import (
	"maps"
	"slices"
	"time"
)

// While an availability zone is evacuated, its backend servers get no new requests. They
// stay listed, so that they can be used again at once.

// Evacuate sets the evacuated availability zones and reports whether they changed. It
// returns the listed servers of the zones that are no longer evacuated. These begin with
// a slow start, because all gateways resume sending to them at the same time.
func (r *Registry) Evacuate(zones map[string]bool, now time.Time) (back []Info, changed bool) {
	r.mu.Lock()
	same := maps.Equal(r.evacuated, zones)
	r.evacuated = zones
	r.mu.Unlock()
	if same {
		return nil, false
	}
	for _, s := range r.all() {
		s.mu.Lock()
		for _, server := range s.servers {
			before := server.evacuated
			server.evacuated = zones[server.Zone]
			if before && !server.evacuated {
				server.slowStart = now
				back = append(back, server.Info)
			}
		}
		s.mu.Unlock()
	}
	return back, true
}

// Evacuated returns the evacuated availability zones, sorted.
func (r *Registry) Evacuated() []string {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return slices.Sorted(maps.Keys(r.evacuated))
}

func (r *Registry) isEvacuated(zone string) bool {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.evacuated[zone]
}

// allEvacuated reports whether servers of the service are in evacuated availability zones
// and all others are withdrawn for another reason.
func (s *shard) allEvacuated() bool {
	evacuated := 0
	for _, server := range s.servers {
		switch {
		case server.evacuated:
			evacuated++
		case !server.withdrawn():
			return false
		}
	}
	return evacuated > 0
}
