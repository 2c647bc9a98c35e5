package source

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"
)

func TestWatchWaitGrowsWithTheNumberOfFollowers(t *testing.T) {
	is := is.New(t)
	for _, c := range []struct {
		role   Role
		others int
		within time.Duration
		most   time.Duration
	}{
		{RoleLead, 0, 0, 700 * time.Millisecond},
		{RoleLead, 100, 3 * time.Second, 1050 * time.Millisecond},
		{RoleFollow, 7, 0, 6 * time.Second},
		{RoleStandIn, 100, 0, maxWait},
	} {
		for range 100 {
			w := WatchWait(c.role, c.others, c.within)
			is.True(w >= c.most/5 && w <= c.most)
		}
	}
}

// Followers woken by the same event spread their next watches: the longest time without
// any is a fraction of a wait.
func TestWatchWaitsSpreadAfterACommonEvent(t *testing.T) {
	is := is.New(t)
	const followers = 30
	const rounds = 10_000
	late := 0
	for range rounds {
		first := maxWait
		for range followers {
			first = min(first, WatchWait(RoleStandIn, followers-1, 0))
		}
		if first > maxWait/2 {
			late++
		}
	}
	is.True(late <= rounds/1000) // expected: 0.63^30, about one in 10^6
}

// faultyStore answers each call at once, in one incorrect way.
type faultyStore struct {
	list  func(n int) ([]Item, Position, error)
	watch func(n int, after Position) ([]Event, Position, error)
	calls atomic.Int32
}

func (o *faultyStore) List(context.Context, string, Freshness) ([]Item, Position, error) {
	return o.list(int(o.calls.Add(1)))
}

func (o *faultyStore) Watch(_ context.Context, _ string, after Position, _ time.Duration) ([]Event, Position, error) {
	return o.watch(int(o.calls.Add(1)), after)
}

// maxCallsPerSecond is how often a follower may call a store that answers incorrectly. Of
// 149 followers, few call it while the others get their updates from them.
const maxCallsPerSecond = 10

// A store that was restored at a lower revision got 10,000 lists a second, since an older
// list was discarded without a pause. No answer, however wrong, may be followed by a call
// without one.
func TestNoAnswerIsFollowedByACallWithoutAPause(t *testing.T) {
	listed := func(int) ([]Item, Position, error) { return []Item{item("a", 5)}, at(5), nil }
	for name, store := range map[string]*faultyStore{
		"older lists": {
			list:  func(n int) ([]Item, Position, error) { return nil, at(uint64(max(3, 100-n))), nil },
			watch: func(int, Position) ([]Event, Position, error) { return nil, Position{}, ErrHistoryLost },
		},
		"history lost each time": {
			list: listed, watch: func(int, Position) ([]Event, Position, error) { return nil, Position{}, ErrHistoryLost },
		},
		"watches that do not wait": {
			list: listed, watch: func(_ int, after Position) ([]Event, Position, error) { return nil, after, nil },
		},
		"the same event again": {
			list: listed, watch: func(_ int, after Position) ([]Event, Position, error) {
				return []Event{{Item: item("a", 5)}}, after, nil
			},
		},
		"a new term each time": {
			list:  func(n int) ([]Item, Position, error) { return nil, Position{uint64(n), 1}, nil },
			watch: func(n int, _ Position) ([]Event, Position, error) { return nil, Position{uint64(n), 1}, nil },
		},
		"an older term": {
			list: func(n int) ([]Item, Position, error) { return nil, Position{9, 1}, nil },
			watch: func(int, Position) ([]Event, Position, error) {
				return []Event{{Item: item("b", 7)}}, Position{8, 7}, nil
			},
		},
		"a missing term": {
			list:  func(n int) ([]Item, Position, error) { return nil, Position{9, 1}, nil },
			watch: func(int, Position) ([]Event, Position, error) { return []Event{{Item: item("b", 7)}}, at(7), nil },
		},
		"refusals": {
			list:  func(int) ([]Item, Position, error) { return nil, Position{}, ErrUnavailable },
			watch: func(int, Position) ([]Event, Position, error) { return nil, Position{}, ErrUnavailable },
		},
		"events without an end": {
			list: listed, watch: func(_ int, after Position) ([]Event, Position, error) {
				return []Event{{Item: item("b", after.Revision+1)}}, at(after.Revision + 1), nil
			},
		},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				seen := 0
				f := &Follower{Store: store, Log: zerolog.Nop(), Deliver: func(u Update) { seen = len(u.Items) }}
				go f.Run(ctx)
				time.Sleep(10 * time.Second)
				if n := store.calls.Load(); n < 10 || n > 10*maxCallsPerSecond {
					t.Errorf("%d calls in 10 s", n)
				}
				if _, older := f.view.listed["b"]; older && seen != 2 {
					t.Error("an event of an older term was applied")
				}
				cancel()
				synctest.Wait()
			})
		})
	}
}
