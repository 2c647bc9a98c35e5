package balance

import (
	"math/rand/v2"
	"time"

	"baywall.example/core/clock"
)

// Demand is what one request asks of the servers of a service.
type Demand struct {
	Service string
	// Exclude names servers by id that the request was sent to already.
	Exclude map[string]bool
	// Avoid reports whether a server is to get the request only if there is no other,
	// nil = none.
	Avoid func(*Server) bool
	// MostWait bounds the time for which the request is expected to queue at a
	// server, 0 = unbounded.
	MostWait time.Duration
	// Occupies is for how long a request is taken to occupy a slot as long as none has
	// been seen to end.
	Occupies time.Duration
	// GapTarget is the longest pause between events of a stream that is on time,
	// 0 = the request is no stream.
	GapTarget time.Duration
	// HoldAt is the pause between events from which a server gets no further stream
	// for a short time, 0 = none: a prompt that is read makes the pass of its group
	// longer for all streams in it.
	HoldAt time.Duration
	// Late tells that the request cannot be on time any more: it takes no place that
	// punctual ones will need.
	Late bool
	// Unlimited leaves out servers that name a limit, Again does where there are others: a
	// permit is rather for a first attempt.
	Unlimited, Again bool
	// Proven leaves out servers that turned their latest request away.
	Proven bool
}

// Availability tells why a pick found a server or none.
type Availability int

// Availabilities.
const (
	Available   Availability = iota + 1
	AllBusy                  // usable servers are there, but the wait at each is too long
	Standing                 // usable servers are there, but most of which is known stand still
	Limited                  // usable servers are there, but all are at the limit that they name
	Unavailable              // no server may take the request now
	Evacuated                // all servers are in evacuated availability zones
	Resting                  // all servers that take requests rest, or are on their way back from a rest
	Leaving                  // all servers leave
)

// String returns the availability's name.
func (a Availability) String() string {
	return [...]string{"", "available", "busy", "standing", "at-limit", "unavailable", "evacuated", "resting", "leaving"}[a]
}

// otherZoneCost is what a server in another availability zone is worth in load: a
// little, so that requests stay in their zone as long as its servers are about as
// loaded as others.
const otherZoneCost = 0.12

// avoidedCost is what a server to be avoided is worth in load: more than any server has.
const avoidedCost = 1000

// Pick returns a server for the demand and counts a request to it, which the
// caller releases. See spread for which it is.
func (r *Registry) Pick(d Demand, now time.Time) (Choice, Availability) {
	s := r.shard(d.Service)
	s.mu.Lock()
	defer s.mu.Unlock()
	load := r.refresh(s, now)
	s.candidates = s.candidates[:0]
	busy, known, standing, returning := false, 0, 0, 0
	if d.GapTarget > 0 {
		s.longest = s.longestPace(now)
	}
	for i, server := range s.usable {
		if server.returning.full() {
			returning++
			continue
		}
		if d.Exclude[server.ID] || d.Proven && server.full.rejections > 0 {
			continue
		}
		if pace := s.pace(i, now); d.GapTarget > 0 && pace > 0 {
			known++
			if pace >= standsFrom {
				standing++
				continue
			}
		}
		opens, _, limited := r.opens(server)
		if limited && !d.mayTakeLimited(opens, now) {
			load.AtLimit++
			continue
		}
		if s.tooBusy(i, d, now) {
			busy = true
			continue
		}
		slots := float64(max(1, server.Slots))
		score := float64(s.inFlight(i))/slots + s.lateness(i, d.GapTarget, now) + s.slowness(i)
		if server.Zone != r.zone {
			score += otherZoneCost
		}
		if d.Avoid != nil && d.Avoid(server) {
			score += avoidedCost
		}
		s.candidates = append(s.candidates, candidate{index: i, slots: slots, score: score, limited: limited})
	}
	if d.Again {
		s.candidates = preferUnlimited(s.candidates)
	}
	load.Resting += returning
	s.arrivals.note(now)
	switch {
	case 2*standing > known:
		return Choice{Load: load}, Standing
	case d.Late && len(s.candidates) > 0 && float64(s.late.Load()+1) > s.lateRoom(load, d, r.peers.Members(), now):
		return Choice{Load: load}, AllBusy
	case len(s.candidates) > 0:
		unheard := s.arrivals.rate() * float64(r.peers.Members()) * r.peers.Staleness().Seconds()
		return s.choose(spread(s.candidates, unheard, rand.Float64()), d, load), Available
	case busy:
		return Choice{Load: load}, AllBusy
	case load.AtLimit > 0:
		return Choice{Load: load}, Limited
	case s.fullOnly(d, now):
		return Choice{Load: load}, AllBusy
	case load.Resting > 0 && returning == len(s.usable):
		return Choice{Load: load}, Resting
	case s.allEvacuated():
		return Choice{Load: load}, Evacuated
	case s.allDrain():
		return Choice{Load: load}, Leaving
	default:
		return Choice{Load: load}, Unavailable
	}
}

