package balance

import (
	"math/rand/v2"
	"time"

	"baywall.example/core/clock"
	"baywall.example/core/cluster"
)

// While none of a service's servers is known to take requests, as after all VMs
// lost power, requests would use up their retries on servers that turn them away.
// The service is then on probation: its servers are asked with probes, which cost
// no retry, and requests go only to those that answered well. It ends with the
// first server that accepts a request; the others stay suspect until they accept
// one or answer a probe, or until enough time has passed.

const (
	// probeInterval is the time between two probes of a server: groups of ranks
	// take some seconds to be formed, and callers wait for them.
	probeInterval = 120 * time.Millisecond
	// leastProbes and probedPart bound the probes of all gateways in an interval: as long
	// as no server takes requests, a part of them tells as much as all, and what one
	// gateway finds the others hear.
	leastProbes = 4
	probedPart  = 4
	// probePatience is for how long requests hold back where probes get no
	// usable answer: then they try the servers themselves.
	probePatience = 4 * time.Second
	// suspectTime is for how long a server stays suspect: one that answers no
	// probe by then cannot be asked.
	suspectTime = 2 * probePatience
	// slowStartTime is how long servers take to get all late requests after a probation,
	// or after their group was formed, slowStartFrom the part of their slots that these
	// get at first.
	slowStartTime = 2500 * time.Millisecond
	slowStartFrom = 0.3
	// slowStartPace is the part of the gap target from which a server gets no streams
	// during slow start.
	slowStartPace = 0.8
	// lateStartPace is the same for late streams, which also wait until passes are known:
	// on the initial map their prompts make the first passes too long for those that can
	// still be on time.
	lateStartPace = 0.75
	// latePart is the part of the slots at hand that is for late requests: they must not
	// make others late.
	latePart = 0.7
	// foundTold is for how long other gateways are told of a server that takes requests
	// again, foundPatience for how long after a server turned a request away that may be
	// older: what is told, and what was heard, both last half a second.
	foundTold     = 500 * time.Millisecond
	foundPatience = 2 * foundTold
	// peersPatience is for how long after a server turned a request away what others say
	// of it may be older than that.
	peersPatience = 1200 * time.Millisecond
	// minDoubted and doubtedPart tell how many servers are doubted on probation:
	// a quarter, where that is more than a few that are full by chance.
	minDoubted  = 3
	doubtedPart = 4
)

// probation is what is known of one server.
type probation struct {
	accepted bool      // it took a request in, and turned none away since
	suspect  time.Time // when its service came on probation, zero = not suspect
	good     bool      // its latest probe
	rejected time.Time // when it last turned a request away
	found    time.Time // when it turned out to take requests again
	asked    time.Time // when the latest probe began
	formed   time.Time // when its group of ranks was formed
	asking   bool
}

// doubted reports whether the server turned its latest request away.
func (s *Server) doubted() bool { return s.replaced || s.full.rejections > 0 && !s.evacuated }

// onProbation reports whether many servers of the shard are doubted and none is
// known to take requests.
func (s *shard) onProbation(now time.Time) bool {
	doubted := 0
	for _, server := range s.servers {
		if server.probation.accepted && server.usable(now) {
			s.endProbation(now)
			return false
		}
		if server.doubted() {
			doubted++
		}
	}
	if doubted < max(minDoubted, len(s.servers)/doubtedPart) {
		return false
	}
	if s.probationSince.IsZero() {
		s.probationSince = now
		for _, server := range s.servers {
			server.probation.suspect = now
		}
	}
	return now.Sub(s.probationSince) < probePatience
}

// endProbation begins the slow start.
func (s *shard) endProbation(now time.Time) {
	if s.probationSince.IsZero() {
		return
	}
	s.probationSince = time.Time{}
	for _, server := range s.servers {
		server.slowStart = now
	}
}

// startShare returns the part of its slots that a server gets during slow start, 1 after
// it. Until the first maps are planned, full batches make passes too long for streams
// to be on time.
func (s *Server) startShare(now time.Time) float64 {
	age := now.Sub(s.slowStart)
	if age >= slowStartTime {
		return 1
	}
	return slowStartFrom + (1-slowStartFrom)*float64(age)/float64(slowStartTime)
}

// holdsBack reports whether a server gets no more requests of the demand's kind
// during slow start.
func (s *shard) holdsBack(i int, d Demand, now time.Time) bool {
	share := s.usable[i].startShare(now)
	if share >= 1 {
		return false
	}
	pace := float64(s.likelyPace(i, now))
	target := float64(d.GapTarget)
	if d.Late && float64(s.inFlight(i)) >= latePart*share*float64(s.usable[i].Slots) {
		return true
	}
	if d.Late {
		return target > 0 && (pace == 0 || pace >= lateStartPace*target)
	}
	return target > 0 && pace >= slowStartPace*target
}

