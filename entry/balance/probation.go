package balance

import (
	"math/rand/v2"
	"time"

	"baywall.example/core/clock"
	"baywall.example/core/cluster"
)

// If no server of a service is known to take requests, for instance after all VMs lost
// power, requests would use up their retries on servers that reject them. The service is
// then on probation: its servers are probed, which costs no retry, and requests go only
// to servers whose probe succeeded. Probation ends with the first server that accepts a
// request. The others stay suspect until they accept a request or answer a probe, or
// until suspectTime has passed.

const (
	// probeInterval is the minimum time between two probes of a server. Groups of ranks
	// take some seconds to form while callers wait for them.
	probeInterval = 120 * time.Millisecond
	// minProbes and probeDivisor bound the number of probes of all gateways in an
	// interval. While no server takes requests, probing a part of them gives as much
	// information as probing all, and gateways report to each other what they find.
	minProbes    = 4
	probeDivisor = 4
	// probationWaitLimit is for how long requests are held back if no probe succeeds.
	// After it, they are sent to the servers again.
	probationWaitLimit = 4 * time.Second
	// suspectTime is for how long a server stays suspect. A server that has answered no
	// probe by then cannot be probed.
	suspectTime = 2 * probationWaitLimit
	// slowStartTime is the length of the slow start after a probation or after the
	// formation of a group. During it, the share of a server's slots that late requests
	// may use rises from slowStartInitialShare to 1.
	slowStartTime         = 2500 * time.Millisecond
	slowStartInitialShare = 0.3
	// slowStartGap is the fraction of the gap target from which a server gets no streams
	// during slow start.
	slowStartGap = 0.8
	// lateSlowStartGap is the same for late streams, which are also held back until the
	// gap is known: with the initial expert map, their prompts would make the first
	// passes too long for streams that can still be on time.
	lateSlowStartGap = 0.75
	// lateSlotFraction is the fraction of the available slots that late requests may use,
	// so that they do not make others late.
	lateSlotFraction = 0.7
	// recoveryReportTime is for how long a server that takes requests again is reported
	// to other gateways. For recoveryReportMaxAge after a server rejected a request, such
	// a report may be older than the rejection: a report is sent for half a second, and a
	// received one is valid for half a second.
	recoveryReportTime   = 500 * time.Millisecond
	recoveryReportMaxAge = 2 * recoveryReportTime
	// peerReportMaxAge is for how long after a server rejected a request the load reports
	// of other gateways may be older than the rejection.
	peerReportMaxAge = 1200 * time.Millisecond
	// minRejecting and rejectingDivisor determine how many rejecting servers start a
	// probation: a quarter of the servers, but more than a few that are full by chance.
	minRejecting     = 3
	rejectingDivisor = 4
)

// probation is what is known about whether one server takes requests.
type probation struct {
	accepted     bool      // it accepted a request, and has rejected none since
	suspectSince time.Time // when its service went on probation, zero = not suspect
	probePassed  bool      // result of the latest probe
	rejected     time.Time // when it last rejected a request
	recoveredAt  time.Time // when it was found to take requests again
	probedAt     time.Time // start of the latest probe
	formedAt     time.Time // when its group of ranks was formed
	probing      bool
}

// rejecting reports whether the server rejected its latest request or was replaced.
func (s *Server) rejecting() bool { return s.replaced || s.full.rejections > 0 && !s.evacuated }

// onProbation reports whether many servers of the shard reject requests and none is known
// to take them.
func (s *shard) onProbation(now time.Time) bool {
	rejecting := 0
	for _, server := range s.servers {
		if server.probation.accepted && server.usable(now) {
			s.endProbation(now)
			return false
		}
		if server.rejecting() {
			rejecting++
		}
	}
	if rejecting < max(minRejecting, len(s.servers)/rejectingDivisor) {
		return false
	}
	if s.probationSince.IsZero() {
		s.probationSince = now
		for _, server := range s.servers {
			server.probation.suspectSince = now
		}
	}
	return now.Sub(s.probationSince) < probationWaitLimit
}

// endProbation ends the probation and begins the slow start.
func (s *shard) endProbation(now time.Time) {
	if s.probationSince.IsZero() {
		return
	}
	s.probationSince = time.Time{}
	for _, server := range s.servers {
		server.slowStart = now
	}
}

// startShare returns the share of its slots that a server gets during slow start, 1 after
// it. Until the first expert maps are planned, full batches make passes too long for
// streams to be on time.
func (s *Server) startShare(now time.Time) float64 {
	age := now.Sub(s.slowStart)
	if age >= slowStartTime {
		return 1
	}
	return slowStartInitialShare + (1-slowStartInitialShare)*float64(age)/float64(slowStartTime)
}

// holdsBack reports whether the slow start keeps further requests of the demand's kind
// from a server.
func (s *shard) holdsBack(i int, d Demand, now time.Time) bool {
	share := s.usable[i].startShare(now)
	if share >= 1 {
		return false
	}
	gap := float64(s.expectedGap(i, now))
	target := float64(d.GapTarget)
	if d.Late && float64(s.inFlight(i)) >= lateSlotFraction*share*float64(s.usable[i].Slots) {
		return true
	}
	if d.Late {
		return target > 0 && (gap == 0 || gap >= lateSlowStartGap*target)
	}
	return target > 0 && gap >= slowStartGap*target
}

