package slotqueue

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

const ms = time.Millisecond

var (
	start = time.Unix(0, 0)
	none  = &Counts{}
	// busy releases a slot every 10 ms.
	busy = Capacity{Slots: 10, InFlight: 10, ServiceTime: 100 * ms}
)

func entry(level Level, until time.Duration) *Entry {
	return &Entry{Level: level, Until: start.Add(until)}
}

// Guards against a request that cannot be on time and waits nevertheless, and against the
// refusal of one that can.
func TestJoin(t *testing.T) {
	cases := []struct {
		name   string
		queued int // of level 2, until 300 ms
		others Counts
		c      Capacity
		e      *Entry
		joined bool
		wait   time.Duration
	}{
		{"nothing waits", 0, Counts{}, busy, entry(2, 0), true, 0},
		{"time for those ahead", 10, Counts{}, busy, entry(2, 301*ms), true, 0},
		{"too many ahead", 20, Counts{}, busy, entry(4, 199*ms), false, 200 * ms},
		{"more urgent", 20, Counts{}, busy, entry(0, 199*ms), true, 0},
		{"same level elsewhere", 0, Counts{2: 20}, busy, entry(2, 199*ms), false, 200 * ms},
		{"less urgent elsewhere", 0, Counts{3: 20}, busy, entry(2, 199*ms), true, 0},
		{"requests wait at the servers", 0, Counts{}, Capacity{Slots: 10, InFlight: 30, ServiceTime: 100 * ms}, entry(2, 199*ms), false, 200 * ms},
		{"nothing known", 20, Counts{}, Capacity{}, entry(4, 1*ms), true, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			var q Queue
			for range c.queued {
				q.Join(entry(2, 300*ms), none, Capacity{}, start)
			}
			joined, _ := q.Join(c.e, &c.others, c.c, start)
			is.Equal(joined, c.joined)
			is.Equal(c.e.Refusal() == nil, c.joined)
			if !c.joined {
				is.Equal(c.e.Refusal().Wait, c.wait)
			}
		})
	}
}

// Guards against a queue that grows without bound when nothing is known about the service.
func TestQueueIsBounded(t *testing.T) {
	is := is.New(t)
	var q Queue
	for i := range MaxEntries {
		joined, _ := q.Join(entry(2, time.Duration(i)*ms), none, Capacity{}, start)
		is.True(joined)
	}
	joined, _ := q.Join(entry(2, time.Hour), none, Capacity{}, start)
	is.True(!joined)
	joined, refused := q.Join(entry(0, 0), none, Capacity{}, start)
	is.True(joined) // in place of the last one
	is.Equal(len(refused), 1)
	is.Equal(q.Len(), MaxEntries)
}

// Guards against requests that wait in vain behind a more urgent one.
func TestUrgentRequestRefusesThoseTooLateBehindIt(t *testing.T) {
	is := is.New(t)
	var q Queue
	first, second := entry(2, 5*ms), entry(2, 15*ms)
	q.Join(first, none, busy, start)
	q.Join(second, none, busy, start)
	_, refused := q.Join(entry(0, 5*ms), none, busy, start)
	is.Equal(refused, []*Entry{first})
	is.Equal(first.Refusal().Position, 1)
	is.Equal(second.Refusal(), nil)
}

// Guards against urgent requests that are overtaken at their own or at another gateway.
func TestTurn(t *testing.T) {
	waiting := func(selective bool) *Queue {
		q := &Queue{}
		q.Join(&Entry{Level: 2, Until: start.Add(50 * ms), Selective: selective}, none, Capacity{}, start)
		return q
	}
	cases := []struct {
		name   string
		q      *Queue
		others Counts
		e      *Entry
		want   Turn
	}{
		{"nothing waits", &Queue{}, Counts{}, entry(4, 0), Turn{Look: true}},
		{"behind the same level", waiting(false), Counts{}, entry(2, 60*ms), Turn{}},
		{"behind a more urgent level", waiting(false), Counts{}, entry(4, 0), Turn{}},
		{"earlier deadline", waiting(false), Counts{}, entry(2, 40*ms), Turn{Look: true}},
		{"more urgent", waiting(false), Counts{}, entry(0, 60*ms), Turn{Look: true}},
		{"behind a request that excludes servers", waiting(true), Counts{}, entry(2, 60*ms), Turn{Look: true}},
		{"more urgent ones elsewhere", &Queue{}, Counts{0: 2, 1: 1, 2: 9, 3: 9}, entry(2, 0), Turn{Look: true, Reserved: 3, GivesWay: true}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) { is.New(t).Equal(c.q.Turn(c.e, &c.others), c.want) })
	}
}

