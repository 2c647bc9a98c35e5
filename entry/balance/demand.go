package balance

import (
	"math"
	"math/rand/v2"
	"time"

	"baywall.example/core/clock"
)

// Demand describes what one request needs from a server.
type Demand struct {
	Service string
	// Exclude holds the ids of the servers that the request was already sent to.
	Exclude map[string]bool
	// Avoid reports whether a server gets the request only if there is no other, nil =
	// none.
	Avoid func(*Server) bool
	// MaxWait bounds the expected time in the queue of a server, 0 = unbounded.
	MaxWait time.Duration
	// Slack is for how long the request may be delayed and still be on time, 0 = any time.
	Slack time.Duration
	// AssumedServiceTime is the time for which the request is assumed to occupy a slot. It
	// is used until the service time of an earlier request is known.
	AssumedServiceTime time.Duration
	// GapTarget is the longest gap between events of a stream that is on time, 0 = the
	// request is not a stream.
	GapTarget time.Duration
	// Concurrency bounds the mean number of requests in flight to a server, 0 = its slots.
	Concurrency float64
	// Reserved is the number of free slots of the service that are left to other requests.
	Reserved int
	// ServerSpeed is set if slower servers get fewer requests, and Route then names the
	// route of the request.
	ServerSpeed bool
	Route       string
	// HoldThreshold is the gap between events from which a server gets no further stream
	// for a short time, 0 = none: processing the prompt of a new stream lengthens the
	// engine pass for all streams of the group.
	HoldThreshold time.Duration
	// Late is set if the request can no longer be on time. It must not take a slot that
	// on-time requests will need.
	Late bool
	// Unlimited excludes servers that have a limit. PreferUnlimited, which is set for
	// retries, avoids them if there are others: permits are meant for first attempts.
	Unlimited, PreferUnlimited bool
	// ExcludeRejecting excludes servers that rejected their latest request.
	ExcludeRejecting bool
}

// Availability is the outcome of a pick: whether it found a server, and why not.
type Availability int

// Availabilities.
const (
	Available   Availability = iota + 1
	AllBusy                  // there are usable servers, but the wait at each is too long
	Stalled                  // there are usable servers, but most of those with a known gap are stalled
	Limited                  // there are usable servers, but all have reached their limit
	Unavailable              // no server may take the request now
	Evacuated                // all servers are in evacuated availability zones
	InBackoff                // all servers that take requests are in a backoff or the ramp-up after one
	Leaving                  // all servers drain
)

// String returns the name of the availability.
func (a Availability) String() string {
	return [...]string{"", "available", "busy", "standing", "at-limit", "unavailable", "evacuated", "resting", "leaving"}[a]
}

// otherZoneCost is added to the load of a server in another availability zone. It is
// small, so that requests stay in their zone only while the servers there are about as
// loaded as others.
const otherZoneCost = 0.12

// avoidedCost is added to the load of a server to avoid. It exceeds the load of any
// server.
const avoidedCost = 1000

