// Package limits bounds what one team may have running.
package limits

import (
	"sync"
	"time"

	"baywall.example/core/contract"
)

// retryAfter is when a caller may come back after its team's limit was hit.
const retryAfter = time.Second

// shardCount is the number of independently locked parts of a Limiter.
const shardCount = 16

// Limiter admits requests up to each team's share. It is safe for concurrent
// use; only teams with requests in flight cost memory.
type Limiter struct {
	shards [shardCount]shard
}

type shard struct {
	mu      sync.Mutex
	running map[string]int
}

// New returns a limiter with nothing in flight.
func New() *Limiter {
	l := &Limiter{}
	for i := range l.shards {
		l.shards[i].running = make(map[string]int)
	}
	return l
}

func (l *Limiter) shard(team string) *shard {
	h := uint32(2166136261)
	for i := range len(team) {
		h = (h ^ uint32(team[i])) * 16777619
	}
	return &l.shards[h%shardCount]
}

// Admit counts a request of the team in, if fewer than share are running. The
// release function counts it out again and must be called once.
func (l *Limiter) Admit(team string, share int) (release func(), refusal *contract.Refusal) {
	s := l.shard(team)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.running[team] >= share {
		return nil, &contract.Refusal{Outcome: contract.NotRun, Reason: contract.ReasonTeamLimit, RetryAfter: retryAfter}
	}
	s.running[team]++
	return func() { s.release(team) }, nil
}

func (s *shard) release(team string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running[team]--
	if s.running[team] == 0 {
		delete(s.running, team)
	}
}
