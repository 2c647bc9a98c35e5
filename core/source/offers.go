package source

import (
	"context"
	"maps"
	"slices"
	"time"

	"baywall.example/core/clock"
)

// State is what a follower knows of a prefix: all items, or the events after a position,
// and the entries that it knows in a newer version than the store lists since it was
// restored from an older copy.
type State struct {
	Items         map[string]Item // as listed by the store, nil = see Events; read-only
	Events        []Event
	After         Position // position that the events follow
	Position               // from which the next watch continues
	Changed       Position // position of the newest change
	Base          Position // position of the earliest known list of the term
	RetainedItems []Item   // replace what the store lists
	Gone          []Removal
	From          string // origin of the state, for logs
}

const (
	// passivePause is how often a passive follower checks whether its role has changed.
	passivePause = 200 * time.Millisecond
	// maxRecent bounds the events that are kept for others.
	maxRecent = 256
)

// LastAnswer returns when the store last answered, or the zero time if it never has. It is
// safe for concurrent use.
func (f *Follower) LastAnswer() time.Time {
	if lastAnswer := f.lastAnswer.Load(); lastAnswer != nil {
		return *lastAnswer
	}
	return time.Time{}
}

// Since returns what this follower knows beyond a position: the events if they are still
// kept, or else all items. Earlier removals are included with all items, or on request: a
// release of 70 backend servers adds 14 KB of them. It is safe for concurrent use.
func (f *Follower) Since(after Position, removals bool) State {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := f.latest
	if after.Revision == 0 || after.Term != s.Term || f.recentFrom.After(after) {
		return s
	}
	s.Items, s.After = nil, after
	if !removals {
		s.Gone = nil
	}
	for _, e := range f.recent {
		if e.Position.After(after) {
			s.Events = append(s.Events, e)
		}
	}
	return s
}

// Retained returns a digest that differs between followers that retain or suppress
// different entries; 0 means that there are none. It is safe for concurrent use.
func (f *Follower) Retained() uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.retainedDigest
}

// recordState records the present state for others, with the events that led to it; nil
// if it was received as a whole.
func (f *Follower) recordState(events []Event) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.latest = State{
		Items: f.view.listed, Position: f.view.at, Changed: f.view.changed, Base: f.view.base,
		RetainedItems: slices.Collect(maps.Values(f.view.retained)), Gone: slices.Collect(maps.Values(f.view.removals)),
	}
	f.retainedDigest = f.view.digest()
	if events == nil {
		f.recent, f.recentFrom = nil, f.view.at
		return
	}
	f.recent = append(f.recent, events...)
	f.recent = latestByKey(f.recent)
	if over := len(f.recent) - maxRecent; over > 0 {
		f.recentFrom = f.recent[over-1].Position
		f.recent = append([]Event(nil), f.recent[over:]...)
	}
}

// latestByKey returns the events without those that a later event for the same key
// replaces. Configurations that follow each other quickly are almost a megabyte each.
func latestByKey(events []Event) []Event {
	latest := make(map[string]Position, len(events))
	for _, e := range events {
		latest[e.Key] = later(latest[e.Key], e.Position)
	}
	return slices.DeleteFunc(slices.Clone(events), func(e Event) bool { return latest[e.Key].After(e.Position) })
}

// Offer passes on what another follower of the same store knows, for when this follower
// does not reach the store. It is safe for concurrent use.
func (f *Follower) Offer(s State) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.offers = append(f.offers, s)
	if f.cancel != nil {
		f.cancel()
	}
	select {
	case f.wakeUp() <- struct{}{}:
	default: // a wake-up is already pending
	}
}

// wakeUp returns the channel that ends a pause. The caller holds mu.
func (f *Follower) wakeUp() chan struct{} {
	if f.wake == nil {
		f.wake = make(chan struct{}, 1)
	}
	return f.wake
}

// pause waits until an offer arrives or the time is over.
func (f *Follower) pause(ctx context.Context, d time.Duration) {
	f.mu.Lock()
	wake := f.wakeUp()
	f.mu.Unlock()
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-wake:
	case <-timer.C:
	}
}

// adopt takes over offered states that are newer than the own.
func (f *Follower) adopt() {
	f.mu.Lock()
	offers := f.offers
	f.offers = nil
	f.mu.Unlock()
	for i := range offers {
		f.adoptOne(&offers[i])
	}
}

func (f *Follower) adoptOne(offer *State) {
	now := clock.Now()
	known, taken := f.view.at, 0
	newer := !f.view.known() || offer.Changed.After(f.view.changed) && !f.view.at.After(offer.Position)
	switch {
	case newer && offer.Items != nil:
		taken = len(offer.Items)
		f.adoptItems(offer, now)
	case newer && f.view.known() && offer.After.Term == f.view.at.Term && !offer.After.After(f.view.at):
		taken = f.adoptEvents(offer, now)
	}
	retained := offer.RetainedItems
	if offer.Term < f.view.at.Term {
		retained = append(slices.Collect(maps.Values(offer.Items)), retained...)
	}
	merged := f.view.merge(retained, offer.Gone, offer.Base, now)
	if taken == 0 && !merged {
		return
	}
	if offer.Items != nil || merged {
		f.recordState(nil)
	}
	f.from = offer.From
	f.deliver()
	f.Log.Info().Str("prefix", f.Prefix).Str("from", offer.From).Uint64("era", f.view.at.Term).Uint64("revision", f.view.at.Revision).
		Uint64("known_era", known.Term).Uint64("known", known.Revision).Int("taken", taken).Bool("events", offer.Items == nil).
		Int("kept", len(f.view.retained)).Strs("hidden", firstKeys(f.view.suppressed())).Msg("state taken from another follower")
}

func (f *Follower) adoptItems(offer *State, now time.Time) {
	restored := f.view.known() && offer.Term > f.view.at.Term
	f.view.replace(offer.Items, offer.Position, offer.Changed, offer.Base, now)
	f.relist = false
	if restored {
		f.noteRestore(now)
	}
}

// adoptEvents takes over the events that are new and returns their number.
func (f *Follower) adoptEvents(offer *State, now time.Time) int {
	var later []Event
	for _, e := range offer.Events {
		if e.Position.After(f.view.at) {
			later = append(later, e)
		}
	}
	changes := f.view.apply(later, offer.Position, now)
	f.relist = false                             // there is no gap: a watch can continue from here
	f.recordState(append([]Event{}, changes...)) // not nil: the state was not received as a whole
	return len(changes)
}

// maxLoggedKeys bounds the keys in one log line.
const maxLoggedKeys = 8

func firstKeys(keys []string) []string { return keys[:min(len(keys), maxLoggedKeys)] }
