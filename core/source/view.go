package source

import (
	"encoding/binary"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Rules decide which of two versions of an entry was written later, where one is known
// from before the store was restored from an older copy and the other has been listed
// since. Positions cannot decide it: the copy's values are older but have the higher
// term.
type Rules struct {
	// Outdated reports whether the listed value was written before the known one. nil
	// means never.
	Outdated func(known, listed Item) bool
	// Lasting reports whether an entry stays although the copy does not list it. nil
	// means that none does.
	Lasting func(key string) bool
	// Permanent reports whether a lasting entry stays even after its removal. nil means
	// that none does.
	Permanent func(key string) bool
	// Leaving reports whether a value says that its writer is shutting down, so that the
	// writer will not write another value. nil means that none does.
	Leaving func(Item) bool
	// Lease is how long after a restore the store may list an entry whose writer has
	// ended. After that the store has removed the entry, or somebody has written it
	// again.
	Lease time.Duration
}

func (r Rules) outdated(known, listed Item) bool {
	return r.Outdated != nil && r.Outdated(known, listed)
}

func (r Rules) lasting(key string) bool { return r.Lasting != nil && r.Lasting(key) }

func (r Rules) permanent(key string) bool { return r.Permanent != nil && r.Permanent(key) }

const (
	// removalTTL is how long a removed entry is remembered: a copy is some seconds old,
	// and the store may be down for minutes before it is restored from it.
	removalTTL = 5 * time.Minute
	// maxRemovals bounds the removed entries that are remembered.
	maxRemovals = 1024
)

// Removal is an entry that no longer exists: its last known value, and the position of
// its removal.
type Removal struct {
	Item
	At time.Time // when this process, or the one that reported it, learned of the removal
	// Missing means that no removal is known: a copy did not list the entry, and its
	// writer may write it again. Then only older values count as outdated.
	Missing bool
}

// view is what is known of a store's entries: what the store lists in its present term,
// and newer versions known from before. It does no input or output; times are passed in.
type view struct {
	rules          Rules
	at             Position           // from which the next watch continues
	changed        Position           // position of the newest known change
	base           Position           // position of the earliest known list of the present term
	answeringSince time.Time          // start of uninterrupted answers in this term
	lastAnswer     time.Time          // time of the store's latest answer
	listed         map[string]Item    // listed by the store; never changed in place
	retained       map[string]Item    // newer versions that replace listed ones
	removals       map[string]Removal // recent removals
}

// known reports whether there is any state.
func (v *view) known() bool { return v.listed != nil }

// list takes over a complete list.
func (v *view) list(items []Item, at Position, now time.Time) {
	next := make(map[string]Item, len(items))
	for _, i := range items {
		next[i.Key] = i
	}
	v.replace(next, at, at, at, now)
}

// replace takes over all entries, of the same term or a later one.
func (v *view) replace(listed map[string]Item, at, changed, base Position, now time.Time) {
	before, known := v.listed, v.items()
	restored := v.known() && at.Term > v.at.Term
	if restored || !v.known() {
		v.base, v.answeringSince, v.lastAnswer = base, now, now
	}
	v.at, v.changed, v.listed = at, changed, listed
	if restored {
		for _, i := range known {
			v.retain(i)
			v.noteMissing(i, now)
		}
	} else {
		v.noteRemoved(before, now)
	}
	v.prune(now)
}

// noteMissing records a known entry that the copy does not list: the store may be
// restored once more, from a copy that lists an older value. An entry whose writer was
// shutting down counts as removed.
func (v *view) noteMissing(i Item, now time.Time) {
	if _, listed := v.listed[i.Key]; listed || v.rules.lasting(i.Key) {
		return
	}
	i.Position = v.at
	v.remove(Removal{Item: i, At: now, Missing: v.rules.Leaving == nil || !v.rules.Leaving(i)})
}

// noteRemoved records the entries that are no longer listed.
func (v *view) noteRemoved(before map[string]Item, now time.Time) {
	for key, i := range before {
		if _, ok := v.listed[key]; !ok {
			i.Position = v.at
			v.remove(Removal{Item: i, At: now})
		}
	}
}

// apply takes over events up to a position and returns those that changed anything,
// removals with the last value of the entry. Events older than the listed entry are
// skipped: the pages of a list are not one snapshot.
func (v *view) apply(events []Event, at Position, now time.Time) []Event {
	next := maps.Clone(v.listed)
	var changes []Event
	for _, e := range events {
		old, ok := next[e.Key]
		if ok && !e.Position.After(old.Position) {
			continue
		}
		v.changed = later(v.changed, e.Position)
		if e.Removed {
			delete(next, e.Key)
			last := old
			if !ok || v.rules.outdated(e.Item, old) {
				last = e.Item // the last version known to another process
			}
			last.Key, last.Position = e.Key, e.Position
			v.remove(Removal{Item: last, At: now})
			changes = append(changes, Event{Item: last, Removed: true})
			continue
		}
		changes = append(changes, e)
		next[e.Key] = e.Item
		delete(v.removals, e.Key) // it has been written again
	}
	v.listed = next
	v.at = later(v.at, at)
	v.prune(now)
	return changes
}

// remove records a removal, with the latest known value of the entry.
func (v *view) remove(r Removal) {
	if k, ok := v.retained[r.Key]; ok && v.rules.outdated(k, r.Item) {
		r.Value = k.Value
	}
	if !v.rules.permanent(r.Key) {
		delete(v.retained, r.Key)
	}
	v.mergeRemoval(r)
}

// retain retains an entry known from before the restore if the store lists an older
// value, or does not list it and the entry is a lasting one.
func (v *view) retain(known Item) {
	listed, ok := v.listed[known.Key]
	if ok && !v.rules.outdated(known, listed) || !ok && !v.rules.lasting(known.Key) {
		return
	}
	if k, ok := v.retained[known.Key]; ok && !v.rules.outdated(known, k) {
		return
	}
	if v.retained == nil {
		v.retained = make(map[string]Item)
	}
	v.retained[known.Key] = known
}

// wasRemoved reports whether a known entry was removed after it was written. An entry of
// another term may have been read from a copy, so that only its value decides.
func (v *view) wasRemoved(known Item) bool {
	g, removed := v.removals[known.Key]
	if removed && known.Term == g.Term && known.Position.After(g.Position) {
		return false
	}
	return removed && !g.Missing && !v.rules.outdated(known, g.Item) && !v.rules.permanent(known.Key)
}

// merge takes over what another process knows from before the restore, and its earliest
// list since, and reports whether anything changed.
func (v *view) merge(known []Item, removals []Removal, base Position, now time.Time) bool {
	before := v.digest()
	if base.Term == v.base.Term && v.base.After(base) {
		v.base = base
	}
	for _, i := range known {
		v.retain(i)
	}
	for _, g := range removals {
		if _, listed := v.listed[g.Key]; listed && g.Term >= v.at.Term {
			continue // an event of this term reports it, or it has been written again
		}
		v.mergeRemoval(g)
	}
	v.prune(now)
	return v.digest() != before
}

// mergeRemoval merges a removal with what is known of the entry. A process that missed
// some events knows the removal at a later position with an earlier value.
func (v *view) mergeRemoval(g Removal) {
	if own, ok := v.removals[g.Key]; ok {
		switch {
		case v.rules.outdated(own.Item, g.Item):
			g.Value, g.Missing = own.Value, own.Missing
		case !v.rules.outdated(g.Item, own.Item):
			g.Missing = g.Missing && own.Missing
		}
		g.Position = later(own.Position, g.Position)
	}
	if v.removals == nil {
		v.removals = make(map[string]Removal)
	}
	v.removals[g.Key] = g
}

// prune drops retained entries and removals that are no longer needed.
func (v *view) prune(now time.Time) {
	for key, k := range v.retained {
		listed, ok := v.listed[key]
		writtenAnew := ok && !v.rules.outdated(k, listed)
		missing := !ok && !v.rules.lasting(key)
		if writtenAnew || missing || v.wasRemoved(k) {
			delete(v.retained, key)
		}
	}
	for key, g := range v.removals {
		_, listed := v.listed[key]
		if now.Sub(g.At) > removalTTL || listed && !v.suppresses(key) {
			delete(v.removals, key)
		}
	}
	if over := len(v.removals) - maxRemovals; over > 0 {
		oldest := slices.SortedFunc(maps.Values(v.removals), func(a, b Removal) int { return a.At.Compare(b.At) })
		for _, g := range oldest[:over] {
			delete(v.removals, g.Key)
		}
	}
}

// suppresses reports whether a listed entry is treated as removed: it was removed, and
// the listed version may come from the copy. If the store still lists it after the lease,
// somebody has written it again.
func (v *view) suppresses(key string) bool {
	listed, ok := v.listed[key]
	g, removed := v.removals[key]
	if !ok || !removed || g.Term >= v.at.Term || listed.Revision > v.base.Revision {
		return false
	}
	if g.Missing {
		return v.rules.outdated(g.Item, listed) && v.lastAnswer.Before(v.answeringSince.Add(v.rules.Lease))
	}
	return !v.rules.outdated(listed, g.Item) && v.lastAnswer.Before(v.answeringSince.Add(v.rules.Lease))
}

// suppressed returns the keys of the listed entries that are treated as removed.
func (v *view) suppressed() []string {
	var out []string
	for key := range v.removals {
		if v.suppresses(key) {
			out = append(out, key)
		}
	}
	return out
}

// items returns the known version of every entry. The map is read-only.
func (v *view) items() map[string]Item {
	suppressed := v.suppressed()
	if len(v.retained)+len(suppressed) == 0 {
		return v.listed
	}
	out := maps.Clone(v.listed)
	for _, key := range suppressed {
		delete(out, key)
	}
	for key, k := range v.retained {
		out[key] = k
	}
	return out
}

// noteAnswer records an answer of the store. After an outage the leases start anew.
func (v *view) noteAnswer(now time.Time, afterOutage bool) {
	if afterOutage {
		v.answeringSince = now
	}
	v.lastAnswer = now
}

// suppressedUntil returns when the suppressed entries are to be shown, or the zero time
// if there are none.
func (v *view) suppressedUntil() time.Time {
	if len(v.suppressed()) == 0 {
		return time.Time{}
	}
	return v.answeringSince.Add(v.rules.Lease)
}

// digest returns a value that differs between processes that retain or suppress different
// entries; 0 means that there are none.
func (v *view) digest() uint64 {
	sum := uint64(0)
	add := func(kind, key string, value []byte) {
		h := xxhash.New()
		_, _ = h.WriteString(kind) // to memory
		_, _ = h.Write(binary.LittleEndian.AppendUint32(nil, uint32(len(key))))
		_, _ = h.WriteString(key)
		_, _ = h.Write(value)
		sum ^= h.Sum64()
	}
	for key, k := range v.retained {
		add("kept", key, k.Value)
	}
	for _, key := range v.suppressed() {
		add("gone", key, nil)
	}
	return sum
}
