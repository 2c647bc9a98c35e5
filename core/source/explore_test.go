package source

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
)

// The explorer runs followers, writers and a store in steps whose order depends on a
// seed. The store fails, is restored from older copies and drops its history; followers
// list, watch, exchange state, lose the store or each other, and restart. The state in
// force at a follower must not go back, and nothing that any of them knows may be lost.

const (
	configKey  = "config"
	exploreTTL = 4 * time.Second // the store's lease
)

// serverValue returns the value of a server's entry, "incarnation ready" or "incarnation
// leaving". The value of the configuration is its version.
func serverValue(incarnation int, leaving bool) []byte {
	if leaving {
		return fmt.Appendf(nil, "%d leaving", incarnation)
	}
	return fmt.Appendf(nil, "%d ready", incarnation)
}

func leadingNumber(value []byte) int {
	first, _, _ := strings.Cut(string(value), " ")
	n, _ := strconv.Atoi(first)
	return n
}

func isLeaving(value []byte) bool { return strings.HasSuffix(string(value), "leaving") }

// exploreRules returns rules equivalent to the gateway's, for these values.
func exploreRules() Rules {
	return Rules{
		Outdated: func(known, listed Item) bool {
			if leadingNumber(known.Value) != leadingNumber(listed.Value) {
				return leadingNumber(listed.Value) < leadingNumber(known.Value)
			}
			return isLeaving(known.Value) && !isLeaving(listed.Value)
		},
		Lasting:   func(key string) bool { return key == configKey },
		Permanent: func(key string) bool { return key == configKey },
		Leaving:   func(i Item) bool { return i.Key != configKey && isLeaving(i.Value) },
		Lease:     exploreTTL,
	}
}

// bug is a deliberate fault that the explorer has to detect.
type bug int

const (
	noBug            bug = iota
	bugNoRules           // values of the copy are taken as newest
	bugNoTerms           // revisions are compared across a restore
	bugNoSharing         // retained entries and removals are not shared with others
	bugNoSuppression     // removed entries that the copy lists reappear at once
	bugNoLasting         // a configuration that the copy lacks is dropped
)

// exploredServer is the true state of a backend server.
type exploredServer struct {
	incarnation      int
	leaving, removed bool
	expires          time.Time // when the store removes its entry, zero = never
}

// exploration is one run of the explorer.
type exploration struct {
	bug       bug
	rnd       *rand.Rand
	term      uint64
	log       []Event // the store's present history
	dropped   int     // number of oldest events that watches can no longer get
	down      bool
	version   int
	servers   []exploredServer
	followers []*exploredFollower
	violation string
}

// exploredFollower is a follower with the state it had in force.
type exploredFollower struct {
	*Follower
	run              *exploration
	disconnected     bool // cannot reach the store
	version          int
	term             uint64
	endedIncarnation map[string]int // highest incarnation known to be leaving or removed, by key
	items            map[string]Item
}

func (w *exploration) violatef(format string, args ...any) {
	if w.violation == "" {
		w.violation = fmt.Sprintf(format, args...)
	}
}

func (w *exploration) write(key string, value []byte) {
	at := Position{w.term, uint64(len(w.log) + 1)}
	w.log = append(w.log, Event{Item: Item{Key: key, Value: value, Position: at}, Removed: value == nil})
}

func (w *exploration) listed() map[string]Item {
	out := make(map[string]Item)
	for _, e := range w.log {
		if e.Removed {
			delete(out, e.Key)
			continue
		}
		e.Term = w.term
		out[e.Key] = e.Item
	}
	return out
}

// position returns a position as followers see it.
func (w *exploration) position(revision uint64) Position {
	if w.bug == bugNoTerms {
		return Position{Revision: revision}
	}
	return Position{w.term, revision}
}

func (f *exploredFollower) List(context.Context, string, Freshness) ([]Item, Position, error) {
	w := f.run
	if f.disconnected || w.down {
		return nil, Position{}, ErrUnavailable
	}
	var out []Item
	for _, i := range w.listed() {
		i.Position = w.position(i.Revision)
		out = append(out, i)
	}
	return out, w.position(uint64(len(w.log))), nil
}

