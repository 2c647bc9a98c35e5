package source

import (
	"context"
	"slices"
	"time"
)

// State is what a follower knows of a prefix: all items, or the events after a
// revision.
type State struct {
	Items    map[string]Item // by key, nil = there are events; nobody changes it
	Events   []Event
	After    uint64 // of the events
	Revision uint64 // a watch goes on from here
	Changed  uint64 // revision of the newest change
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

// Since returns what this follower knows beyond a revision: the events if they are
// still kept, or else all items. It is safe for concurrent use.
func (f *Follower) Since(after uint64) State {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := f.latest
	if after == 0 || after < f.recentFrom {
		return s
	}
	s.Items, s.After = nil, after
	for _, e := range f.recent {
		if e.Revision > after {
			s.Events = append(s.Events, e)
		}
	}
	return s
}

// keep keeps events for others. Without any, the state came as a whole.
func (f *Follower) keep(events []Event) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.latest = State{Items: f.items, Revision: f.revision, Changed: f.changed}
	if events == nil {
		f.recent, f.recentFrom = nil, f.revision
		return
	}
	f.recent = append(f.recent, events...)
	f.recent = latestByKey(f.recent)
	if over := len(f.recent) - mostRecent; over > 0 {
		f.recentFrom = f.recent[over-1].Revision
		f.recent = append([]Event(nil), f.recent[over:]...)
	}
}

// latestByKey returns the events without those that a later one of the same key
// replaces. Configurations that come in quick succession are most of a megabyte each.
func latestByKey(events []Event) []Event {
	latest := make(map[string]uint64, len(events))
	for _, e := range events {
		latest[e.Key] = max(latest[e.Key], e.Revision)
	}
	return slices.DeleteFunc(slices.Clone(events), func(e Event) bool { return e.Revision < latest[e.Key] })
}

// Offer hands over what another follower of the same store knows, for when this
// one does not reach the store. It is safe for concurrent use.
func (f *Follower) Offer(s State) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.offer = &s
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

// adopt takes over an offered state that is newer than the own.
func (f *Follower) adopt() {
	f.mu.Lock()
	offer := f.offer
	f.offer = nil
	f.mu.Unlock()
	if offer == nil || f.listed && offer.Changed <= f.changed || offer.Revision < f.revision {
		return
	}
	if offer.Items == nil {
		f.adoptEvents(offer)
		return
	}
	f.Log.Info().Str("prefix", f.Prefix).Uint64("revision", offer.Revision).Uint64("known", f.revision).
		Int("items", len(offer.Items)).Msg("state taken from another follower")
	f.items, f.revision, f.changed, f.listed = offer.Items, offer.Revision, offer.Changed, true
	f.keep(nil)
	f.deliver()
}

// adoptEvents takes over the events that are news.
func (f *Follower) adoptEvents(offer *State) {
	if !f.listed || offer.After > f.revision {
		return // what was between is not known
	}
	known := f.revision
	var news []Event
	for _, e := range offer.Events {
		if e.Revision > known {
			news = append(news, e)
		}
	}
	f.apply(news, offer.Revision)
	f.Log.Info().Str("prefix", f.Prefix).Uint64("revision", f.revision).Uint64("known", known).
		Int("events", len(news)).Msg("events taken from another follower")
}
