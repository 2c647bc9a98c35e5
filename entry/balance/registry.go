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
	"baywall.example/entry/speed"
)

// Registry holds the backend servers of all services. It is safe for concurrent use.
type Registry struct {
	log    zerolog.Logger
	peers  PeerLoad
	limits Limits // nil = no server has a limit
	// notices holds what each incarnation announced, also for those that are no longer
	// listed.
	notices *notice.Table
	zone    string // of this gateway
	maxIdle int    // idle connections to all servers together, 0 = without a bound
	// receiveBuffer is the size of a connection's receive buffer, in bytes, 0 = the system's.
	receiveBuffer int

	mu        sync.RWMutex
	shards    map[string]*shard
	evacuated map[string]bool // availability zones
}

// PeerLoad provides the load of the other gateways and what they measured.
type PeerLoad interface {
	// Load fills out with the load that peers put on each of the servers.
	Load(servers []uint32, out []cluster.Load)
	// Slowdowns fills out with the slowdown of ranks by engine key, 1 = normal speed.
	Slowdowns(engines []uint32, out []float64)
	// Formed fills out with the times at which the groups of ranks were formed, by engine
	// key; zero = not recently.
	Formed(engines []uint32, out []time.Time)
	// Members returns the number of gateways, this one included.
	Members() int
	// Staleness returns the maximum age of the reports of peers.
	Staleness() time.Duration
}

// shard holds the servers of one service.
type shard struct {
	mu        sync.Mutex
	servers   map[string]*Server
	keys      []uint32       // scratch
	peers     []cluster.Load // scratch
	engines   []uint32       // scratch
	slowdowns []float64      // scratch
	slow      int            // usable servers with a slowdown of at least slowAt
	maxGap    time.Duration  // longest gap among usable servers that are not stalled
	usable    []*Server
	// candidates is scratch space of Pick.
	candidates []candidate
	arrivals   arrivals // calls of Pick
	onTime     arrivals // requests that can still be on time
	late       atomic.Int32
	// meanServiceTime is the smoothed time for which a request occupies a slot; 0 =
	// unknown.
	meanServiceTime time.Duration
	meanInFlight    float64       // requests of all gateways per usable server, as of the latest refresh
	speeds          speed.Service // of servers without engines
	leastSlowness   float64       // least slowness of the servers that the current demand may use
	probes          probeBudget
	probationSince  time.Time // zero = not on probation
}

// BoundConnections bounds the idle connections to all servers together, and the receive buffer of each
// connection, in bytes. It must be called before Update.
func (r *Registry) BoundConnections(idle, receiveBuffer int) {
	r.maxIdle, r.receiveBuffer = idle, receiveBuffer
}

// shareIdle divides the idle connections among the listed servers: each may keep one at least.
func (r *Registry) shareIdle(listed int) {
	if r.maxIdle == 0 || listed == 0 {
		return
	}
	r.mu.RLock()
	defer r.mu.RUnlock()
	for _, s := range r.shards {
		s.mu.Lock()
		for _, server := range s.servers {
			server.Pool.SetMaxIdle(max(1, r.maxIdle/listed))
		}
		s.mu.Unlock()
	}
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

// Update applies a full list. Servers that are missing from it are retained for
// gracePeriod, which is above zero if the source was unavailable until now.
func (r *Registry) Update(list []Info, at source.Position, gracePeriod time.Duration, now time.Time) {
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
		r.updateShard(r.shard(service), infos, at, gracePeriod, now)
	}
	r.replaceOlder(list)
	r.shareIdle(len(list))
}

// replaceOlder takes servers out of use if a later one is listed at the same address: a
// server that crashed stays listed until its lease expires.
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