func (f *exploredFollower) Watch(_ context.Context, _ string, after Position, _ time.Duration) ([]Event, Position, error) {
	w := f.run
	if f.disconnected || w.down {
		return nil, Position{}, ErrUnavailable
	}
	if after.Revision < uint64(w.dropped) || after.Revision > uint64(len(w.log)) {
		return nil, Position{}, ErrHistoryLost
	}
	var out []Event
	for _, e := range w.log[after.Revision:] {
		e.Position = w.position(e.Revision)
		out = append(out, e)
	}
	return out, w.position(uint64(len(w.log))), nil
}

func (w *exploration) newFollower() *exploredFollower {
	f := &exploredFollower{run: w, endedIncarnation: make(map[string]int)}
	f.Follower = &Follower{Store: f, Log: zerolog.Nop(), Deliver: f.deliver, Rules: exploreRules()}
	switch w.bug {
	case bugNoRules:
		f.Rules.Outdated = nil
	case bugNoSuppression:
		f.Rules.Lease = 0
	case bugNoLasting:
		f.Rules.Lasting = nil
	}
	f.view.rules = f.Rules
	return f
}

// deliver checks that the state in force does not go back.
func (f *exploredFollower) deliver(u Update) {
	config, ok := u.Items[configKey]
	if !ok && f.version > 0 {
		f.run.violatef("the configuration is missing at %v, in force: %d", u.Position, f.version)
	}
	if v := leadingNumber(config.Value); ok && v < f.version {
		f.run.violatef("configuration %d after %d at %v", v, f.version, u.Position)
	} else if ok {
		f.version = v
	}
	for key, before := range f.items {
		_, listed := u.Items[key]
		removed := !listed && u.Term == f.term // missing from a copy proves no removal
		if key != configKey && (removed || isLeaving(before.Value)) {
			f.endedIncarnation[key] = max(f.endedIncarnation[key], leadingNumber(before.Value))
		}
	}
	f.term = u.Term
	for key, i := range u.Items {
		if key != configKey && !isLeaving(i.Value) && leadingNumber(i.Value) <= f.endedIncarnation[key] && f.view.lastAnswer.Sub(f.view.answeringSince) < exploreTTL {
			f.run.violatef("%s %q at %v, known to be leaving or removed", key, i.Value, u.Position)
		}
	}
	f.items = u.Items
}

// share passes the state of one follower to another.
func (w *exploration) share(from, to *exploredFollower) {
	s := from.Since(to.view.at, from.Retained() != to.Retained())
	if w.bug == bugNoSharing {
		s.RetainedItems, s.Gone = nil, nil
		if s.Term < to.view.at.Term {
			return
		}
	}
	to.adoptOne(&s)
}

func (f *exploredFollower) call() {
	err := f.callStore(context.Background())
	f.pauseAfter(err, time.Now())
}

func (w *exploration) step() {
	time.Sleep(time.Duration(w.rnd.IntN(300)) * time.Millisecond)
	w.expire()
	f := w.followers[w.rnd.IntN(len(w.followers))]
	i := w.rnd.IntN(len(w.servers))
	key := fmt.Sprintf("server-%d", i)
	s := &w.servers[i]
	switch n := w.rnd.IntN(100); {
	case n < 40:
		f.releaseSuppressed(time.Now())
		f.call()
	case n < 55:
		w.share(w.followers[w.rnd.IntN(len(w.followers))], f)
	case n < 65 && !w.down:
		w.version++
		w.write(configKey, fmt.Append(nil, w.version))
	case n < 72 && !w.down && !s.leaving:
		s.leaving = true
		w.write(key, serverValue(s.incarnation, true))
	case n < 78 && !w.down && s.leaving && !s.removed:
		s.removed = true
		w.write(key, nil)
	case n < 82 && !w.down && s.removed:
		*s = exploredServer{incarnation: s.incarnation + 1}
		w.write(key, serverValue(s.incarnation, false))
	case n < 86:
		f.disconnected = !f.disconnected
	case n < 88:
		w.dropped = len(w.log)
	case n < 92 && !w.down:
		w.down = true
	case n < 97 && w.down:
		w.restore(w.rnd.IntN(8))
	case n < 99:
		w.restart(w.rnd.IntN(len(w.followers)))
	}
}

// restore ends an outage; the store resumes from a copy that lacks the given number of
// changes.
func (w *exploration) restore(missing int) {
	w.down = false
	if missing == 0 || len(w.log) <= missing {
		return
	}
	w.log = w.log[:len(w.log)-missing]
	w.term++
	w.dropped = min(w.dropped, len(w.log))
	for i := range w.servers {
		s := &w.servers[i]
		if s.removed {
			s.expires = time.Now().Add(exploreTTL * 3 / 4)
		}
	}
}

