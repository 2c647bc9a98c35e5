package balance

import (
	"time"

	"baywall.example/entry/admission"
)

// Arrived counts a request that can be on time.
func (r *Registry) Arrived(service string, now time.Time) {
	s := r.shard(service)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.punctual.note(now)
}

// Late is what a gateway may do, and does, about a service's late requests.
type Late struct {
	Room  float64       // how many may be at servers at a time
	Taken int           // how many are
	Stay  time.Duration // for which a request is taken to occupy a slot
}

// Late returns the state of a service's late requests.
func (r *Registry) Late(d Demand, now time.Time) Late {
	s := r.shard(d.Service)
	s.mu.Lock()
	defer s.mu.Unlock()
	load := Load{}
	for _, server := range s.servers {
		if !server.drains() && !server.replaced {
			load.Slots += server.Slots // also of those that stand: they are expected back
		}
	}
	return Late{Room: s.lateRoom(load, d, r.peers.Members(), now), Taken: int(s.late.Load()), Stay: s.stay(d)}
}

func (s *shard) lateRoom(load Load, d Demand, members int, now time.Time) float64 {
	return admission.LateRoom(admission.Places{
		Slots: load.Slots, Members: members, PunctualRate: s.punctual.rateAt(now), Stay: s.stay(d),
	})
}
