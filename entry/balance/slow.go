package balance

const (
	// slowCost is what a rank that takes twice its usual time is worth in load: its
	// fixed part of a step then is longer than the whole part of others, so whatever
	// it is given makes the pass longer for all ranks. By engines whose fixed part is
	// three to seven times what a full batch adds to it.
	slowCost = 3.0
	// sparedFrom is the pace from which a rank gets no streams as long as most ranks
	// are as usual, even if those are full: with 12 requests on a rank 3.3 times as
	// slow, passes of its group take 137 ms instead of 108, which is late for all.
	sparedFrom = 1.3
)

// slowness returns what is added to a server's load since its rank is slow.
func (s *shard) slowness(i int) float64 { return slowCost * max(0, s.paces[i]-1) }

// spared reports whether a server gets no streams since its rank is slow.
func (s *shard) spared(i int) bool { return s.paces[i] >= sparedFrom && 2*s.slow < len(s.usable) }

// Spared reports whether a server gets no streams since its rank is slow. Those that
// it has are better off elsewhere.
func (r *Registry) Spared(server *Server) bool {
	var pace [1]float64
	r.peers.Pace([]uint32{server.engine}, pace[:])
	if pace[0] < sparedFrom {
		return false
	}
	s := r.shard(server.Service)
	s.mu.Lock()
	defer s.mu.Unlock()
	return 2*s.slow < len(s.usable)
}