// Guards against a priority that starves, also at a gateway that gets no slot back.
func TestStarvationBound(t *testing.T) {
	is := is.New(t)
	var q Queue
	later, longest := entry(6, 30*ms), entry(4, 20*ms)
	q.Join(longest, none, Capacity{}, start)
	q.Join(later, none, Capacity{}, start.Add(ms))
	others := &Counts{0: 5}
	now := start
	for range starvationBound {
		is.Equal(q.Due(others), nil)
		q.Released(others, now)
	}
	is.Equal(q.Turn(longest, others), Turn{Look: true})
	is.Equal(q.Turn(entry(0, 0), none), Turn{Look: true, Reserved: 1}) // leaves it a slot
	q.Took(longest, others)
	q.Leave(longest)
	is.Equal(q.Due(others), nil)
	for range starvationBound {
		now = now.Add(minCountInterval)
		q.Advance(others, 100*ms, now)
	}
	is.Equal(q.Due(others), later)
	is.Equal(q.Due(none), nil) // nothing more urgent waits any more
}

// Guards against counts of a dead gateway that hold slots back.
func TestReportsExpire(t *testing.T) {
	is := is.New(t)
	var r Reports
	r.Receive("a", []Report{{7, 2, 3}, {7, 99, 1}, {8, 0, 5}}, 0, start)
	r.Receive("b", []Report{{7, 2, 4}}, 0, start.Add(300*ms))
	is.Equal(r.Waiting(7, start.Add(300*ms)), Counts{2: 7, levels - 1: 1})
	is.Equal(r.Waiting(7, start.Add(reportLifetime)), Counts{2: 4})
	r.Receive("b", nil, 0, start.Add(600*ms)) // nothing waits there now
	is.Equal(r.Waiting(7, start.Add(600*ms)), Counts{})
}

// Guards against more than one log line per second.
func TestYields(t *testing.T) {
	is := is.New(t)
	var y Yields
	is.True(!y.Observe(2, false, start))
	is.True(y.Observe(2, true, start))
	is.True(!y.Observe(2, false, start.Add(ms)))
	is.True(y.Observe(2, false, start.Add(yieldLogInterval)))
}

// Whatever happens, the queue is in order and within its bounds, somebody may look for a
// slot if anybody waits, and only a request that is due passes a more urgent one.
func TestQueueInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var q Queue
		now := start
		for i := range rapid.IntRange(1, 60).Draw(t, "steps") {
			others := &Counts{rapid.IntRange(0, 2).Draw(t, "0 elsewhere"), 0, rapid.IntRange(0, 2).Draw(t, "2 elsewhere")}
			now = now.Add(time.Duration(rapid.IntRange(0, 20).Draw(t, "pause")) * ms)
			if rapid.Bool().Draw(t, "join") {
				e := &Entry{
					Level: Level(rapid.IntRange(0, 5).Draw(t, "level")), Selective: rapid.Bool().Draw(t, "selective"),
					Until: now.Add(time.Duration(rapid.IntRange(0, 300).Draw(t, "until")) * ms),
				}
				_, refused := q.Join(e, others, busy, now)
				for _, r := range refused {
					if r.before(e) || r.Refusal() == nil {
						t.Fatalf("step %d: refused %+v for %+v", i, r, e)
					}
				}
			} else {
				q.Released(others, now)
				if eligible := q.Eligible(others); len(eligible) > 0 {
					q.Took(eligible[0], others)
					q.Leave(eligible[0])
				}
			}
			if err := q.check(others); err != nil {
				t.Fatalf("step %d: %v", i, err)
			}
		}
	})
}

func (q *Queue) check(others *Counts) error {
	for i, e := range q.entries {
		if i > 0 && !q.entries[i-1].before(e) {
			return fmt.Errorf("%d out of order", i)
		}
		turn := q.Turn(e, others)
		if e != q.Due(others) && turn.Look && turn.Reserved < others.Above(e.Level) {
			return fmt.Errorf("%d overtakes requests elsewhere", i)
		}
	}
	if eligible := q.Eligible(others); len(q.entries) > 0 && len(eligible) == 0 {
		return fmt.Errorf("%d requests wait and none may look", len(q.entries))
	}
	return nil
}
