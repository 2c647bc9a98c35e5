package speed

import (
	"math"
	"testing"
	"time"

	"github.com/matryer/is"
)

const ms = time.Millisecond

var start = time.Unix(1_700_000_000, 0)

// answers are answers of one server, one every 100 ms.
type answers struct {
	server, route string
	took          time.Duration
	count         int
}

// record records the answers of each round in turn and returns the time after them.
func record(s *Service, now time.Time, rounds ...answers) time.Time {
	for _, a := range rounds {
		for range a.count {
			s.Answered(a.server, a.route, a.took, a.took, now)
			now = now.Add(100 * ms)
		}
	}
	return now
}

func TestSlowness(t *testing.T) {
	cases := []struct {
		name   string
		rounds []answers
		repeat int
		want   map[string]float64
	}{
		{"nothing is known", nil, 1, map[string]float64{"a": 1}},
		{"one of three is slow", []answers{{"a", "r", 400 * ms, 1}, {"b", "r", 100 * ms, 1}, {"c", "r", 100 * ms, 1}}, 6, map[string]float64{"a": 4, "b": 1, "c": 1}},
		{"a server is faster than the median", []answers{{"a", "r", 20 * ms, 1}, {"b", "r", 100 * ms, 1}, {"c", "r", 100 * ms, 1}}, 6, map[string]float64{"a": 1, "b": 1, "c": 1}},
		{"of two, the faster one is the reference", []answers{{"a", "r", 300 * ms, 1}, {"b", "r", 100 * ms, 1}}, 6, map[string]float64{"a": 3, "b": 1}},
		{"a single server is never slow", []answers{{"a", "r", 100 * ms, 4}, {"a", "r", 900 * ms, 1}}, 6, map[string]float64{"a": 1}},
		{"one answer is not enough", []answers{{"b", "r", 100 * ms, 3}, {"c", "r", 100 * ms, 3}, {"a", "r", 900 * ms, 1}}, 1, map[string]float64{"a": 1}},
		{"a single slow answer", []answers{{"a", "r", 100 * ms, 5}, {"b", "r", 100 * ms, 5}, {"a", "r", 5000 * ms, 1}, {"a", "r", 100 * ms, 1}}, 1, map[string]float64{"a": 1}},
		{"two slow answers in a row", []answers{{"a", "r", 100 * ms, 5}, {"b", "r", 100 * ms, 5}, {"a", "r", 300 * ms, 2}}, 1, map[string]float64{"a": 1.4}},
		{"the speed changes", []answers{{"a", "r", 100 * ms, 5}, {"b", "r", 100 * ms, 5}, {"a", "r", 300 * ms, 3}}, 1, map[string]float64{"a": 3}},
		{"it changes back", []answers{{"b", "r", 100 * ms, 5}, {"a", "r", 400 * ms, 8}, {"a", "r", 100 * ms, 3}}, 1, map[string]float64{"a": 1}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			var s Service
			now := start
			for range c.repeat {
				now = record(&s, now, c.rounds...)
			}
			for server, want := range c.want {
				if got := s.Slowness(server, now); math.Abs(got-want) > 0.05*want {
					t.Errorf("slowness of %s is %.3f, want %.3f", server, got, want)
				}
			}
		})
	}
}

// A server must not look slow because it happens to get the requests with the most work.
func TestRequestsWithMoreWorkDoNotMakeAServerSlow(t *testing.T) {
	is := is.New(t)
	var s Service
	now := record(&s, start, answers{"a", "short", 10 * ms, 4}, answers{"b", "short", 10 * ms, 4}, answers{"a", "long", 1000 * ms, 4})
	now = record(&s, now, answers{"b", "short", 10 * ms, 12}, answers{"a", "long", 1000 * ms, 12})
	is.Equal(s.Slowness("a", now), 1.0)
	is.Equal(s.Slowness("b", now), 1.0)
	is.Equal(s.Typical("short").Round(ms), 10*ms)
	is.Equal(s.Typical("long").Round(ms), 1000*ms)
	is.True(s.Typical("new") > 100*ms)
}

func TestServiceTimeOfASlowServer(t *testing.T) {
	is := is.New(t)
	var s Service
	now := start
	for range 60 {
		now = record(&s, now, answers{"a", "r", 400 * ms, 1}, answers{"b", "r", 100 * ms, 1}, answers{"c", "r", 100 * ms, 1})
	}
	is.True(s.ServiceTime("a", now) > 390*ms && s.ServiceTime("a", now) < 410*ms)
	is.True(s.ServiceTime("b", now) > 98*ms && s.ServiceTime("b", now) < 102*ms)
	is.True(s.MaxSlowness(now) > 3.9)
	is.Equal(s.Slowness("a", now.Add(lifetime)), 1.0)
	s.Forget("a")
	is.Equal(s.Slowness("a", now), 1.0)
}

// A server that gets only a trickle must be asked before its slowness expires, and at once
// while it seems to recover.
func TestProbeDue(t *testing.T) {
	is := is.New(t)
	var s Service
	is.True(s.ProbeDue("a", false, start))
	now := record(&s, start, answers{"b", "r", 100 * ms, 4}, answers{"a", "r", 400 * ms, 4})
	is.True(!s.ProbeDue("a", true, now))
	is.True(s.ProbeDue("a", true, now.Add(idleProbeAge)))
	is.True(!s.ProbeDue("a", false, now.Add(idleProbeAge)))
	is.True(s.ProbeDue("a", false, now.Add(probeAge)))
	now = record(&s, now, answers{"a", "r", 100 * ms, 1})
	is.True(s.ProbeDue("a", false, now))
}

// Each change is returned once, changes are at least a second apart, and a server that is
// no longer known to be slow is normal again.
func TestChanges(t *testing.T) {
	is := is.New(t)
	var s Service
	now := record(&s, start, answers{"a", "r", 400 * ms, 3}, answers{"b", "r", 300 * ms, 3}, answers{"c", "r", 100 * ms, 3}, answers{"d", "r", 100 * ms, 3})
	first, changed := s.Change(now)
	is.True(changed && first.Slow)
	_, changed = s.Change(now.Add(reportInterval / 2))
	is.True(!changed)
	second, changed := s.Change(now.Add(reportInterval))
	is.True(changed && second.Slow && second.Server != first.Server)
	_, changed = s.Change(now.Add(2 * reportInterval))
	is.True(!changed)
	now = now.Add(lifetime)
	record(&s, now, answers{"c", "r", 100 * ms, 1})
	normal, changed := s.Change(now)
	is.True(changed && !normal.Slow)
}