// hearPeers takes it from other gateways that suspect servers take requests again: one
// that was probed or tried successfully by one of them need not be by all.
func (r *Registry) hearPeers(s *shard, now time.Time) {
	for _, server := range s.servers {
		p := &server.probation
		r.hearFormed(server, now)
		if p.suspect.IsZero() || p.trustedSelf() || now.Sub(p.rejected) < foundPatience {
			continue
		}
		key, load := [1]uint32{server.Key}, [1]cluster.Load{}
		r.peers.Load(key[:], load[:])
		gap := load[0].Gap
		flows := gap > 0 && gap < standsFrom && now.Sub(p.rejected) >= peersPatience
		if flows || load[0].Found {
			p.good, p.suspect = true, time.Time{}
			server.full = fullness{}
		}
	}
}

// sameFormation is how far apart two times of one formation may be that were told over
// different ways.
const sameFormation = time.Second

// hearFormed takes it from the server's agent that its group of ranks was formed: it
// takes requests again, and what was seen of the group before says nothing.
func (r *Registry) hearFormed(server *Server, now time.Time) {
	var formed [1]time.Time
	r.peers.Formed([]uint32{server.engine}, formed[:])
	p := &server.probation
	if formed[0].IsZero() || formed[0].Sub(p.formed) < sameFormation || !formed[0].After(p.rejected) {
		return
	}
	p.formed = formed[0]
	p.good, p.suspect = true, time.Time{}
	server.full = fullness{}
	server.Pace.Formed()
	server.slowStart = now
	r.log.Info().Str("server", server.ID).Str("service", server.Service).Time("formed", formed[0]).Msg("group of ranks formed")
}

// trusted reports whether a server may get requests as far as its probation goes.
func (s *Server) trusted(probation bool, now time.Time) bool {
	if s.probation.good || s.probation.accepted {
		return true
	}
	return !probation && now.Sub(s.probation.suspect) > suspectTime
}

// DueProbes returns the servers to be probed now. Each is then reported to
// Probed.
func (r *Registry) DueProbes(now time.Time) []*Server {
	var out []*Server
	for _, s := range r.all() {
		s.mu.Lock()
		probation := s.onProbation(now)
		left := s.probes.take(r.probesAtOnce(len(s.servers)), now)
		for _, server := range s.servers { // in random order
			if server.trusted(probation, now) || server.leaves() || server.Rests(now) {
				continue
			}
			p := &server.probation
			if now.Sub(p.asked) >= probeInterval && !p.asking && left > 0 {
				p.asking, p.asked = true, now
				out = append(out, server)
				left--
			}
		}
		s.probes.putBack(left)
		s.mu.Unlock()
	}
	return out
}

// probesAtOnce returns how many of some servers this gateway may probe in an interval:
// its part of what all gateways together may.
func (r *Registry) probesAtOnce(servers int) float64 {
	return float64(max(leastProbes, servers/probedPart)) / float64(r.peers.Members())
}

// probeBudget spreads a gateway's probes over time.
type probeBudget struct {
	left float64
	at   time.Time // when it was last filled, zero = never
}

// take returns how many probes may begin now, of so many in an interval.
func (b *probeBudget) take(perInterval float64, now time.Time) int {
	if b.at.IsZero() {
		b.left = max(perInterval, rand.Float64()) // those that start together begin one after the other
	} else {
		b.left += perInterval * now.Sub(b.at).Seconds() / probeInterval.Seconds()
	}
	b.left = min(b.left, max(1, perInterval))
	b.at = now
	n := int(b.left)
	b.left -= float64(n)
	return n
}

// putBack returns probes that were not needed.
func (b *probeBudget) putBack(n int) { b.left += float64(n) }

// Probed notes the answer to a probe: whether the server takes requests.
func (r *Registry) Probed(server *Server, good bool) {
	s := r.shard(server.Service)
	s.mu.Lock()
	defer s.mu.Unlock()
	p := &server.probation
	p.asking = false
	if good && !p.good {
		r.log.Info().Str("server", server.ID).Str("service", server.Service).Msg("backend server takes requests again")
	}
	p.good = good
	if good {
		p.suspect, p.found = time.Time{}, clock.Now()
		server.full = fullness{}
	}
}

// NotProbed notes that a server could not be asked now.
func (r *Registry) NotProbed(server *Server) {
	s := r.shard(server.Service)
	s.mu.Lock()
	defer s.mu.Unlock()
	server.probation.asking = false
}

// Accepted notes that the server took a request in.
func (r *Registry) Accepted(server *Server, now time.Time) {
	s := r.shard(server.Service)
	s.mu.Lock()
	defer s.mu.Unlock()
	server.full = fullness{}
	if !server.Rests(now) {
		server.returning.accepted(server.Slots)
	}
	p := &server.probation
	if !p.suspect.IsZero() {
		p.found = now
	}
	p.accepted, p.suspect = true, time.Time{}
}

// Found returns the keys of servers that lately turned out to take requests again, for
// the other gateways: each probes only its part of them.
func (r *Registry) Found(now time.Time) []uint32 {
	var out []uint32
	for _, s := range r.all() {
		s.mu.Lock()
		for _, server := range s.servers {
			if p := &server.probation; p.trustedSelf() && now.Sub(p.found) < foundTold {
				out = append(out, server.Key)
			}
		}
		s.mu.Unlock()
	}
	return out
}

func (p *probation) trustedSelf() bool { return p.good || p.accepted }
