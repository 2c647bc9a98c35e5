package source

import (
	"context"
	"maps"
	"slices"
	"time"

	"baywall.example/core/clock"
)

// State is what a follower knows of a prefix: all items, or the events after a position;
// and what it knows better than the store since that is back from an older copy.
type State struct {
	Items    map[string]Item // as the store lists them, nil = there are events; nobody changes it
	Events   []Event
	After    Position // of the events
	Position          // a watch goes on from here
	Changed  Position // of the newest change
	Base     Position // earliest known list of the era
	Kept     []Item   // in place of what the store lists
	Gone     []Removal
	From     string // whose state it is, for logs
}

const (
	// restPause is how often a resting follower looks whether it has to follow itself.
	restPause = 200 * time.Millisecond
	// mostRecent bounds the events that are kept for others.
	mostRecent = 256
)

// Heard returns when the store last answered; the zero time if it never has. It is
// safe for concurrent use.
func (f *Follower) Heard() time.Time {
	if heard := f.heard.Load(); heard != nil {
		return *heard
	}
	return time.Time{}
}

// Since returns what this follower knows beyond a position: the events if they are
// still kept, or else all items. Removals of before come with all items, or if asked for: a
// release of 70 backend servers is 14 KB of them. It is safe for concurrent use.
func (f *Follower) Since(after Position, removals bool) State {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := f.latest
	if after.Revision == 0 || after.Era != s.Era || f.recentFrom.After(after) {
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

// Retained tells followers that keep different entries in place of what the store lists
// from each other; 0 = none are kept. It is safe for concurrent use.
func (f *Follower) Retained() uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.retained
}

// keep notes the present state for others, with the events that led to it; nil if it came as
// a whole.
func (f *Follower) keep(events []Event) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.latest = State{
		Items: f.view.listed, Position: f.view.at, Changed: f.view.changed, Base: f.view.base,
		Kept: slices.Collect(maps.Values(f.view.kept)), Gone: slices.Collect(maps.Values(f.view.gone)),
	}
	f.retained = f.view.digest()
	if events == nil {
		f.recent, f.recentFrom = nil, f.view.at
		return
	}
	f.recent = append(f.recent, events...)
	f.recent = latestByKey(f.recent)
	if over := len(f.recent) - mostRecent; over > 0 {
		f.recentFrom = f.recent[over-1].Position
		f.recent = append([]Event(nil), f.recent[over:]...)
	}
}

// latestByKey returns the events without those that a later one of the same key
// replaces. Configurations that come in quick succession are most of a megabyte each.
func latestByKey(events []Event) []Event {
	latest := make(map[string]Position, len(events))
	for _, e := range events {
		latest[e.Key] = later(latest[e.Key], e.Position)
	}
	return slices.DeleteFunc(slices.Clone(events), func(e Event) bool { return latest[e.Key].After(e.Position) })
}

// Offer hands over what another follower of the same store knows, for when this
// one does not reach the store. It is safe for concurrent use.
func (f *Follower) Offer(s State) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.offers = append(f.offers, s)
	if f.cancel != nil {
		f.cancel()
	}
	select {
	case f.wakeUp() <- struct{}{}:
	default: // it is about to look
	}
}

// wakeUp returns the channel that ends a pause, under mu.
func (f *Follower) wakeUp() chan struct{} {
	if f.wake == nil {
		f.wake = make(chan struct{}, 1)
	}
	return f.wake
}

// pause waits until the follower is offered something or the time is over.
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

// adopt takes over what was offered and is news.
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
	known, took := f.view.at, 0
	newer := !f.view.known() || offer.Changed.After(f.view.changed) && !f.view.at.After(offer.Position)
	switch {
	case newer && offer.Items != nil:
		took = len(offer.Items)
		f.adoptItems(offer, now)
	case newer && f.view.known() && offer.After.Era == f.view.at.Era && !offer.After.After(f.view.at):
		took = f.adoptEvents(offer, now)
	}
	kept := offer.Kept
	if offer.Era < f.view.at.Era {
		kept = append(slices.Collect(maps.Values(offer.Items)), kept...)
	}
	absorbed := f.view.absorb(kept, offer.Gone, offer.Base, now)
	if took == 0 && !absorbed {
		return
	}
	if offer.Items != nil || absorbed {
		f.keep(nil)
	}
	f.from = offer.From
	f.deliver()
	f.Log.Info().Str("prefix", f.Prefix).Str("from", offer.From).Uint64("era", f.view.at.Era).Uint64("revision", f.view.at.Revision).
		Uint64("known_era", known.Era).Uint64("known", known.Revision).Int("taken", took).Bool("events", offer.Items == nil).
		Int("kept", len(f.view.kept)).Strs("hidden", bounded(f.view.hidden())).Msg("state taken from another follower")
}

func (f *Follower) adoptItems(offer *State, now time.Time) {
	returned := f.view.known() && offer.Era > f.view.at.Era
	f.view.replace(offer.Items, offer.Position, offer.Changed, offer.Base, now)
	f.relist = false
	if returned {
		f.noteReturn(now)
	}
}

// adoptEvents takes over the events that are news and returns their number.
func (f *Follower) adoptEvents(offer *State, now time.Time) int {
	var later []Event
	for _, e := range offer.Events {
		if e.Position.After(f.view.at) {
			later = append(later, e)
		}
	}
	news := f.view.apply(later, offer.Position, now)
	f.relist = false                   // the events of between are known: a watch can go on from here
	f.keep(append([]Event{}, news...)) // not nil: the state did not come as a whole
	return len(news)
}

// mostNamed bounds the keys that one log line names.
const mostNamed = 8

func bounded(keys []string) []string { return keys[:min(len(keys), mostNamed)] }