// applyPeerReports marks suspect servers as usable if other gateways report that they
// take requests again, so that not every gateway has to probe or try each server.
func (r *Registry) applyPeerReports(s *shard, now time.Time) {
	for _, server := range s.servers {
		p := &server.probation
		r.applyFormation(server, now)
		if p.suspectSince.IsZero() || p.verified() || now.Sub(p.rejected) < recoveryReportMaxAge {
			continue
		}
		key, load := [1]uint32{server.Key}, [1]cluster.Load{}
		r.peers.Load(key[:], load[:])
		gap := load[0].Gap
		flows := gap > 0 && gap < stallThreshold && now.Sub(p.rejected) >= peerReportMaxAge
		if flows || load[0].Found {
			p.probePassed, p.suspectSince = true, time.Time{}
			server.full = overloadState{}
		}
	}
}

// formationSkew is the maximum difference between two reported times of the same
// formation: reports that arrive over different paths differ slightly.
const formationSkew = time.Second

// applyFormation handles the report of the server's agent that its group of ranks was
// formed. The server takes requests again, and earlier observations of the group no
// longer apply.
func (r *Registry) applyFormation(server *Server, now time.Time) {
	var formedAt [1]time.Time
	r.peers.Formed([]uint32{server.engineKey}, formedAt[:])
	p := &server.probation
	if formedAt[0].IsZero() || formedAt[0].Sub(p.formedAt) < formationSkew || !formedAt[0].After(p.rejected) {
		return
	}
	p.formedAt = formedAt[0]
	p.probePassed, p.suspectSince = true, time.Time{}
	server.full = overloadState{}
	server.StreamGap.Formed()
	server.slowStart = now
	r.log.Info().Str("server", server.ID).Str("service", server.Service).Time("formed", formedAt[0]).Msg("group of ranks formed")
}

// trusted reports whether the state of its probation allows requests to a server.
func (s *Server) trusted(probation bool, now time.Time) bool {
	if s.probation.probePassed || s.probation.accepted {
		return true
	}
	return !probation && now.Sub(s.probation.suspectSince) > suspectTime
}

// DueProbes returns the servers to probe now. The caller reports the result of each to
// Probed or NotProbed.
func (r *Registry) DueProbes(now time.Time) []*Server {
	var out []*Server
	for _, s := range r.all() {
		s.mu.Lock()
		probation := s.onProbation(now)
		left := s.probes.take(r.probesPerInterval(len(s.servers)), now)
		for _, server := range s.servers { // in random order
			if server.trusted(probation, now) || server.withdrawn() || server.HasBackoff(now) {
				continue
			}
			p := &server.probation
			if now.Sub(p.probedAt) >= probeInterval && !p.probing && left > 0 {
				p.probing, p.probedAt = true, now
				out = append(out, server)
				left--
			}
		}
		s.probes.putBack(left)
		s.mu.Unlock()
	}
	return out
}

// probesPerInterval returns how many of a number of servers this gateway may probe in an
// interval: its share of the limit for all gateways.
func (r *Registry) probesPerInterval(servers int) float64 {
	return float64(max(minProbes, servers/probeDivisor)) / float64(r.peers.Members())
}

// probeBudget spreads a gateway's probes over time.
type probeBudget struct {
	left float64
	at   time.Time // when it was last filled, zero = never
}

// take returns how many probes may begin now, at a rate of perInterval probes per
// probeInterval.
func (b *probeBudget) take(perInterval float64, now time.Time) int {
	if b.at.IsZero() {
		b.left = max(perInterval, rand.Float64()) // gateways that start together do not probe together
	} else {
		b.left += perInterval * now.Sub(b.at).Seconds() / probeInterval.Seconds()
	}
	b.left = min(b.left, max(1, perInterval))
	b.at = now
	n := int(b.left)
	b.left -= float64(n)
	return n
}

// putBack returns unused probes to the budget.
func (b *probeBudget) putBack(n int) { b.left += float64(n) }

// Probed records the result of a probe: whether the server takes requests.
func (r *Registry) Probed(server *Server, probePassed bool) {
	s := r.shard(server.Service)
	s.mu.Lock()
	defer s.mu.Unlock()
	p := &server.probation
	p.probing = false
	if probePassed && !p.probePassed {
		r.log.Info().Str("server", server.ID).Str("service", server.Service).Msg("backend server takes requests again")
	}
	p.probePassed = probePassed
	if probePassed {
		p.suspectSince, p.recoveredAt = time.Time{}, clock.Now()
		server.full = overloadState{}
	}
}

// NotProbed records that a server could not be probed now.
func (r *Registry) NotProbed(server *Server) {
	s := r.shard(server.Service)
	s.mu.Lock()
	defer s.mu.Unlock()
	server.probation.probing = false
}

// Accepted records that the server accepted a request.
func (r *Registry) Accepted(server *Server, now time.Time) {
	s := r.shard(server.Service)
	s.mu.Lock()
	defer s.mu.Unlock()
	server.full = overloadState{}
	if !server.HasBackoff(now) {
		server.rampUp.accepted(server.Slots)
	}
	p := &server.probation
	if !p.suspectSince.IsZero() {
		p.recoveredAt = now
	}
	p.accepted, p.suspectSince = true, time.Time{}
}

// Found returns the keys of the servers that were recently found to take requests again.
// They are reported to the other gateways, since each gateway probes only its share of
// the servers.
func (r *Registry) Found(now time.Time) []uint32 {
	var out []uint32
	for _, s := range r.all() {
		s.mu.Lock()
		for _, server := range s.servers {
			if p := &server.probation; p.verified() && now.Sub(p.recoveredAt) < recoveryReportTime {
				out = append(out, server.Key)
			}
		}
		s.mu.Unlock()
	}
	return out
}

func (p *probation) verified() bool { return p.probePassed || p.accepted }
