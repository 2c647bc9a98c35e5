package limits

import (
	"context"
	"hash/maphash"
	"sync"
	"time"

	"github.com/sourcegraph/conc"
	"golang.org/x/time/rate"

	"baywall.example/core/clock"
	"baywall.example/core/contract"
	"baywall.example/core/resource"
	"baywall.example/core/vm"
)

const (
	// retryAfter is the delay suggested to a caller whose team has reached its limit.
	retryAfter = time.Second
	// shardCount is the number of independently locked parts of a Limiter.
	shardCount = 16
	// callTimeout bounds the time of a call to a grantor.
	callTimeout = 300 * time.Millisecond
	// renewInterval is how often leases are checked for renewal.
	renewInterval = 200 * time.Millisecond
)

// TeamLeaseRequest is a lease request for one team.
type TeamLeaseRequest struct {
	Team string
	LeaseRequest
}

// TeamGrant is a granted lease for one team.
type TeamGrant struct {
	Team string
	Grant
}

// Network provides a Limiter with the state of its process and with calls to other entry VMs.
type Network interface {
	// Listed returns the number of entry VMs on the list.
	Listed() int
	// Fleet returns this VM's view of the fleet, for its role as the team's grantor.
	Fleet(team string) Fleet
	// Grantors returns the entry VMs that grant shares of a team's limit, in order of
	// preference. The second one is called if the first does not answer. It only renews
	// the leases that holders have, so that they survive the failure of the first.
	Grantors(team string) [2]vm.ID
	// RequestLeases sends lease requests to a grantor, which may be this VM itself.
	RequestLeases(ctx context.Context, grantor vm.ID, requests []TeamLeaseRequest) ([]TeamGrant, error)
	// Team returns a team's resource.
	Team(name string) (resource.Team, bool)
}

// Limiter admits requests within the teams' limits. It is safe for concurrent use.
type Limiter struct {
	self    vm.ID
	net     Network
	seed    maphash.Seed
	workers conc.WaitGroup
	shards  [shardCount]shard
	grants  [shardCount]grantorShard
}

type shard struct {
	mu    sync.Mutex
	teams map[string]*teamState
}

type teamState struct {
	holder  Holder
	rate    *rate.Limiter // nil without a rate limit
	pending chan struct{} // closed when the lease request in progress has ended; nil if there is none
}

type grantorShard struct {
	mu       sync.Mutex
	grantors map[string]*Grantor
}

// New returns a limiter for one entry VM.
func New(self vm.ID, net Network) *Limiter {
	l := &Limiter{self: self, net: net, seed: maphash.MakeSeed()}
	for i := range shardCount {
		l.shards[i].teams = make(map[string]*teamState)
		l.grants[i].grantors = make(map[string]*Grantor)
	}
	return l
}

func (l *Limiter) index(team string) uint64 { return maphash.String(l.seed, team) % shardCount }

// Admit admits a request of the team or returns the refusal. If necessary it requests a
// larger share from the team's grantor and waits for the answer. The release function must
// be called once.
func (l *Limiter) Admit(ctx context.Context, name string) (release func(), refusal *contract.Refusal) {
	team, ok := l.net.Team(name)
	if !ok {
		return nil, &contract.Refusal{Outcome: contract.NotRun, Reason: contract.ReasonUnknownTeam}
	}
	admitted, pending := l.tryAdmit(name, team)
	if !admitted && pending != nil {
		select {
		case <-pending:
		case <-ctx.Done():
		}
		admitted, _ = l.tryAdmit(name, team)
	}
	if !admitted {
		return nil, &contract.Refusal{Outcome: contract.NotRun, Reason: contract.ReasonTeamLimit, RetryAfter: retryAfter}
	}
	return func() { l.release(name) }, nil
}

// tryAdmit admits a request. Otherwise it returns a channel that is closed when the lease
// request in progress has ended, or nil if there is none.
func (l *Limiter) tryAdmit(name string, team resource.Team) (admitted bool, pending <-chan struct{}) {
	s := &l.shards[l.index(name)]
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.teams[name]
	if t == nil {
		t = &teamState{}
		s.teams[name] = t
	}
	now := clock.Now()
	listed := l.net.Listed()
	if !t.withinRate(team, listed, now) {
		return false, nil
	}
	if t.holder.Admit(Base(team.Concurrency, listed), now) {
		return true, nil
	}
	if t.pending == nil && t.holder.WantsMore(now) {
		t.pending = make(chan struct{})
		l.workers.Go(func() { l.requestShare(name, t) })
	}
	if t.pending == nil {
		return false, nil
	}
	return false, t.pending
}

