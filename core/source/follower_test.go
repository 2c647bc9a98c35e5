package source

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"
)

// scriptedStore answers each call with the next step. After the last step it stops the
// follower.
type scriptedStore struct {
	steps []step
	calls []string
	end   context.CancelFunc
}

type step struct {
	items    []Item
	events   []Event
	revision uint64
	term     uint64
	err      error
}

func (s step) at() Position { return Position{s.term, s.revision} }

func (s *scriptedStore) take(call string) step {
	s.calls = append(s.calls, call)
	if len(s.steps) == 0 {
		s.end()
		return step{err: ErrUnavailable}
	}
	next := s.steps[0]
	s.steps = s.steps[1:]
	return next
}

func (s *scriptedStore) List(context.Context, string, Freshness) ([]Item, Position, error) {
	st := s.take("list")
	return st.items, st.at(), st.err
}

func (s *scriptedStore) Watch(context.Context, string, Position, time.Duration) ([]Event, Position, error) {
	st := s.take("watch")
	return st.events, st.at(), st.err
}

func follow(steps ...step) (updates []Update, calls []string) {
	ctx, cancel := context.WithCancel(context.Background())
	s := &scriptedStore{steps: steps, end: cancel}
	f := &Follower{Store: s, Prefix: "p/", Log: zerolog.Nop(), Deliver: func(u Update) { updates = append(updates, u) }}
	f.Run(ctx)
	return updates, s.calls
}

func item(key string, revision uint64) Item { return Item{Key: key, Position: at(revision)} }

// at returns a position in a store without terms.
func at(revision uint64) Position { return Position{Revision: revision} }

func TestEventsChangeTheListedState(t *testing.T) {
	is := is.New(t)
	updates, _ := follow(
		step{items: []Item{item("a", 1), item("b", 2)}, revision: 2},
		step{events: []Event{{Item: item("a", 3), Removed: true}, {Item: item("c", 4)}}, revision: 4},
	)
	is.Equal(len(updates), 2)
	is.Equal(len(updates[0].Items), 2)
	_, found := updates[1].Items["a"]
	is.True(!found)
	is.Equal(updates[1].Revision, uint64(4))
	is.True(updates[1].MissingGrace == 0)
}

func TestLostHistoryIsListedAgain(t *testing.T) {
	is := is.New(t)
	updates, calls := follow(
		step{items: []Item{item("a", 1)}, revision: 1},
		step{err: ErrHistoryLost},
		step{items: []Item{item("b", 9)}, revision: 9},
	)
	is.Equal(calls[:3], []string{"list", "watch", "list"})
	is.Equal(updates[1].Revision, uint64(9))
}

// A follower whose watch could not return all events of an outage watched from the same position
// again, until the store dropped its history.
func TestBacklogIsListed(t *testing.T) {
	is := is.New(t)
	updates, calls := follow(
		step{items: []Item{item("a", 1)}, revision: 1},
		step{err: ErrUnavailable},
		step{err: ErrBacklog},
		step{items: []Item{item("a", 9)}, revision: 9},
	)
	is.Equal(calls[:4], []string{"list", "watch", "watch", "list"})
	is.Equal(updates[1].Revision, uint64(9))
	is.True(updates[1].MissingGrace > 0) // the outage ended with the list
}

func TestAnOlderListIsIgnored(t *testing.T) {
	is := is.New(t)
	updates, _ := follow(
		step{items: []Item{item("a", 5)}, revision: 5},
		step{err: ErrHistoryLost},
		step{items: []Item{item("a", 3)}, revision: 3},
		step{items: []Item{item("a", 6)}, revision: 6},
	)
	is.Equal(len(updates), 2)
	is.Equal(updates[1].Revision, uint64(6))
}

func TestUpdateAfterAnOutageHasMissingGrace(t *testing.T) {
	is := is.New(t)
	updates, _ := follow(
		step{items: []Item{item("a", 1)}, revision: 1},
		step{err: ErrUnavailable},
		step{events: []Event{{Item: item("a", 2), Removed: true}}, revision: 2},
	)
	is.True(updates[1].MissingGrace > 0)
}

// stalledStore is a store whose first watch delivers nothing until it is canceled.
type stalledStore struct{ started chan struct{} }

func (d stalledStore) List(context.Context, string, Freshness) ([]Item, Position, error) {
	return []Item{item("a", 1)}, at(1), nil
}

func (d stalledStore) Watch(ctx context.Context, _ string, after Position, _ time.Duration) ([]Event, Position, error) {
	select {
	case d.started <- struct{}{}:
	default:
		return []Event{{Item: item("b", after.Revision+1)}}, at(after.Revision + 1), nil
	}
	<-ctx.Done()
	return nil, Position{}, ErrUnavailable
}

