package retry

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/rs/zerolog"
)

// unansweredWait is how long a grantor is not asked after it did not answer.
const unansweredWait = 250 * time.Millisecond

// Limit bounds the retries of one service over all processes together: in any window, the
// retries are at most Ratio times the requests plus Slack.
type Limit struct {
	Ratio  float64
	Slack  float64
	Window time.Duration
}

// Fleet is what Budgets need from their process. The ids of processes are of its choice.
type Fleet interface {
	// Grantors returns the ids of the processes that grant retries, in any order. The result
	// does not depend on which of them run or are reached. It is empty if they are unknown.
	Grantors() []string
	// ReachableGrantors returns the ids of those that this process reaches, other than
	// itself, in the order in which to ask them.
	ReachableGrantors() []string
	// RequestRetry requests one retry of a service from a grantor.
	RequestRetry(ctx context.Context, grantor, service string) (Grant, error)
}

// State is the state on which a Budget bases its decisions.
type State struct {
	Requests int     // own requests in the window
	Retries  int     // own retries in the window
	Earned   float64 // retries earned and left
	Grantors int     // processes that grant retries
	// Open is the number of other grantors that are reached and may grant a retry now.
	Open    int
	Granted int     // retries that this process granted lately
	Part    float64 // retries that this process may grant in any window, 0 if none now
}

// Left reports whether a retry is left, as far as the process knows.
func (s State) Left() bool {
	return s.Earned >= wholeRetry || float64(s.Granted)+1 <= s.Part || s.Open > 0
}

// Budgets holds the retry budgets of all services at one process. It is safe for concurrent
// use.
type Budgets struct {
	self  string
	limit Limit
	fleet Fleet
	log   zerolog.Logger
	now   func() time.Time
	// onNew is called with each new budget. It may be nil.
	onNew func(*Budget)

	mu       sync.Mutex
	budgets  map[string]*Budget // by service
	grantors []string           // sorted, as of the latest look
	since    time.Time          // since when this process runs with this list
}

// NewBudgets returns the budgets of the process with the given id. The onNew function, which
// may be nil, is called with the budget of each further service.
func NewBudgets(self string, l Limit, fleet Fleet, log zerolog.Logger, now func() time.Time, onNew func(*Budget)) *Budgets {
	b := &Budgets{self: self, limit: l, fleet: fleet, log: log, now: now, onNew: onNew, budgets: make(map[string]*Budget)}
	b.Refresh()
	return b
}

// Of returns the budget of a service.
func (b *Budgets) Of(service string) *Budget {
	b.mu.Lock()
	defer b.mu.Unlock()
	if s := b.budgets[service]; s != nil {
		return s
	}
	now := b.now()
	s := &Budget{
		Service: service, all: b, earned: NewEarned(b.limit, now), grantor: NewGrantor(b.limit, now),
		requests: newRing(windowIntervals, b.limit.Window/windowIntervals, now),
		retries:  newRing(windowIntervals, b.limit.Window/windowIntervals, now),
		askAgain: make(map[string]time.Time),
	}
	b.budgets[service] = s
	if b.onNew != nil {
		b.onNew(s)
	}
	return s
}

// Grant answers another process's request for one retry of a service.
func (b *Budgets) Grant(service string) Grant { return b.Of(service).grant() }

// Refresh looks whether the list of grantors has changed. It must be called more often than
// once in a window.
func (b *Budgets) Refresh() {
	list := slices.Compact(slices.Sorted(slices.Values(b.fleet.Grantors())))
	now := b.now()
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.since.IsZero() && slices.Equal(list, b.grantors) {
		return
	}
	b.log.Info().Strs("grantors", list).Strs("before", b.grantors).Bool("own", slices.Contains(list, b.self)).
		Dur("grants_after", b.limit.Window+grantLifetime).Msg("grantors of retries changed")
	b.grantors, b.since = list, now
}

// size returns the number of grantors.
func (b *Budgets) size() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.grantors)
}

