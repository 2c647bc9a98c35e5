package retry

import (
	"sync"
	"time"
)

// bucketWidth is the resolution of a share's window.
const bucketWidth = 500 * time.Millisecond

// shareMargin is the fraction of its share that a gateway uses, because others count requests
// near the edges of the window in a different order.
const shareMargin = 0.8

// Limit bounds the retries of one service over all gateways together: in any window, the
// retries are at most Ratio times the requests plus Slack.
type Limit struct {
	Ratio  float64
	Slack  float64
	Window time.Duration
}

// ShareState is the state on which a Share bases its decisions.
type ShareState struct {
	Members    int     // gateways that share the slack now, 0 = this one is on standby
	MaxMembers int     // highest number of members seen so far
	Slack      float64 // this gateway's part of the slack, in retries
	Requests   int     // requests in the window
	Retries    int     // retries in the window
}

// Share is one gateway's part of a Limit: the ratio applied to its own requests, and an
// equal part of the slack. The gateways do not coordinate: if every gateway counts all
// members, the parts add up to the limit. A Share is safe for concurrent use.
type Share struct {
	limit   Limit
	members func() int
	now     func() time.Time
	start   time.Time // when the process started

	mu         sync.Mutex
	maxMembers int   // highest number of members seen so far
	newest     int64 // number of the newest bucket
	requests   []int
	retries    []int
}

// NewShare returns the share of a gateway. The members function returns the number of
// gateways in the fleet, including this one, or 0 if this one is on standby. A standby
// gateway gets no part of the slack: standby gateways are not counted as members, so 29 of
// them beside 9 active ones would together exceed the slack. The started argument is when
// the process started.
func NewShare(limit Limit, members func() int, started time.Time, now func() time.Time) *Share {
	n := int(limit.Window/bucketWidth) + 1
	return &Share{limit: limit, members: members, now: now, start: started, requests: make([]int, n), retries: make([]int, n)}
}

// Request counts a request, which earns a fraction of a retry.
func (s *Share) Request() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.requests[s.advance()]++
}

// Take consumes one retry. It reports false if none is left.
func (s *Share) Take() bool {
	members := s.members()
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.has(members) {
		return false
	}
	s.retries[s.advance()]++
	return true
}

// Has reports whether a retry is left.
func (s *Share) Has() bool {
	members := s.members()
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.has(members)
}

// State returns the current state.
func (s *Share) State() ShareState {
	members := s.members()
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.state(members)
}

func (s *Share) state(members int) ShareState {
	s.maxMembers = max(s.maxMembers, members, 1)
	s.advance()
	out := ShareState{Members: members, MaxMembers: s.maxMembers, Requests: sum(s.requests), Retries: sum(s.retries)}
	if members > 0 {
		out.Slack = s.slack()
	}
	return out
}

func (s *Share) has(members int) bool {
	state := s.state(members)
	allowed := shareMargin * (s.limit.Ratio*float64(state.Requests) + state.Slack)
	return float64(state.Retries+1) <= allowed
}

// slack returns this gateway's part of the slack. It divides by the highest number of
// members seen, because members that are no longer reachable may still be using their
// parts. A process that has just started does not know how much its predecessor used, so
// its part grows over the first window.
func (s *Share) slack() float64 {
	age := s.now().Sub(s.start)
	fraction := min(1, float64(age)/float64(s.limit.Window))
	return fraction * s.limit.Slack / float64(s.maxMembers)
}

// advance clears the buckets that have left the window and returns the index of the newest
// bucket.
func (s *Share) advance() int {
	n := int64(len(s.requests))
	newest := int64(s.now().Sub(s.start) / bucketWidth) // monotonic, because the wall clock may jump
	for step := max(s.newest+1, newest-n+1); step <= newest; step++ {
		s.requests[step%n], s.retries[step%n] = 0, 0
	}
	s.newest = max(s.newest, newest)
	return int(s.newest % n)
}

func sum(counts []int) int {
	total := 0
	for _, c := range counts {
		total += c
	}
	return total
}