func (r *Registry) updateShard(s *shard, infos []Info, at source.Position, gracePeriod time.Duration, now time.Time) {
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
			server.Pool.SetReceiveBuffer(r.receiveBuffer)
			server.evacuated = r.isEvacuated(info.Zone)
			s.servers[info.ID] = server
			r.log.Info().Str("server", info.ID).Str("service", info.Service).Str("address", info.Address).
				Uint64("era", at.Term).Uint64("revision", at.Revision).Uint64("started", info.Started).Bool("draining", server.drains()).Msg("backend server listed")
			continue
		}
		old.missingUntil = time.Time{}
		if info.Draining && old.noticeState.Leave(notice.FromEntry) {
			r.log.Info().Str("server", info.ID).Str("source", string(notice.FromEntry)).
				Uint64("era", at.Term).Uint64("revision", at.Revision).Msg("backend server drains")
		}
	}
	for id, server := range s.servers {
		if !listed[id] {
			r.handleMissing(s, server, at, gracePeriod, now)
		}
	}
}

// handleMissing handles a server that is no longer listed.
func (r *Registry) handleMissing(s *shard, server *Server, at source.Position, gracePeriod time.Duration, now time.Time) {
	if server.missingUntil.IsZero() && gracePeriod > 0 && !server.drains() {
		server.missingUntil = now.Add(gracePeriod)
		r.log.Info().Str("server", server.ID).Uint64("era", at.Term).Uint64("revision", at.Revision).Dur("for", gracePeriod).
			Msg("backend server missing after an outage of the source")
	}
	if now.Before(server.missingUntil) {
		return
	}
	delete(s.servers, server.ID)
	r.remove(server, now)
	r.log.Info().Str("server", server.ID).Str("service", server.Service).Uint64("era", at.Term).Uint64("revision", at.Revision).
		Msg("backend server no longer listed")
}

// remove closes a server that is no longer listed. The caller holds the shard's lock.
func (r *Registry) remove(server *Server, now time.Time) {
	server.gone = true
	server.Pool.Close()
	r.shard(server.Service).speeds.Forget(server.ID)
	r.notices.Unlist(server.noticeKey(), now)
}

// Expire removes missing servers whose grace period has ended.
func (r *Registry) Expire(at source.Position, now time.Time) {
	r.notices.Expire(now)
	for _, s := range r.all() {
		s.mu.Lock()
		for _, server := range s.servers {
			if !server.missingUntil.IsZero() {
				r.handleMissing(s, server, at, 0, now)
			}
		}
		s.mu.Unlock()
	}
}

// At returns the backend server that is listed at the address, the latest one if there
// are several, or nil if there is none.
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
				out[server.Key] = cluster.Load{Requests: n, Gap: server.StreamGap.Gap(now)}
			}
		}
		s.mu.Unlock()
	}
	return out
}

// Load is the state of a service's servers as one gateway sees it.
type Load struct {
	Servers   int // that may take requests
	AtLimit   int // those of Servers that are left out because they reached their limit
	InBackoff int // servers left out because of a backoff or the ramp-up after it
	Slots     int // total of Servers
	InFlight  int // requests of all gateways to Servers
	Own       int // part of InFlight that is from this gateway
	Free      int // free slots within the capacity for the demand; set by Pick only
}

// Choice is a picked server with the load that the pick was based on.
type Choice struct {
	Server *Server
	// InFlight is the number of requests of all gateways to the server, excluding this
	// one.
	InFlight int
	// StreamGap is the expected gap between events of a stream, 0 = unknown.
	StreamGap time.Duration
	Load      Load

	late   *atomic.Int32 // this gateway's late requests to the service, nil if the request is not late
	rampUp *atomic.Int32 // requests sent during the ramp-up after a backoff, nil if there is none
}

// Release ends the use of the choice. It must be called once.
func (c Choice) Release() {
	c.Server.inFlight.Add(-1)
	if c.late != nil {
		c.late.Add(-1)
	}
	if c.rampUp != nil {
		c.rampUp.Add(-1)
	}
}

// Load returns the state of the service's servers.
func (r *Registry) Load(service string, now time.Time) Load {
	s := r.shard(service)
	s.mu.Lock()
	defer s.mu.Unlock()
	return r.refresh(s, now)
}

// MeanInFlight returns how many requests a server of the service had in flight on average
// when a server was last picked.
func (r *Registry) MeanInFlight(service string) float64 {
	s := r.shard(service)
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.meanInFlight
}