// ownPart returns the number of retries of a service that this process may grant in any
// window, and the time until it may grant any.
func (b *Budgets) ownPart() (part float64, wait time.Duration) {
	b.Refresh()
	b.mu.Lock()
	defer b.mu.Unlock()
	if !slices.Contains(b.grantors, b.self) {
		return 0, notGrantorWait
	}
	// Retries that were granted before, by this process's predecessor or by earlier grantors,
	// may still be used.
	if wait := b.since.Add(b.limit.Window + grantLifetime).Sub(b.now()); wait > 0 {
		return 0, wait
	}
	return usedShare * b.limit.Slack / float64(len(b.grantors)), 0
}

// Budget bounds the retries of one service at one process. It is safe for concurrent use.
type Budget struct {
	// Service is the name of the service.
	Service string

	all *Budgets

	mu       sync.Mutex
	earned   *Earned
	grantor  *Grantor
	requests ring
	retries  ring
	askAgain map[string]time.Time // when other grantors may be asked again, by id
}

// Request counts a request, which earns a fraction of a retry.
func (b *Budget) Request() {
	now := b.all.now()
	b.mu.Lock()
	defer b.mu.Unlock()
	b.earned.Request(now)
	b.requests.add(1, now)
}

// Has reports whether a retry is left, as far as this process knows.
func (b *Budget) Has() bool { return b.State().Left() }

// Source tells where a retry came from.
type Source string

// Sources of retries. The source of a retry that another process granted is its id.
const (
	SourceNone   Source = ""       // there was none
	SourceEarned Source = "earned" // earned by this process's requests
	SourceOwn    Source = "own"    // granted by this process itself
)

// TakeEarned consumes a retry that this process's requests earned. It reports false if there
// is none.
func (b *Budget) TakeEarned() bool {
	now := b.all.now()
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.earned.Take(now) {
		return false
	}
	b.retries.add(1, now)
	return true
}

// Take consumes one retry, which must be sent at once. If necessary it requests it from the
// grantors, for at most grantLifetime. It returns SourceNone if there is none.
func (b *Budget) Take(ctx context.Context) Source {
	if b.TakeEarned() {
		return SourceEarned
	}
	if b.grant().Granted {
		return b.count(SourceOwn)
	}
	// The exchange goes on if the caller leaves: the answer tells when to ask again.
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), grantLifetime)
	defer cancel()
	for _, id := range b.openGrantors() {
		if b.request(ctx, id) {
			return b.count(Source(id))
		}
		if ctx.Err() != nil {
			break
		}
	}
	return SourceNone
}

func (b *Budget) count(s Source) Source {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.retries.add(1, b.all.now())
	return s
}

// request requests one retry from another process and reports whether there is one that is
// still valid.
func (b *Budget) request(ctx context.Context, grantor string) bool {
	asked := b.all.now()
	grant, err := b.all.fleet.RequestRetry(ctx, grantor, b.Service)
	now := b.all.now()
	if err != nil {
		grant = Grant{Wait: unansweredWait}
		b.all.log.Info().Err(err).Str("grantor", grantor).Str("service", b.Service).Dur("after", now.Sub(asked)).Msg("retry not granted in time")
	}
	if grant.Granted {
		return now.Sub(asked) <= grantLifetime // the process may have been paused
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.askAgain[grantor] = now.Add(min(grant.Wait, b.all.limit.Window))
	return false
}

// openGrantors returns the other grantors that may be asked now.
func (b *Budget) openGrantors() []string {
	reachable := b.all.fleet.ReachableGrantors()
	now := b.all.now()
	b.mu.Lock()
	defer b.mu.Unlock()
	return slices.DeleteFunc(reachable, func(id string) bool { return now.Before(b.askAgain[id]) })
}

// grant grants one retry from this process's own part.
func (b *Budget) grant() Grant {
	part, wait := b.all.ownPart()
	if wait > 0 {
		return Grant{Wait: wait}
	}
	now := b.all.now()
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.grantor.Handle(part, now)
}

// State returns the current state.
func (b *Budget) State() State {
	part, _ := b.all.ownPart()
	open, grantors := len(b.openGrantors()), b.all.size()
	now := b.all.now()
	b.mu.Lock()
	defer b.mu.Unlock()
	return State{
		Requests: int(b.requests.sum(now)), Retries: int(b.retries.sum(now)), Earned: b.earned.Left(now),
		Grantors: grantors, Open: open, Granted: int(b.grantor.Granted(now)), Part: part,
	}
}
