package source

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"github.com/rs/zerolog"

	"baywall.example/core/clock"
)

const (
	// watchSlack is how much longer than the requested wait a watch may take: a slow
	// store answers in about 350 ms.
	watchSlack = time.Second
	// failingWait and failingSlack replace the wait and slack while the store does not
	// answer: a call that arrives during an outage gets no answer even if the store is
	// back a moment later. With a full wait, changes written after the recovery were
	// delayed by 1.7 s.
	failingWait  = 100 * time.Millisecond
	failingSlack = 500 * time.Millisecond
	// listTimeout bounds a list. The store answers in milliseconds, or in some seconds
	// when it is slow.
	listTimeout = 4 * time.Second
	// recoveryTime is how long live entries may still be missing after an outage: they
	// are back within about two seconds.
	recoveryTime = 2200 * time.Millisecond
	// outageGrace is how long an entry that goes missing after an outage is expected to
	// come back. An entry whose writer shut down at that moment looks the same, and has
	// to be gone two seconds later.
	outageGrace = 1500 * time.Millisecond
)

var (
	// errInterrupted means that a call was canceled by a nudge, an offer or the end of
	// the follower. It says nothing about the store.
	errInterrupted = errors.New("interrupted")
	// errRestored means that the store was restored from an older copy and a new term has
	// begun.
	errRestored = errors.New("the store was restored from an older copy")
	// errStale means an answer from an earlier term than the known one, or a list at an
	// earlier position. The answer was delayed, or the store has been replaced by
	// another.
	errStale = eris.Wrap(ErrUnavailable, "older answer")
	// errEmptyWatch means that a watch ended long before its wait was over and without
	// any event.
	errEmptyWatch = errors.New("a watch ended early without events")
)

// Update is the state of a prefix.
type Update struct {
	Items    map[string]Item // by key; the receiver does not change it
	Position                 // from which the next watch continues
	// Changed is the position of the newest known change.
	Changed Position
	// MissingGrace is how long a missing entry may still reappear because of an outage or a
	// restore of the store; 0 means that missing entries are gone.
	MissingGrace time.Duration
	// From names the follower that the state was taken from; empty means the store
	// itself.
	From string
}

// Follower keeps a prefix of a store up to date.
type Follower struct {
	Store  Store
	Prefix string
	Log    zerolog.Logger
	// Deliver receives each state. All calls come from one goroutine.
	Deliver func(Update)
	// Within is the time in which a change has to take effect. Default 2s.
	Within time.Duration
	// Role returns the follower's role and is called before each call to the store; nil
	// means that the follower leads. A passive follower relies on what others offer.
	Role func() Role
	// Others returns how many reachable others follow the same store; nil means none.
	Others func() int

	// Rules decide which version of an entry is newer after the store was restored from
	// an older copy.
	Rules Rules

	mu             sync.Mutex
	cancel         context.CancelFunc // cancels the call in progress
	callWait       time.Duration      // wait of that call, 0 = it does not wait
	nudged         Position           // position of the latest nudge
	offers         []State            // from other followers, not yet processed
	wake           chan struct{}      // ends a pause when an offer arrives
	latest         State
	retainedDigest uint64 // digest of retained and suppressed entries, 0 = none

	view         view
	relist       bool      // the watch history is lost
	notBefore    time.Time // earliest time of the next call
	failingSince time.Time // start of the current outage, zero = none
	failures     int
	noProgress   int       // consecutive answers without progress
	recoveredAt  time.Time // when the latest outage ended
	missingGrace time.Duration
	from         string // origin of the state, empty = the store

	lastEvent time.Time // arrival of the latest events
	inBurst   bool      // they came soon after the previous ones

	recent      []Event                   // guarded by mu, newest last
	recentFrom  Position                  // guarded by mu, position before the events in recent
	lastAnswer  atomic.Pointer[time.Time] // time of the store's last answer
	unavailable atomic.Bool               // the store did not answer the latest call
}

// Run follows until the context ends.
func (f *Follower) Run(ctx context.Context) {
	f.view.rules = f.Rules
	for ctx.Err() == nil {
		f.adopt()
		f.releaseSuppressed(clock.Now())
		if callDelay := f.callDelay(clock.Now()); callDelay > 0 {
			f.pause(ctx, callDelay)
			continue
		}
		err := f.callStore(ctx)
		if ctx.Err() == nil {
			now := clock.Now()
			f.notBefore = now.Add(f.pauseAfter(err, now))
		}
	}
}