// refresh fills the shard's scratch lists with the servers that may take requests and
// with the requests that peers have in flight to them.
func (r *Registry) refresh(s *shard, now time.Time) Load {
	r.applyPeerReports(s, now)
	s.usable, s.keys, s.engines = s.usable[:0], s.keys[:0], s.engines[:0]
	probation := s.onProbation(now)
	inBackoff := 0
	for _, server := range s.servers {
		if server.eligible(now) && server.HasBackoff(now) {
			inBackoff++
		}
		if server.usable(now) && server.trusted(probation, now) {
			s.usable = append(s.usable, server)
			s.keys = append(s.keys, server.Key)
			s.engines = append(s.engines, server.engineKey)
		}
	}
	s.peers = append(s.peers[:0], make([]cluster.Load, len(s.keys))...)
	r.peers.Load(s.keys, s.peers)
	s.slowdowns = append(s.slowdowns[:0], make([]float64, len(s.keys))...)
	r.peers.Slowdowns(s.engines, s.slowdowns)
	s.slow = 0
	for _, slowdown := range s.slowdowns {
		if slowdown >= slowAt {
			s.slow++
		}
	}
	load := Load{Servers: len(s.usable), InBackoff: inBackoff}
	for i, server := range s.usable {
		own := server.InFlight()
		load.Slots += server.Slots
		load.Own += own
		load.InFlight += own + s.peers[i].Requests
	}
	s.meanInFlight = float64(load.InFlight) / float64(max(1, load.Servers))
	return load
}

// Succeeded records a complete answer of the server.
func (r *Registry) Succeeded(server *Server) {
	s := r.shard(server.Service)
	s.mu.Lock()
	defer s.mu.Unlock()
	server.health.success()
}

// Rejected records that the server rejected a request as full. The server gets no further
// request for a short time.
func (r *Registry) Rejected(server *Server, now time.Time) {
	s := r.shard(server.Service)
	s.mu.Lock()
	defer s.mu.Unlock()
	server.health.trial = false
	server.probation.accepted, server.probation.probePassed, server.probation.rejected = false, false, now
	server.full.rejected(now)
}

// Released records a request that ended without a result for the server, such as one
// whose caller left.
func (r *Registry) Released(server *Server) {
	s := r.shard(server.Service)
	s.mu.Lock()
	defer s.mu.Unlock()
	server.health.trial = false
}

// Failed records a failed request to the server, which may eject it.
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

// Ended records that the server's process has ended: its host refuses connections. The
// server gets nothing for the length of a first ejection, even if many others are
// ejected: trying it again costs no more than a refused connection.
func (r *Registry) Ended(server *Server, now time.Time) {
	s := r.shard(server.Service)
	s.mu.Lock()
	defer s.mu.Unlock()
	if server.replaced || server.health.ejected(now) && !server.health.trial {
		return
	}
	server.health = health{ejections: server.health.ejections, until: now.Add(firstEjection)}
	server.probation.accepted, server.probation.probePassed = false, false
	r.log.Warn().Str("server", server.ID).Str("service", server.Service).Str("reason", "ended").
		Dur("for", firstEjection).Msg("backend server ejected")
}

// RecordDraining records that the server announced in an answer that it drains. It gets no
// new requests, whatever its entries state.
func (r *Registry) RecordDraining(server *Server) {
	if server.noticeState.Leave(notice.FromAnswer) {
		r.log.Info().Str("server", server.ID).Str("service", server.Service).Str("source", string(notice.FromAnswer)).Msg("backend server drains")
	}
}

// Errors returned by Admits.
var (
	ErrLeaving   = eris.New("balance: backend server takes no new requests")
	ErrInBackoff = eris.New("balance: backend server is in backoff")
)

// Admits returns an error if a request that was already assigned to the server must no
// longer be sent to it: ErrInBackoff if the server is in a backoff, ErrLeaving if it takes
// no new requests because it is no longer listed, drains, is in an evacuated availability
// zone or was replaced at its address.
func (r *Registry) Admits(server *Server, now time.Time) error {
	s := r.shard(server.Service)
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case server.withdrawn() || server.gone:
		return ErrLeaving
	case server.HasBackoff(now):
		return ErrInBackoff
	default:
		return nil
	}
}

// Replaced records that another backend server answers at the server's address. The
// server takes no more requests; a later list will name its replacement.
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