// expire removes entries whose servers do not renew them, and lets live writers write
// theirs again.
func (w *exploration) expire() {
	if w.down {
		return
	}
	listed := w.listed()
	if v := leadingNumber(listed[configKey].Value); v < w.version && w.rnd.IntN(20) == 0 {
		w.write(configKey, fmt.Append(nil, w.version))
	}
	for i := range w.servers {
		s, key := &w.servers[i], fmt.Sprintf("server-%d", i)
		entry, ok := listed[key]
		switch {
		case s.removed && ok && time.Now().After(s.expires):
			w.write(key, nil)
		case !s.removed && (!ok || string(entry.Value) != string(serverValue(s.incarnation, s.leaving))) && w.rnd.IntN(4) == 0:
			w.write(key, serverValue(s.incarnation, s.leaving))
		}
	}
}

// restart replaces a follower by a new one, which first takes the state of the others.
func (w *exploration) restart(i int) {
	f := w.newFollower()
	w.followers[i] = f
	for j, other := range w.followers {
		if j != i {
			w.share(other, f)
		}
	}
}

// settle ends all faults and lets all followers exchange state until all leases are over.
func (w *exploration) settle() {
	known := 0
	for _, f := range w.followers {
		known = max(known, f.version)
	}
	w.down = false
	for round := range 4 {
		if round >= 2 {
			time.Sleep(2 * exploreTTL) // nothing is suppressed any longer
		}
		for _, f := range w.followers {
			f.disconnected = false
			f.call()
			f.releaseSuppressed(time.Now())
		}
		for _, from := range w.followers {
			for _, to := range w.followers {
				if from != to {
					w.share(from, to)
				}
			}
		}
	}
	for _, f := range w.followers {
		if f.version < known {
			w.violatef("final configuration %d, known was %d", f.version, known)
		}
		if f.Retained() != w.followers[0].Retained() {
			w.violatef("followers end with different entries: retained %v, suppressed %v; retained %v, suppressed %v", f.view.retained, f.view.suppressed(), w.followers[0].view.retained, w.followers[0].view.suppressed())
		}
		for key, i := range w.listed() {
			if have, ok := f.items[key]; ok && exploreRules().Outdated(i, have) {
				w.violatef("%s: final value %q, listed: %q", key, have.Value, i.Value)
			}
		}
	}
}

// explore runs one seed and returns the first violation, if any.
func explore(t *testing.T, seed uint64, b bug) string {
	w := &exploration{bug: b, rnd: rand.New(rand.NewPCG(seed, 1)), term: 1, servers: make([]exploredServer, 4)}
	synctest.Test(t, func(*testing.T) {
		w.version = 1
		for i := range w.servers {
			w.servers[i].incarnation = 1
			w.write(fmt.Sprintf("server-%d", i), serverValue(1, false))
		}
		w.write(configKey, []byte("1"))
		for range 3 {
			w.followers = append(w.followers, w.newFollower())
		}
		for range 120 {
			w.step()
		}
		w.settle()
	})
	return w.violation
}

// failedSeeds once caused the state to go back: an entry was retained that others knew to
// be removed, a removal was merged with an earlier value, or an older incarnation
// reappeared that a copy in between had lacked.
var failedSeeds = []uint64{6209, 7773, 8255, 9392, 10976, 12355, 13302, 29519, 52113}

func TestStateInForceNeverGoesBack(t *testing.T) {
	seeds := slices.Clone(failedSeeds)
	for seed := range uint64(1500) {
		seeds = append(seeds, seed)
	}
	for _, seed := range seeds {
		if violation := explore(t, seed, noBug); violation != "" {
			t.Fatalf("seed %d: %s", seed, violation)
		}
	}
}

func TestExplorerDetectsPlantedBugs(t *testing.T) {
	for name, b := range map[string]bug{
		"values of the copy are newest": bugNoRules, "no terms": bugNoTerms, "no sharing": bugNoSharing,
		"no suppression": bugNoSuppression, "no lasting entries": bugNoLasting,
	} {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(1500) {
				if violation := explore(t, seed, b); violation != "" {
					t.Logf("seed %d: %s", seed, violation)
					return
				}
			}
			t.Fatal("bug not detected")
		})
	}
}