// callDelay returns how long to wait before the next call to the store, 0 = call now.
func (f *Follower) callDelay(now time.Time) time.Duration {
	if f.role() == RolePassive {
		f.view.noteAnswer(now, false) // a passive role implies that others got a recent answer
		return passivePause
	}
	return f.notBefore.Sub(now)
}

// pauseAfter records how a call ended and returns the pause before the next one.
func (f *Follower) pauseAfter(err error, now time.Time) time.Duration {
	switch {
	case err == nil:
		if f.inBurst {
			f.inBurst = false
			return fraction(burstFraction, f.Within) // more events are likely to follow
		}
		return callGap
	case errors.Is(err, errInterrupted):
		return callGap
	case errors.Is(err, ErrHistoryLost), errors.Is(err, errRestored):
		f.noProgress++
		f.relist = true
		f.recoveredAt, f.missingGrace = now, outageGrace
		f.Log.Warn().Err(err).Str("prefix", f.Prefix).Uint64("era", f.view.at.Term).Uint64("revision", f.view.at.Revision).
			Int("in_a_row", f.noProgress).Msg("watch history lost, listing again")
		return relistPause(f.noProgress, f.role())
	case errors.Is(err, ErrBacklog):
		f.noProgress++
		f.relist = true
		f.Log.Warn().Err(err).Str("prefix", f.Prefix).Uint64("era", f.view.at.Term).Uint64("revision", f.view.at.Revision).
			Int("in_a_row", f.noProgress).Msg("too many events for a watch, listing")
		return relistPause(f.noProgress, f.role())
	case errors.Is(err, errEmptyWatch):
		f.noProgress++
		if f.noProgress == 1 {
			f.Log.Warn().Err(err).Str("prefix", f.Prefix).Uint64("revision", f.view.at.Revision).Msg("odd answer of the store")
		}
		return backoff(f.noProgress)
	default:
		return f.failed(err, now)
	}
}

func (f *Follower) role() Role {
	if f.Role == nil {
		return RoleLead
	}
	return f.Role()
}

func (f *Follower) callStore(ctx context.Context) error {
	if !f.view.known() || f.relist {
		return f.list(ctx)
	}
	return f.watch(ctx)
}

func (f *Follower) watch(ctx context.Context) error {
	began := clock.Now()
	period := WatchWait(f.role(), f.others(), f.Within)
	if suppressedUntil := f.view.suppressedUntil(); !suppressedUntil.IsZero() {
		period = max(callGap, min(period, suppressedUntil.Sub(began)))
	}
	slack := watchSlack
	if !f.failingSince.IsZero() {
		period, slack = min(period, failingWait), failingSlack
	}
	ctx, cancel := context.WithTimeout(ctx, period+slack)
	defer cancel()
	f.trackCall(cancel, period)
	events, at, err := f.Store.Watch(ctx, f.Prefix, f.view.at, period)
	f.trackCall(nil, 0)
	if errors.Is(ctx.Err(), context.Canceled) {
		return errInterrupted
	}
	if err != nil {
		return err
	}
	if err := f.checkTerm(at); err != nil {
		return err
	}
	now := clock.Now()
	f.succeeded(now)
	if len(events) > 0 {
		return f.applyEvents(events, at, now)
	}
	f.view.at = later(f.view.at, at)
	if now.Sub(began) < period/earlyDivisor {
		return errEmptyWatch
	}
	f.noProgress = 0
	return nil
}

// earlyDivisor divides the wait of a watch: a watch that ends without events before that
// part of its wait did not wait as asked.
const earlyDivisor = 2

func (f *Follower) applyEvents(events []Event, at Position, now time.Time) error {
	changes := f.view.apply(events, at, now)
	if len(changes) == 0 {
		return errEmptyWatch
	}
	f.from, f.noProgress = "", 0
	f.inBurst = !f.lastEvent.IsZero() && now.Sub(f.lastEvent) < burstGap
	f.lastEvent = now
	f.recordState(changes)
	f.deliver()
	return nil
}

// checkTerm returns an error unless an answer belongs to the known term.
func (f *Follower) checkTerm(at Position) error {
	switch known := f.view.at.Term; {
	case !f.view.known() || at.Term == known:
		return nil
	case at.Term > known:
		return errRestored
	default:
		return eris.Wrapf(errStale, "of term %d, known: %d", at.Term, known)
	}
}

func (f *Follower) others() int {
	if f.Others == nil {
		return 0
	}
	return f.Others()
}

func (f *Follower) trackCall(cancel context.CancelFunc, wait time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.cancel, f.callWait = cancel, wait
}