// fullOnly reports whether there are servers that get nothing only since they turned a
// request away as full a moment ago.
func (s *shard) fullOnly(d Demand, now time.Time) bool {
	if s.onProbation(now) {
		return false
	}
	for _, server := range s.servers {
		left := server.full.until.After(now) && !server.leaves() && !server.health.ejected(now) && !server.Rests(now)
		if left && !d.Exclude[server.ID] {
			return true
		}
	}
	return false
}

// allDrain reports whether the service has servers, and all leave.
func (s *shard) allDrain() bool {
	for _, server := range s.servers {
		if !server.drains() {
			return false
		}
	}
	return len(s.servers) > 0
}

// inFlight returns the requests of all gateways to a usable server.
func (s *shard) inFlight(i int) int { return s.peers[i].Requests + s.usable[i].InFlight() }

// tooBusy reports whether a request would queue at the server for longer than
// it can.
func (s *shard) tooBusy(i int, d Demand, now time.Time) bool {
	slots := s.usable[i].Slots
	if d.MostWait <= 0 || slots <= 0 {
		return false
	}
	if s.holdsBack(i, d, now) || d.GapTarget > 0 && s.spared(i) {
		return true
	}
	if d.HoldAt > 0 && s.usable[i].long.holds(s.likelyPace(i, now) >= d.HoldAt, now) {
		return true
	}
	ahead := s.inFlight(i) + 1 - slots // requests that have to end before this one begins
	return ahead > 0 && time.Duration(ahead)*s.stay(d)/time.Duration(slots) > d.MostWait
}

// stay returns for how long a request of the demand occupies a slot.
func (s *shard) stay(d Demand) time.Duration {
	if s.occupied == 0 {
		return d.Occupies
	}
	return s.occupied
}

// choose counts a request to a usable server.
func (s *shard) choose(i int, d Demand, load Load) Choice {
	server := s.usable[i]
	inFlight := s.inFlight(i)
	if server.health.onTrial() {
		server.health.trial = true
	}
	server.inFlight.Add(1)
	c := Choice{Server: server, InFlight: inFlight, Pace: s.pace(i, clock.Now()), Load: load}
	if d.Late {
		s.late.Add(1)
		c.late = &s.late
	}
	if server.returning.window > 0 {
		server.returning.underWay.Add(1)
		c.returning = server.returning.underWay
	}
	return c
}

// occupiedWeight is the weight of the newest request in the smoothed time for
// which requests occupy a slot.
const occupiedWeight = 0.05

// Occupied notes for how long a request that did not have to queue occupied a
// slot of a server of the service.
func (r *Registry) Occupied(service string, d time.Duration) {
	s := r.shard(service)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.occupied == 0 {
		s.occupied = d
		return
	}
	s.occupied += time.Duration(occupiedWeight * float64(d-s.occupied))
}
