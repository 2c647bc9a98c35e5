package balance

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"github.com/rs/zerolog"

	"baywall.example/core/cluster"
	"baywall.example/core/notice"
	"baywall.example/core/source"
)

// Registry holds the backend servers of all services. It is safe for
// concurrent use.
type Registry struct {
	log    zerolog.Logger
	peers  PeerLoad
	limits Limits // nil = servers name none
	// notices is what is known of each incarnation, also of those that are not listed any more.
	notices *notice.Table
	zone    string // of this gateway

	mu        sync.RWMutex
	shards    map[string]*shard
	evacuated map[string]bool // availability zones
}

// PeerLoad tells what the other gateways have in flight.
type PeerLoad interface {
	// Load fills out with the load that peers put on each of the servers.
	Load(servers []uint32, out []cluster.Load)
	// Pace fills out with the paces of ranks by engine key, 1 = as usual.
	Pace(engines []uint32, out []float64)
	// Formed fills out with when the groups of ranks were formed by engine key, zero = not
	// lately.
	Formed(engines []uint32, out []time.Time)
	// Members returns the number of gateways, this one included.
	Members() int
	// Staleness returns how old what peers said may be.
	Staleness() time.Duration
}

// shard is one service's servers.
type shard struct {
	mu      sync.Mutex
	servers map[string]*Server
	keys    []uint32       // scratch
	peers   []cluster.Load // scratch
	engines []uint32       // scratch
	paces   []float64      // scratch
	slow    int            // usable servers with a pace from sparedFrom
	longest time.Duration  // pause between events of the usable servers that flow
	usable  []*Server
	// candidates is scratch of Pick.
	candidates []candidate
	arrivals   arrivals // looks for a server
	punctual   arrivals // requests that can be on time
	late       atomic.Int32
	// occupied is for how long a request occupies a slot, smoothed; 0 = not
	// known.
	occupied       time.Duration
	probes         probeBudget
	probationSince time.Time // zero = not on probation
}

// NewRegistry returns the empty registry of a gateway in an availability zone.
func NewRegistry(peers PeerLoad, zone string, log zerolog.Logger) *Registry {
	return &Registry{log: log, peers: peers, zone: zone, notices: notice.NewTable(), shards: make(map[string]*shard)}
}