// Recheck cancels a waiting watch whose wait has become too long: it began when many
// others followed too, or when another follower led, and that has changed, so the others
// no longer make up for the long wait. It is safe for concurrent use.
func (f *Follower) Recheck() {
	f.mu.Lock()
	waits := f.cancel != nil && f.callWait > 0
	f.mu.Unlock()
	if !waits {
		return
	}
	longest := maxWatchWait(f.role(), f.others(), f.Within)
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.cancel != nil && f.callWait > 2*longest {
		f.Log.Info().Str("prefix", f.Prefix).Dur("wait", f.callWait).Dur("longest", longest).
			Msg("fewer other followers, restarting the watch with a shorter wait")
		f.callWait = 0
		f.cancel()
	}
}

// Nudge reports that somebody else knows of a change at the position. If the waiting
// watch has not delivered it, the watch is restarted, once per position. It is safe for
// concurrent use.
func (f *Follower) Nudge(at Position) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !at.After(f.nudged) || f.cancel == nil || f.callWait == 0 {
		return
	}
	f.nudged = at
	f.Log.Info().Str("prefix", f.Prefix).Uint64("era", at.Term).Uint64("revision", at.Revision).
		Msg("another follower knows a newer change, restarting the watch")
	f.cancel()
}

func (f *Follower) list(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	f.trackCall(cancel, 0)
	items, at, err := f.Store.List(ctx, f.Prefix, Current)
	f.trackCall(nil, 0)
	if errors.Is(ctx.Err(), context.Canceled) {
		return errInterrupted
	}
	if err != nil {
		return err
	}
	if f.view.at.After(at) {
		return eris.Wrapf(errStale, "list at %d.%d, known: %d.%d", at.Term, at.Revision, f.view.at.Term, f.view.at.Revision)
	}
	now := clock.Now()
	f.succeeded(now)
	restored := f.view.known() && at.Term > f.view.at.Term
	f.view.list(items, at, now)
	f.relist, f.from = false, ""
	if restored {
		f.noteRestore(now)
	}
	f.recordState(nil)
	f.deliver()
	return nil
}

// noteRestore records that the store has begun a new term.
func (f *Follower) noteRestore(now time.Time) {
	f.recoveredAt, f.missingGrace = now, recoveryTime
	for key, k := range f.view.retained {
		f.Log.Info().Str("prefix", f.Prefix).Str("key", key).Uint64("era", k.Term).Uint64("revision", k.Revision).
			Msg("entry kept from before the store's return")
	}
	f.Log.Warn().Str("prefix", f.Prefix).Uint64("era", f.view.at.Term).Uint64("revision", f.view.at.Revision).
		Int("items", len(f.view.listed)).Int("kept", len(f.view.retained)).Strs("hidden", firstKeys(f.view.suppressed())).
		Msg("store is back from an older copy")
}

// releaseSuppressed delivers the state again once suppressed entries are to be shown.
func (f *Follower) releaseSuppressed(now time.Time) {
	f.mu.Lock()
	retainedDigest := f.retainedDigest
	f.mu.Unlock()
	if retainedDigest == 0 || f.view.digest() == retainedDigest {
		return
	}
	f.view.prune(now)
	f.recordState(nil)
	f.deliver()
}

func (f *Follower) deliver() {
	now := clock.Now()
	u := Update{Items: f.view.items(), Position: f.view.at, Changed: f.view.changed, From: f.from}
	if !f.recoveredAt.IsZero() && now.Sub(f.recoveredAt) < recoveryTime {
		u.MissingGrace = f.missingGrace
	}
	f.Deliver(u)
}

// Failing reports whether the store does not answer this follower. It is safe for
// concurrent use.
func (f *Follower) Failing() bool { return f.unavailable.Load() }

func (f *Follower) succeeded(now time.Time) {
	f.lastAnswer.Store(&now)
	f.unavailable.Store(false)
	f.view.noteAnswer(now, !f.failingSince.IsZero())
	if f.failingSince.IsZero() {
		return
	}
	f.Log.Info().Str("prefix", f.Prefix).Dur("outage", now.Sub(f.failingSince)).Int("failures", f.failures).Msg("store regained")
	f.failingSince, f.failures = time.Time{}, 0
	f.recoveredAt, f.missingGrace = now, outageGrace
}

// failed records a failed call and returns the pause before the next one.
func (f *Follower) failed(err error, now time.Time) time.Duration {
	if f.failingSince.IsZero() {
		f.failingSince = now
		f.Log.Warn().Err(err).Str("prefix", f.Prefix).Uint64("era", f.view.at.Term).Uint64("revision", f.view.at.Revision).Msg("store lost")
	}
	f.failures++
	f.unavailable.Store(true)
	if f.view.known() && f.role() == RoleStandIn {
		return standInPause()
	}
	return backoff(f.failures)
}
