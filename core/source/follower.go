package source

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/rs/zerolog"
)

const (
	// watchWait is how long one watch waits for events: a call in ten seconds
	// is cheap, and a connection that hangs is found by its keep-alive probes.
	watchWait = 10 * time.Second
	// watchSlack is how much longer than the wait an answer may take.
	watchSlack = 2 * time.Second
	// listTimeout bounds a list; the store answers in milliseconds, in some
	// seconds when it is slow.
	listTimeout = 4 * time.Second
	// firstPause and longestPause bound the jittered, doubling pause between
	// failed calls: a store that is back is noticed within half a second.
	firstPause   = 60 * time.Millisecond
	longestPause = 450 * time.Millisecond
	// recoveryTime is how long after an outage live entries may still be
	// missing: they are back within about two seconds.
	recoveryTime = 2200 * time.Millisecond
)

// Update is the state of a prefix.
type Update struct {
	Items    map[string]Item // by key; the receiver does not change it
	Revision uint64
	// Recovering is set for a while after the store was away.
	Recovering bool
}

// Follower keeps a prefix of a store up to date.
type Follower struct {
	Store  Store
	Prefix string
	Log    zerolog.Logger
	// Deliver takes each state. It is called from one goroutine.
	Deliver func(Update)

	items    map[string]Item
	revision uint64
	listed   bool
	failing  time.Time // since when, zero = not
	failures int
	regained time.Time // when the latest outage ended
}

// Run follows until the context ends.
func (f *Follower) Run(ctx context.Context) {
	for ctx.Err() == nil {
		err := f.next(ctx)
		now := time.Now()
		if err == nil {
			f.succeeded(now)
			continue
		}
		if ctx.Err() != nil {
			return
		}
		if errors.Is(err, ErrHistoryLost) {
			f.Log.Warn().Str("prefix", f.Prefix).Uint64("revision", f.revision).Msg("watch history lost, listing again")
			f.listed = false
			f.regained = now
			continue
		}
		f.pause(ctx, f.failed(err, now))
	}
}

func (f *Follower) next(ctx context.Context) error {
	if !f.listed {
		return f.list(ctx)
	}
	ctx, cancel := context.WithTimeout(ctx, watchWait+watchSlack)
	defer cancel()
	events, revision, err := f.Store.Watch(ctx, f.Prefix, f.revision, watchWait)
	if err != nil {
		return err
	}
	f.succeeded(time.Now())
	f.apply(events, revision)
	return nil
}

func (f *Follower) list(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	items, revision, err := f.Store.List(ctx, f.Prefix, Current)
	if err != nil {
		return err
	}
	f.succeeded(time.Now())
	if revision < f.revision {
		f.Log.Warn().Str("prefix", f.Prefix).Uint64("revision", revision).Uint64("known", f.revision).Msg("older list ignored")
		return nil
	}
	f.items = make(map[string]Item, len(items))
	for _, item := range items {
		f.items[item.Key] = item
	}
	f.revision, f.listed = revision, true
	f.deliver()
	return nil
}

func (f *Follower) apply(events []Event, revision uint64) {
	f.revision = max(f.revision, revision)
	if len(events) == 0 {
		return
	}
	next := make(map[string]Item, len(f.items)+len(events))
	for key, item := range f.items {
		next[key] = item
	}
	for _, e := range events {
		if e.Removed {
			delete(next, e.Key)
			continue
		}
		next[e.Key] = e.Item
	}
	f.items = next
	f.deliver()
}

func (f *Follower) deliver() {
	recovering := !f.regained.IsZero() && time.Since(f.regained) < recoveryTime
	f.Deliver(Update{Items: f.items, Revision: f.revision, Recovering: recovering})
}

func (f *Follower) succeeded(now time.Time) {
	if f.failing.IsZero() {
		return
	}
	f.Log.Info().Str("prefix", f.Prefix).Dur("outage", now.Sub(f.failing)).Int("failures", f.failures).Msg("store regained")
	f.failing, f.failures, f.regained = time.Time{}, 0, now
}

// failed notes a failed call and returns the pause before the next.
func (f *Follower) failed(err error, now time.Time) time.Duration {
	if f.failing.IsZero() {
		f.failing = now
		f.Log.Warn().Err(err).Str("prefix", f.Prefix).Uint64("revision", f.revision).Msg("store lost")
	}
	limit := min(longestPause, firstPause<<min(f.failures, 4))
	f.failures++
	return limit/2 + rand.N(limit/2)
}

func (f *Follower) pause(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