// Pick returns a server for the demand and counts a request to it, which the caller
// releases. The server is drawn by drawCandidate.
func (r *Registry) Pick(d Demand, now time.Time) (Choice, Availability) {
	s := r.shard(d.Service)
	s.mu.Lock()
	defer s.mu.Unlock()
	load := r.refresh(s, now)
	load.Free = max(0, d.capacity(load)-load.InFlight)
	s.candidates = s.candidates[:0]
	busy, known, stalled, rampUp := false, 0, 0, 0
	if d.GapTarget > 0 {
		s.maxGap = s.longestGap(now)
	}
	if d.ServerSpeed {
		s.leastSlowness = s.minSlowness(d, now)
	}
	for i, server := range s.usable {
		if server.rampUp.full() {
			rampUp++
			continue
		}
		if d.Exclude[server.ID] || d.ExcludeRejecting && server.full.rejections > 0 {
			continue
		}
		if knownGap := s.knownGap(i, now); d.GapTarget > 0 && knownGap > 0 {
			known++
			if knownGap >= stallThreshold {
				stalled++
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
		slots := s.loadSlots(i, d, now)
		score := float64(s.inFlight(i))/slots + s.lateness(i, d.GapTarget, now) + s.slowness(i)
		if server.Zone != r.zone {
			score += otherZoneCost
		}
		if d.Avoid != nil && d.Avoid(server) {
			score += avoidedCost
		}
		s.candidates = append(s.candidates, candidate{index: i, slots: slots, score: score, limited: limited})
	}
	if d.PreferUnlimited {
		s.candidates = preferUnlimited(s.candidates)
	}
	load.InBackoff += rampUp
	s.arrivals.note(now)
	switch {
	case 2*stalled > known:
		return Choice{Load: load}, Stalled
	case d.Late && len(s.candidates) > 0 && float64(s.late.Load()+1) > s.lateQuota(load, d, r.peers.Members(), now):
		return Choice{Load: load}, AllBusy
	case len(s.candidates) > 0 && !d.fits(load):
		return Choice{Load: load}, AllBusy
	case len(s.candidates) > 0:
		unreported := s.arrivals.rate() * float64(r.peers.Members()) * r.peers.Staleness().Seconds()
		return s.choose(drawCandidate(s.candidates, unreported, rand.Float64()), d, load), Available
	case busy:
		return Choice{Load: load}, AllBusy
	case load.AtLimit > 0:
		return Choice{Load: load}, Limited
	case s.fullOnly(d, now):
		return Choice{Load: load}, AllBusy
	case load.InBackoff > 0 && rampUp == len(s.usable):
		return Choice{Load: load}, InBackoff
	case s.allEvacuated():
		return Choice{Load: load}, Evacuated
	case s.allDrain():
		return Choice{Load: load}, Leaving
	default:
		return Choice{Load: load}, Unavailable
	}
}

// fullOnly reports whether there are servers that are left out only because they recently
// rejected a request as full.
func (s *shard) fullOnly(d Demand, now time.Time) bool {
	if s.onProbation(now) {
		return false
	}
	for _, server := range s.servers {
		left := server.full.until.After(now) && !server.withdrawn() && !server.health.ejected(now) && !server.HasBackoff(now)
		if left && !d.Exclude[server.ID] {
			return true
		}
	}
	return false
}

// allDrain reports whether the service has servers and all of them drain.
func (s *shard) allDrain() bool {
	for _, server := range s.servers {
		if !server.drains() {
			return false
		}
	}
	return len(s.servers) > 0
}

// inFlight returns the number of requests of all gateways to a usable server.
func (s *shard) inFlight(i int) int { return s.peers[i].Requests + s.usable[i].InFlight() }

// tooBusy reports whether a request must not be sent to the server because it would queue
// for too long, or because streams are held back from it.
func (s *shard) tooBusy(i int, d Demand, now time.Time) bool {
	if d.MaxWait <= 0 || s.usable[i].Slots <= 0 {
		return false
	}
	if d.Concurrency > 0 && s.inFlight(i)+1 > d.slotsOf(s.usable[i]) {
		return true
	}
	if s.holdsBack(i, d, now) || d.GapTarget > 0 && s.tooSlow(i) {
		return true
	}
	if d.HoldThreshold > 0 && s.usable[i].passes.holds(s.expectedGap(i, now) >= d.HoldThreshold, now) {
		return true
	}
	return s.waitsTooLong(i, d, now)
}

// serviceTime returns the expected time for which a request of the demand occupies a
// slot.
func (s *shard) serviceTime(d Demand) time.Duration {
	if s.meanServiceTime == 0 {
		return d.AssumedServiceTime
	}
	return s.meanServiceTime
}

// slotsOf returns how many requests the server may run at a time.
func (d Demand) slotsOf(server *Server) int {
	if d.Concurrency <= 0 {
		return server.Slots
	}
	return min(server.Slots, int(math.Ceil(d.Concurrency)))
}

// capacity returns how many requests the servers of a load may run at a time.
func (d Demand) capacity(load Load) int {
	if d.Concurrency <= 0 {
		return load.Slots
	}
	return min(load.Slots, max(1, int(d.Concurrency*float64(load.Servers))))
}

// fits reports whether the service has a slot for the request besides those that are left
// to others. It does not decide where nothing is limited: a request may then queue at a
// server.
func (d Demand) fits(load Load) bool {
	if load.Slots == 0 || d.Concurrency <= 0 && d.Reserved == 0 {
		return true
	}
	return load.InFlight+d.Reserved < d.capacity(load)
}

// choose counts a request to a usable server and returns the choice.
func (s *shard) choose(i int, d Demand, load Load) Choice {
	server := s.usable[i]
	inFlight := s.inFlight(i)
	if server.health.onTrial() {
		server.health.trial = true
	}
	server.inFlight.Add(1)
	c := Choice{Server: server, InFlight: inFlight, StreamGap: s.knownGap(i, clock.Now()), Load: load}
	if d.Late {
		s.late.Add(1)
		c.late = &s.late
	}
	if server.rampUp.window > 0 {
		server.rampUp.running.Add(1)
		c.rampUp = server.rampUp.running
	}
	return c
}

// serviceTimeWeight is the weight of the newest request in the smoothed service time.
const serviceTimeWeight = 0.05

// RecordServiceTime records for how long a request that did not have to queue occupied a
// slot of a server of the service.
func (r *Registry) RecordServiceTime(service string, d time.Duration) {
	s := r.shard(service)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.meanServiceTime == 0 {
		s.meanServiceTime = d
		return
	}
	s.meanServiceTime += time.Duration(serviceTimeWeight * float64(d-s.meanServiceTime))
}
