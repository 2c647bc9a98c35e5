package source

import (
	"encoding/binary"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Rules tell which of two values of an entry was written later, where one is known from
// before the store came back from an older copy and the other is listed since. Positions
// cannot: the copy's values are older and have the higher era.
type Rules struct {
	// Outdated reports whether the listed value was written before the known one. nil =
	// never.
	Outdated func(known, listed Item) bool
	// Lasting reports whether an entry stays although the copy does not list it. nil =
	// none does.
	Lasting func(key string) bool
	// Lease is for how long after its return the store may list an entry whose writer has
	// ended: then it has removed the entry, or somebody has written it again.
	Lease time.Duration
}

func (r Rules) outdated(known, listed Item) bool {
	return r.Outdated != nil && r.Outdated(known, listed)
}

func (r Rules) lasting(key string) bool { return r.Lasting != nil && r.Lasting(key) }

const (
	// goneLifetime is for how long a removed entry is remembered: a copy is some seconds
	// old, and the store may be away for minutes before it is back from one.
	goneLifetime = 5 * time.Minute
	// mostGone bounds the removed entries that are remembered.
	mostGone = 1024
)

// Removal is an entry that was removed: its last value, and where it was removed.
type Removal struct {
	Item
	At time.Time // when this process, or the one that told it, heard of it
}

// view is what is known of a store's entries: what it lists in its present era, and what
// is known better from before. It does no input or output; times come in as arguments.
type view struct {
	rules   Rules
	at      Position // a watch goes on from here
	changed Position // of the newest change that is known
	base    Position // earliest known list of the present era
	since   time.Time
	listed  map[string]Item    // by the store; never changed in place
	kept    map[string]Item    // in place of what is listed
	gone    map[string]Removal // removed lately
}

// known reports whether there is any state.
func (v *view) known() bool { return v.listed != nil }

// list takes over a whole list.
func (v *view) list(items []Item, at Position, now time.Time) {
	next := make(map[string]Item, len(items))
	for _, i := range items {
		next[i.Key] = i
	}
	v.replace(next, at, at, at, now)
}

// replace takes over all entries, of the same era or a later one.
func (v *view) replace(listed map[string]Item, at, changed, base Position, now time.Time) {
	before, known := v.listed, v.items(now)
	returned := v.known() && at.Era > v.at.Era
	if returned || !v.known() {
		v.base, v.since = base, now
	}
	v.at, v.changed, v.listed = at, changed, listed
	if returned {
		for _, i := range known {
			v.remember(i)
		}
	} else {
		v.noteMissing(before, now)
	}
	v.forget(now)
}

// noteMissing notes the entries that are no longer listed as removed.
func (v *view) noteMissing(before map[string]Item, now time.Time) {
	for key, i := range before {
		if _, ok := v.listed[key]; !ok {
			i.Position = v.at
			v.remove(i, now)
		}
	}
}

// apply takes over events up to a position, and reports whether they brought anything.
// Those of before what is listed are passed over: pages of a list are no snapshot.
func (v *view) apply(events []Event, at Position, now time.Time) bool {
	next := maps.Clone(v.listed)
	news := false
	for _, e := range events {
		old, ok := next[e.Key]
		if ok && !e.Position.After(old.Position) {
			continue
		}
		news = true
		v.changed = later(v.changed, e.Position)
		if e.Removed {
			delete(next, e.Key)
			old.Key, old.Position = e.Key, e.Position
			v.remove(old, now)
			continue
		}
		next[e.Key] = e.Item
		delete(v.gone, e.Key) // it was written since
	}
	v.listed = next
	v.at = later(v.at, at)
	v.forget(now)
	return news
}

// remove notes an entry as removed; its position is that of the removal.
func (v *view) remove(i Item, now time.Time) {
	if !v.rules.lasting(i.Key) {
		delete(v.kept, i.Key)
	}
	if v.gone == nil {
		v.gone = make(map[string]Removal)
	}
	v.gone[i.Key] = Removal{Item: i, At: now}
}

// remember keeps an entry that is known from before if the store lists an older value, or
// none of an entry that lasts.
func (v *view) remember(known Item) {
	listed, ok := v.listed[known.Key]
	if ok && !v.rules.outdated(known, listed) || !ok && !v.rules.lasting(known.Key) {
		return
	}
	if k, ok := v.kept[known.Key]; ok && !v.rules.outdated(known, k) {
		return
	}
	if v.kept == nil {
		v.kept = make(map[string]Item)
	}
	v.kept[known.Key] = known
}

// absorb takes what another process knows from before the store's return, and reports
// whether it was news.
func (v *view) absorb(known []Item, gone []Removal, now time.Time) bool {
	before := v.digest(now)
	for _, i := range known {
		v.remember(i)
	}
	for _, g := range gone {
		if _, listed := v.listed[g.Key]; listed && g.Era >= v.at.Era {
			continue // an event of this era tells it, or it was written since
		}
		if own, ok := v.gone[g.Key]; ok && !g.Position.After(own.Position) {
			continue
		}
		if v.gone == nil {
			v.gone = make(map[string]Removal)
		}
		v.gone[g.Key] = g
	}
	v.forget(now)
	return v.digest(now) != before
}

// forget drops what is kept for no reason any more.
func (v *view) forget(now time.Time) {
	for key, k := range v.kept {
		if listed, ok := v.listed[key]; ok && !v.rules.outdated(k, listed) {
			delete(v.kept, key) // written anew
		}
	}
	for key, g := range v.gone {
		_, listed := v.listed[key]
		if now.Sub(g.At) > goneLifetime || listed && !v.hides(key, now) {
			delete(v.gone, key)
		}
	}
	if over := len(v.gone) - mostGone; over > 0 {
		oldest := slices.SortedFunc(maps.Values(v.gone), func(a, b Removal) int { return a.At.Compare(b.At) })
		for _, g := range oldest[:over] {
			delete(v.gone, g.Key)
		}
	}
}

// hides reports whether a listed entry is taken for removed: it was, and what is listed may
// be of the copy. Later than the store's lease somebody must have written it again.
func (v *view) hides(key string, now time.Time) bool {
	listed, ok := v.listed[key]
	g, removed := v.gone[key]
	if !ok || !removed || g.Era >= v.at.Era || listed.Revision > v.base.Revision {
		return false
	}
	return !v.rules.outdated(listed, g.Item) && now.Sub(v.since) < v.rules.Lease
}

// hidden returns the keys of the listed entries that are taken for removed.
func (v *view) hidden(now time.Time) []string {
	var out []string
	for key := range v.gone {
		if v.hides(key, now) {
			out = append(out, key)
		}
	}
	return out
}

// items returns what is known of all entries. Nobody changes it.
func (v *view) items(now time.Time) map[string]Item {
	hidden := v.hidden(now)
	if len(v.kept)+len(hidden) == 0 {
		return v.listed
	}
	out := maps.Clone(v.listed)
	for _, key := range hidden {
		delete(out, key)
	}
	for key, k := range v.kept {
		out[key] = k
	}
	return out
}

// release returns when the next hidden entry is to be shown; the zero time if there is none.
func (v *view) release(now time.Time) time.Time {
	if len(v.hidden(now)) == 0 {
		return time.Time{}
	}
	return v.since.Add(v.rules.Lease)
}

// digest tells two processes that keep different entries from each other: 0 = none is
// kept.
func (v *view) digest(now time.Time) uint64 {
	sum := uint64(0)
	add := func(kind, key string, value []byte) {
		h := xxhash.New()
		_, _ = h.WriteString(kind) // to memory
		_, _ = h.Write(binary.LittleEndian.AppendUint32(nil, uint32(len(key))))
		_, _ = h.WriteString(key)
		_, _ = h.Write(value)
		sum ^= h.Sum64()
	}
	for key, k := range v.kept {
		add("kept", key, k.Value)
	}
	for _, key := range v.hidden(now) {
		add("gone", key, nil)
	}
	return sum
}