// withinRate reports whether this entry VM's part of the team's rate limit allows a request.
// That part is the fraction of the team's concurrency that this VM may use, and at least
// basePart times an equal part.
func (t *teamState) withinRate(team resource.Team, listed int, now time.Time) bool {
	if team.RequestsPerSecond == 0 {
		t.rate = nil
		return true
	}
	even := 1 / float64(max(1, listed))
	held := float64(t.holder.leased(now)+Base(team.Concurrency, listed)) / float64(team.Concurrency)
	part := rate.Limit(team.RequestsPerSecond * min(1, max(even*basePart, held)))
	if t.rate == nil {
		t.rate = rate.NewLimiter(part, max(1, int(part)))
	}
	t.rate.SetLimitAt(now, part)
	t.rate.SetBurstAt(now, max(1, int(part)))
	return t.rate.AllowN(now, 1)
}

// requestShare requests a larger share from a team's grantor.
func (l *Limiter) requestShare(name string, t *teamState) {
	s := &l.shards[l.index(name)]
	s.mu.Lock()
	sent := clock.Now()
	request := TeamLeaseRequest{Team: name, LeaseRequest: t.holder.LeaseRequest(l.self, sent)}
	s.mu.Unlock()
	l.exchange([]TeamLeaseRequest{request}, sent)
	s.mu.Lock()
	defer s.mu.Unlock()
	close(t.pending)
	t.pending = nil
}

// exchange sends the lease requests to the teams' first grantors and, for those that do not
// answer, to the second ones. If neither answers, the leases expire and only the base shares
// remain.
func (l *Limiter) exchange(requests []TeamLeaseRequest, sent time.Time) {
	for choice := range 2 {
		byGrantor := make(map[vm.ID][]TeamLeaseRequest)
		for _, a := range requests {
			to := l.net.Grantors(a.Team)[choice]
			byGrantor[to] = append(byGrantor[to], a)
		}
		requests = nil
		for grantor, list := range byGrantor {
			if !l.call(grantor, list, sent) {
				requests = append(requests, list...)
			}
		}
	}
}

// call sends lease requests to one grantor, applies the granted leases and reports whether the
// grantor answered.
func (l *Limiter) call(grantor vm.ID, requests []TeamLeaseRequest, sent time.Time) bool {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	grants, err := l.net.RequestLeases(ctx, grantor, requests)
	if err != nil {
		return false
	}
	for _, g := range grants {
		s := &l.shards[l.index(g.Team)]
		s.mu.Lock()
		if t := s.teams[g.Team]; t != nil {
			t.holder.Granted(g.Grant, sent)
		}
		s.mu.Unlock()
	}
	return true
}

func (l *Limiter) release(name string) {
	s := &l.shards[l.index(name)]
	s.mu.Lock()
	defer s.mu.Unlock()
	s.teams[name].holder.Release()
}

// Run renews leases and drops the state of idle teams until the context ends.
func (l *Limiter) Run(ctx context.Context) {
	ticker := time.NewTicker(renewInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			l.workers.Wait()
			return
		case <-ticker.C:
			now := clock.Now()
			l.renew(now)
			l.forgetGrantors(now)
		}
	}
}

// renew requests all leases that are due, with one call per grantor.
func (l *Limiter) renew(now time.Time) {
	requests := make(map[vm.ID][]TeamLeaseRequest)
	for i := range l.shards {
		s := &l.shards[i]
		s.mu.Lock()
		for name, t := range s.teams {
			switch {
			case t.holder.Idle(now) && t.pending == nil:
				delete(s.teams, name)
			case t.holder.Due(now):
				to := l.net.Grantors(name)[0]
				requests[to] = append(requests[to], TeamLeaseRequest{Team: name, LeaseRequest: t.holder.LeaseRequest(l.self, now)})
			}
		}
		s.mu.Unlock()
	}
	for _, list := range requests {
		l.workers.Go(func() { l.exchange(list, now) })
	}
}

// Grant answers lease requests as the grantor of their teams.
func (l *Limiter) Grant(requests []TeamLeaseRequest) []TeamGrant {
	out := make([]TeamGrant, 0, len(requests))
	for _, a := range requests {
		team, ok := l.net.Team(a.Team)
		if !ok {
			continue
		}
		s := &l.grants[l.index(a.Team)]
		s.mu.Lock()
		now := clock.Now()
		g := s.grantors[a.Team]
		if g == nil {
			g = NewGrantor(now)
			s.grantors[a.Team] = g
		}
		grant := g.Handle(a.LeaseRequest, team.Concurrency, l.net.Fleet(a.Team), now)
		s.mu.Unlock()
		out = append(out, TeamGrant{Team: a.Team, Grant: grant})
	}
	return out
}

func (l *Limiter) forgetGrantors(now time.Time) {
	for i := range l.grants {
		s := &l.grants[i]
		s.mu.Lock()
		for name, g := range s.grantors {
			if g.Idle(now) {
				delete(s.grantors, name)
			}
		}
		s.mu.Unlock()
	}
}

// Teams returns the number of teams whose state is held in memory.
func (l *Limiter) Teams() int {
	n := 0
	for i := range l.shards {
		l.shards[i].mu.Lock()
		n += len(l.shards[i].teams)
		l.shards[i].mu.Unlock()
	}
	return n
}
