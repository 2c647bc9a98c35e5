package balance

import (
	"time"

	"baywall.example/entry/admission"
)

// Arrived counts a request that can still be on time.
func (r *Registry) Arrived(service string, now time.Time) {
	s := r.shard(service)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.onTime.note(now)
}

// Late is the quota and the usage of a service's late requests at one gateway.
type Late struct {
	Quota       float64       // maximum number of concurrent late requests
	Taken       int           // late requests in flight
	ServiceTime time.Duration // expected time for which a request occupies a slot
}

// Late returns the state of a service's late requests.
func (r *Registry) Late(d Demand, now time.Time) Late {
	s := r.shard(d.Service)
	s.mu.Lock()
	defer s.mu.Unlock()
	load := Load{}
	for _, server := range s.servers {
		if !server.drains() && !server.replaced {
			load.Servers++
			load.Slots += server.Slots // including stalled servers, which are expected to recover
		}
	}
	return Late{Quota: s.lateQuota(load, d, r.peers.Members(), now), Taken: int(s.late.Load()), ServiceTime: s.serviceTime(d)}
}

// Capacity describes the slots of a service's servers that may take requests.
type Capacity struct {
	Slots       int           // requests that the servers may run at a time
	InFlight    int           // requests of all gateways to the servers
	ServiceTime time.Duration // expected time for which a request occupies a slot
}

// Capacity returns the capacity for requests of the demand.
func (r *Registry) Capacity(d Demand, now time.Time) Capacity {
	s := r.shard(d.Service)
	s.mu.Lock()
	defer s.mu.Unlock()
	load := r.refresh(s, now)
	return Capacity{Slots: d.capacity(load), InFlight: load.InFlight, ServiceTime: s.serviceTime(d)}
}

func (s *shard) lateQuota(load Load, d Demand, members int, now time.Time) float64 {
	return admission.LateQuota(admission.Capacity{
		Slots: d.capacity(load), Members: members, OnTimeRate: s.onTime.rateAt(now), ServiceTime: s.serviceTime(d),
	})
}
