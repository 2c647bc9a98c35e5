package balance

const (
	// slowCost is added to the load of a server whose rank takes twice its usual time.
	// The fixed part of a step on this rank is then longer than the whole step on others,
	// so any request sent to it makes the pass longer for all ranks. The value assumes
	// engines whose fixed part is three to seven times the time that a full batch adds.
	slowCost = 3.0
	// slowAt is the slowdown from which a rank gets no streams while most ranks run at
	// normal speed, even if those are full: with 12 requests on a rank that is 3.3 times
	// as slow, passes of its group take 137 ms instead of 108 ms, which is late for all
	// streams.
	slowAt = 1.3
)

// slowness returns the addition to a server's load because its rank is slow.
func (s *shard) slowness(i int) float64 { return slowCost * max(0, s.slowdowns[i]-1) }

// tooSlow reports whether a server gets no streams because its rank is slow.
func (s *shard) tooSlow(i int) bool { return s.slowdowns[i] >= slowAt && 2*s.slow < len(s.usable) }

// TooSlow reports whether a server gets no streams because its rank is slow. Streams that
// it already has are better moved to another server.
func (r *Registry) TooSlow(server *Server) bool {
	var slowdown [1]float64
	r.peers.Slowdowns([]uint32{server.engineKey}, slowdown[:])
	if slowdown[0] < slowAt {
		return false
	}
	s := r.shard(server.Service)
	s.mu.Lock()
	defer s.mu.Unlock()
	return 2*s.slow < len(s.usable)
}