func (r *Registry) shard(service string) *shard {
	r.mu.RLock()
	s := r.shards[service]
	r.mu.RUnlock()
	if s != nil {
		return s
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if s = r.shards[service]; s == nil {
		s = &shard{servers: make(map[string]*Server)}
		r.shards[service] = s
	}
	return s
}

// Update takes over a full list. Servers that are missing are kept for the time of their
// absence: it is over zero where the source has been away until now.
func (r *Registry) Update(list []Info, at source.Position, absence time.Duration, now time.Time) {
	byService := make(map[string][]Info)
	for _, info := range list {
		byService[info.Service] = append(byService[info.Service], info)
	}
	r.mu.RLock()
	for service := range r.shards {
		if _, ok := byService[service]; !ok {
			byService[service] = nil
		}
	}
	r.mu.RUnlock()
	for service, infos := range byService {
		r.updateShard(r.shard(service), infos, at, absence, now)
	}
	r.replaceOlder(list)
}

// replaceOlder takes the servers out at whose address a later one is listed: a
// server that crashed stays listed until its lease ends.
func (r *Registry) replaceOlder(list []Info) {
	latest := make(map[string]Info, len(list))
	for _, info := range list {
		if l, ok := latest[info.Address]; !ok || info.laterThan(l) {
			latest[info.Address] = info
		}
	}
	for _, info := range list {
		if !latest[info.Address].laterThan(info) {
			continue
		}
		s := r.shard(info.Service)
		s.mu.Lock()
		server := s.servers[info.ID]
		s.mu.Unlock()
		if server != nil {
			r.Replaced(server)
		}
	}
}

func (r *Registry) updateShard(s *shard, infos []Info, at source.Position, absence time.Duration, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	listed := make(map[string]bool, len(infos))
	for _, info := range infos {
		listed[info.ID] = true
		old := s.servers[info.ID]
		if old == nil || old.Address != info.Address || old.Started != info.Started {
			if old != nil {
				r.remove(old, now)
			}
			server := newServer(info, r.notices.Of(info.noticeKey()))
			server.evacuated = r.isEvacuated(info.Zone)
			s.servers[info.ID] = server
			r.log.Info().Str("server", info.ID).Str("service", info.Service).Str("address", info.Address).
				Uint64("era", at.Era).Uint64("revision", at.Revision).Uint64("started", info.Started).Bool("draining", server.drains()).Msg("backend server listed")
			continue
		}
		old.missingUntil = time.Time{}
		if info.Draining && old.said.Leave(notice.FromEntry) {
			r.log.Info().Str("server", info.ID).Str("source", string(notice.FromEntry)).
				Uint64("era", at.Era).Uint64("revision", at.Revision).Msg("backend server drains")
		}
	}
	for id, server := range s.servers {
		if !listed[id] {
			r.miss(s, server, at, absence, now)
		}
	}
}

// miss handles a server that is no longer listed.
func (r *Registry) miss(s *shard, server *Server, at source.Position, absence time.Duration, now time.Time) {
	if server.missingUntil.IsZero() && absence > 0 && !server.drains() {
		server.missingUntil = now.Add(absence)
		r.log.Info().Str("server", server.ID).Uint64("era", at.Era).Uint64("revision", at.Revision).Dur("for", absence).
			Msg("backend server missing after the source was away")
	}
	if now.Before(server.missingUntil) {
		return
	}
	delete(s.servers, server.ID)
	r.remove(server, now)
	r.log.Info().Str("server", server.ID).Str("service", server.Service).Uint64("era", at.Era).Uint64("revision", at.Revision).
		Msg("backend server gone")
}

// remove ends the use of a server that is not listed any more.
func (r *Registry) remove(server *Server, now time.Time) {
	server.gone = true
	server.Pool.Close()
	r.notices.Unlist(server.noticeKey(), now)
}

// Expire removes servers that were missing for too long.
func (r *Registry) Expire(at source.Position, now time.Time) {
	r.notices.Expire(now)
	for _, s := range r.all() {
		s.mu.Lock()
		for _, server := range s.servers {
			if !server.missingUntil.IsZero() {
				r.miss(s, server, at, 0, now)
			}
		}
		s.mu.Unlock()
	}
}

// At returns the backend server that is listed at the address, the latest one where there are
// several; nil if there is none.
func (r *Registry) At(address string) *Server {
	var found *Server
	for _, s := range r.all() {
		s.mu.Lock()
		for _, server := range s.servers {
			if server.Address == address && (found == nil || server.laterThan(found.Info)) {
				found = server
			}
		}
		s.mu.Unlock()
	}
	return found
}

func (r *Registry) all() []*shard {
	r.mu.RLock()
	defer r.mu.RUnlock()
	out := make([]*shard, 0, len(r.shards))
	for _, s := range r.shards {
		out = append(out, s)
	}
	return out
}

// OwnLoad returns this gateway's load by server key.
func (r *Registry) OwnLoad(now time.Time) map[uint32]cluster.Load {
	out := make(map[uint32]cluster.Load)
	for _, s := range r.all() {
		s.mu.Lock()
		for _, server := range s.servers {
			if n := server.InFlight(); n > 0 {
				out[server.Key] = cluster.Load{Requests: n, Gap: server.Pace.Gap(now)}
			}
		}
		s.mu.Unlock()
	}
	return out
}

// Load is the state of a service's servers as one gateway sees it.
type Load struct {
	Servers  int // that may take requests
	AtLimit  int // of which this many are left out since they are at the limit that they name
	Resting  int // that are left out since they rest, or return from a rest
	Slots    int // of these together
	InFlight int // requests of all gateways to these
	Own      int // of which this gateway's
}

// Choice is a picked server with the load that decided.
type Choice struct {
	Server *Server
	// InFlight is the number of requests of all gateways to the server, this
	// one not counted.
	InFlight int
	// Pace is the pause between events that a stream has to expect, 0 = not
	// known.
	Pace time.Duration
	Load Load

	late      *atomic.Int32 // late requests of this gateway to the service, nil if this is none
	returning *atomic.Int32 // requests to a server since its rest, nil if it is no bound
}

// Release ends the use of the choice.
func (c Choice) Release() {
	c.Server.inFlight.Add(-1)
	if c.late != nil {
		c.late.Add(-1)
	}
	if c.returning != nil {
		c.returning.Add(-1)
	}
}

// Load returns the state of the service's servers.
func (r *Registry) Load(service string, now time.Time) Load {
	s := r.shard(service)
	s.mu.Lock()
	defer s.mu.Unlock()
	return r.refresh(s, now)
}

// refresh fills the shard's scratch lists with the servers that may take
// requests and what peers have in flight to them.
func (r *Registry) refresh(s *shard, now time.Time) Load {
	r.hearPeers(s, now)
	s.usable, s.keys, s.engines = s.usable[:0], s.keys[:0], s.engines[:0]
	probation := s.onProbation(now)
	resting := 0
	for _, server := range s.servers {
		if server.fit(now) && server.Rests(now) {
			resting++
		}
		if server.usable(now) && server.trusted(probation, now) {
			s.usable = append(s.usable, server)
			s.keys = append(s.keys, server.Key)
			s.engines = append(s.engines, server.engine)
		}
	}
	s.peers = append(s.peers[:0], make([]cluster.Load, len(s.keys))...)
	r.peers.Load(s.keys, s.peers)
	s.paces = append(s.paces[:0], make([]float64, len(s.keys))...)
	r.peers.Pace(s.engines, s.paces)
	s.slow = 0
	for _, pace := range s.paces {
		if pace >= sparedFrom {
			s.slow++
		}
	}
	load := Load{Servers: len(s.usable), Resting: resting}
	for i, server := range s.usable {
		own := server.InFlight()
		load.Slots += server.Slots
		load.Own += own
		load.InFlight += own + s.peers[i].Requests
	}
	return load
}

// Succeeded notes a whole answer of the server.
func (r *Registry) Succeeded(server *Server) {
	s := r.shard(server.Service)
	s.mu.Lock()
	defer s.mu.Unlock()
	server.health.success()
}

// Rejected notes a request that the server turned away as full. For a short time
// it gets no other.
func (r *Registry) Rejected(server *Server, now time.Time) {
	s := r.shard(server.Service)
	s.mu.Lock()
	defer s.mu.Unlock()
	server.health.trial = false
	server.probation.accepted, server.probation.good, server.probation.rejected = false, false, now
	server.full.rejected(now)
}

// Released notes a request that ended without a verdict on the server, such as
// one whose caller left.
func (r *Registry) Released(server *Server) {
	s := r.shard(server.Service)
	s.mu.Lock()
	defer s.mu.Unlock()
	server.health.trial = false
}

// Failed notes a failed request to the server, which may eject it.
func (r *Registry) Failed(server *Server, reason string, now time.Time) {
	s := r.shard(server.Service)
	s.mu.Lock()
	defer s.mu.Unlock()
	trial := server.health.onTrial()
	if !trial && s.ejected(now) >= len(s.servers)/2 {
		server.health.note(1)
		return
	}
	if server.health.failure(now) {
		r.log.Warn().Str("server", server.ID).Str("service", server.Service).Str("reason", reason).
			Int("ejections", server.health.ejections).Dur("for", server.health.until.Sub(now)).Msg("backend server ejected")
	}
}

// Ended notes that the server's process has ended: its host refuses connections. It gets
// nothing for the length of a first ejection, whatever else is ejected: to try it again
// costs a refused connection only.
func (r *Registry) Ended(server *Server, now time.Time) {
	s := r.shard(server.Service)
	s.mu.Lock()
	defer s.mu.Unlock()
	if server.replaced || server.health.ejected(now) && !server.health.trial {
		return
	}
	server.health = health{ejections: server.health.ejections, until: now.Add(firstEjection)}
	server.probation.accepted, server.probation.good = false, false
	r.log.Warn().Str("server", server.ID).Str("service", server.Service).Str("reason", "ended").
		Dur("for", firstEjection).Msg("backend server ejected")
}

// SaysLeaving notes that the server said in an answer that it leaves. It gets nothing new, whatever
// entries of it say.
func (r *Registry) SaysLeaving(server *Server) {
	if server.said.Leave(notice.FromAnswer) {
		r.log.Info().Str("server", server.ID).Str("service", server.Service).Str("source", string(notice.FromAnswer)).Msg("backend server drains")
	}
}

// Errors of Admits.
var (
	ErrLeaving = eris.New("balance: the backend server takes nothing new")
	ErrResting = eris.New("balance: the backend server rests")
)

// Admits reports with an error why the server is not to be sent a request any more that was
// meant for it: ErrLeaving if it is not listed, leaves, its availability zone is evacuated or
// another one is known to be at its address, ErrResting if it rests.
func (r *Registry) Admits(server *Server, now time.Time) error {
	s := r.shard(server.Service)
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case server.leaves() || server.gone:
		return ErrLeaving
	case server.Rests(now):
		return ErrResting
	default:
		return nil
	}
}

// Replaced notes that another backend server answers at the server's address.
// It takes no more requests; the list will say what took its place.
func (r *Registry) Replaced(server *Server) {
	s := r.shard(server.Service)
	s.mu.Lock()
	defer s.mu.Unlock()
	if server.replaced {
		return
	}
	server.replaced = true
	server.probation = probation{}
	server.Pool.Close()
	r.log.Warn().Str("server", server.ID).Str("service", server.Service).Str("address", server.Address).Msg("backend server replaced")
}

func (s *shard) ejected(now time.Time) int {
	n := 0
	for _, server := range s.servers {
		if server.health.ejected(now) {
			n++
		}
	}
	return n
}