func TestNudgeRestartsAStalledWatch(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	store := stalledStore{make(chan struct{}, 1)}
	updates := make(chan Update, 8)
	f := &Follower{Store: store, Log: zerolog.Nop(), Deliver: func(u Update) {
		select {
		case updates <- u:
		default:
		}
	}}
	go f.Run(ctx)
	is.Equal((<-updates).Changed, at(1))
	for len(store.started) == 0 {
		time.Sleep(time.Millisecond)
	}
	f.Nudge(at(2))
	is.True((<-updates).Changed.Revision >= 2)
}

// A follower that loses contact with the others has to find changes by itself.
func TestALongWatchIsCutShortWhenTheOthersAreGone(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var others atomic.Int32
	others.Store(30)
	store := stalledStore{make(chan struct{}, 1)}
	updates := make(chan Update, 8)
	f := &Follower{Store: store, Log: zerolog.Nop(), Role: func() Role { return RoleFollow }, Others: func() int { return int(others.Load()) }, Deliver: func(u Update) {
		select {
		case updates <- u:
		default:
		}
	}}
	go f.Run(ctx)
	is.Equal((<-updates).Changed, at(1))
	for len(store.started) == 0 {
		time.Sleep(time.Millisecond)
	}
	f.Recheck()
	is.Equal(len(updates), 0)
	others.Store(0)
	f.Recheck()
	is.True((<-updates).Changed.Revision >= 2)
}

// unreachable is a store that never answers.
type unreachable struct{}

func (unreachable) List(ctx context.Context, _ string, _ Freshness) ([]Item, Position, error) {
	<-ctx.Done()
	return nil, Position{}, ErrUnavailable
}

func (unreachable) Watch(ctx context.Context, _ string, _ Position, _ time.Duration) ([]Event, Position, error) {
	<-ctx.Done()
	return nil, Position{}, ErrUnavailable
}

func TestAnOfferedStateIsTakenIfItIsNewer(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	updates := make(chan Update, 8)
	f := &Follower{Store: unreachable{}, Log: zerolog.Nop(), Deliver: func(u Update) { updates <- u }}
	go f.Run(ctx)
	state := func(revision uint64) State {
		return State{Items: map[string]Item{"a": item("a", revision)}, Position: at(revision), Changed: at(revision)}
	}
	f.Offer(state(5))
	is.Equal((<-updates).Revision, uint64(5))
	f.Offer(state(4)) // older
	f.Offer(state(9))
	is.Equal((<-updates).Revision, uint64(9))
	select {
	case u := <-updates:
		t.Fatalf("unexpected update to %d", u.Revision)
	case <-time.After(20 * time.Millisecond):
	}
}

func TestEventsAreRetainedForOtherFollowers(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	updates := make(chan Update, 8)
	f := &Follower{Store: unreachable{}, Log: zerolog.Nop(), Deliver: func(u Update) { updates <- u }}
	go f.Run(ctx)
	f.Offer(State{Items: map[string]Item{"a": item("a", 3)}, Position: at(5), Changed: at(3)})
	<-updates
	f.Offer(State{Events: []Event{{Item: item("b", 7)}, {Item: item("a", 8), Removed: true}}, After: at(5), Position: at(8), Changed: at(8)})
	u := <-updates
	is.Equal(u.Revision, uint64(8))
	is.Equal(len(u.Items), 1)
	since := f.Since(at(5), false)
	is.Equal(len(since.Events), 2)
	is.Equal(since.Revision, uint64(8))
	is.Equal(len(f.Since(at(7), false).Events), 1)
	is.Equal(len(f.Since(at(0), false).Items), 1) // the whole state
	is.Equal(len(f.Since(at(2), false).Items), 1) // older than the kept events
	f.Offer(State{Events: []Event{{Item: item("c", 12)}}, After: at(10), Position: at(12), Changed: at(12)})
	select {
	case u := <-updates:
		t.Fatalf("took events with a gap, to %d", u.Revision)
	case <-time.After(50 * time.Millisecond):
	}
}

// passiveIf returns the role function of a follower that is passive while the flag is set
// and leads otherwise.
func passiveIf(passive *atomic.Bool) func() Role {
	return func() Role {
		if passive.Load() {
			return RolePassive
		}
		return RoleLead
	}
}

// A passive follower makes no calls, not even the first list. It takes what it is offered
// and continues from there when its role changes.
func TestPassiveFollowerMakesNoCalls(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var passive atomic.Bool
	passive.Store(true)
	store := stalledStore{make(chan struct{}, 1)}
	updates := make(chan Update, 8)
	f := &Follower{
		Store: store, Log: zerolog.Nop(), Role: passiveIf(&passive),
		Deliver: func(u Update) {
			select {
			case updates <- u:
			default:
			}
		},
	}
	go f.Run(ctx)
	time.Sleep(50 * time.Millisecond)
	is.Equal(len(updates), 0)
	f.Offer(State{Items: map[string]Item{"a": {Key: "a", Position: at(3)}}, Position: at(3), Changed: at(3)})
	is.Equal((<-updates).Revision, uint64(3))
	time.Sleep(50 * time.Millisecond)
	is.Equal(len(store.started), 0)
	passive.Store(false)
	for until := time.Now().Add(time.Second); len(store.started) == 0 && time.Now().Before(until); {
		time.Sleep(time.Millisecond)
	}
	is.Equal(len(store.started), 1)
}

// During an outage of the store, followers on which others rely try it often; stand-ins
// try seldom.
func TestStandInTriesAFailingStoreSeldom(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	role := RoleLead
	f := &Follower{Log: zerolog.Nop(), Role: func() Role { return role }}
	for range 20 {
		is.True(f.failed(ErrUnavailable, now) <= maxBackoff)
	}
	role = RoleStandIn
	is.True(f.failed(ErrUnavailable, now) <= maxBackoff) // without any state it does not slow down
	f.view.listed = map[string]Item{}
	pause := f.failed(ErrUnavailable, now)
	is.True(pause >= minStandInPause && pause <= maxStandInPause)
}

// A follower that pauses before its next try of the store takes offers at once.
func TestAnOfferEndsThePauseOfAFollower(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	updates := make(chan Update, 8)
	f := &Follower{
		Store: unreachable{}, Log: zerolog.Nop(), Role: func() Role { return RoleStandIn }, view: view{listed: map[string]Item{}},
		Deliver: func(u Update) { updates <- u },
	}
	go f.Run(ctx)
	time.Sleep(30 * time.Millisecond) // its first call has failed
	began := time.Now()
	f.Offer(State{Items: map[string]Item{"a": {Key: "a", Position: at(3)}}, Position: at(3), Changed: at(3)})
	is.Equal((<-updates).Revision, uint64(3))
	is.True(time.Since(began) < minStandInPause/2)
}

// Load pattern: configurations of almost a megabyte in quick succession. A follower that
// is many versions behind needs only the last one.
func TestOnlyTheLatestEventOfAKeyIsRetained(t *testing.T) {
	is := is.New(t)
	f := &Follower{}
	f.recordState(nil)
	f.recordState([]Event{{Item: item("config", 3)}, {Item: item("server", 4)}})
	f.recordState([]Event{{Item: item("config", 5)}})
	f.recordState([]Event{{Item: item("config", 6), Removed: true}})
	is.Equal(f.Since(at(2), false).Events, []Event{{Item: item("server", 4)}, {Item: item("config", 6), Removed: true}})
	is.Equal(f.Since(at(4), false).Events, []Event{{Item: item("config", 6), Removed: true}})
	is.Equal(len(f.Since(at(6), false).Events), 0)
}

// compactedStore has dropped the history that any watch needs, and its follower becomes
// passive at the same moment.
type compactedStore struct{ passive *atomic.Bool }

func (compactedStore) List(context.Context, string, Freshness) ([]Item, Position, error) {
	return []Item{item("a", 1)}, at(1), nil
}

func (s compactedStore) Watch(context.Context, string, Position, time.Duration) ([]Event, Position, error) {
	s.passive.Store(true)
	return nil, Position{}, ErrHistoryLost
}

// Guards against a follower that refuses offered events after a lost history. A gateway
// that followed only for itself got status 410 just when it became passive. Without a new
// list it refused the events that others offered, and as it knew a revision it was
// offered nothing else. It fell behind and sent requests to a backend server that had
// left.
//
//	"watch history lost, listing again" revision=143
//	"following of the store changed" resting=true
//	"state asked from another gateway" newest=144 known=143 (again every 0.3 s)
func TestAFollowerThatLostItsHistoryTakesEventsThatOthersOffer(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var passive atomic.Bool
	updates := make(chan Update, 8)
	f := &Follower{Store: compactedStore{&passive}, Log: zerolog.Nop(), Role: passiveIf(&passive), Deliver: func(u Update) { updates <- u }}
	go f.Run(ctx)
	is.Equal((<-updates).Revision, uint64(1))
	for !passive.Load() {
		time.Sleep(time.Millisecond)
	}
	f.Offer(State{Events: []Event{{Item: item("b", 2)}}, After: at(1), Position: at(2), Changed: at(2)})
	select {
	case u := <-updates:
		is.Equal(len(u.Items), 2)
	case <-time.After(time.Second):
		t.Fatal("it took no event")
	}
}

// After a restore, an entry that the copy lacks is kept for longer than after an outage.
// A history dropped later must not count as another restore: a backend server that left
// in the gap would have got requests for 2.2 s.
func TestDroppedHistoryAfterARestoreIsNoRestore(t *testing.T) {
	is := is.New(t)
	updates, _ := follow(
		step{items: []Item{item("a", 5)}, revision: 5, term: 1},
		step{err: ErrHistoryLost},
		step{items: []Item{item("a", 3)}, revision: 3, term: 2},
		step{err: ErrHistoryLost},
		step{items: []Item{item("a", 3)}, revision: 9, term: 2},
	)
	is.Equal(len(updates), 3)
	is.Equal(updates[1].MissingGrace, recoveryTime)
	is.Equal(updates[2].MissingGrace, outageGrace)
}
