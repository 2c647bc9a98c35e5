package retry

import (
	"context"
	"errors"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"
	"pgregory.net/rapid"
)

// stubFleet is a fleet as one process sees it.
type stubFleet struct {
	grantors  []string
	reachable []string
	reply     func(grantor string) (Grant, error)
	asked     []string
}

func (f *stubFleet) Grantors() []string          { return f.grantors }
func (f *stubFleet) ReachableGrantors() []string { return slices.Clone(f.reachable) }
func (f *stubFleet) RequestRetry(_ context.Context, grantor, _ string) (Grant, error) {
	f.asked = append(f.asked, grantor)
	return f.reply(grantor)
}

// process is one process with its clock.
type process struct {
	*Budgets
	fleet *stubFleet
	now   time.Time
}

const window = 10 * time.Second

func newProcess(slack float64, grantors ...string) *process {
	p := &process{fleet: &stubFleet{grantors: grantors}, now: time.Unix(1_700_000_000, 0)}
	limit := Limit{Ratio: 0.2, Slack: slack, Window: window}
	p.Budgets = NewBudgets("a", limit, p.fleet, zerolog.Nop(), func() time.Time { return p.now }, nil)
	return p
}

// taken takes retries until there are none left and returns their number.
func (p *process) taken() int {
	n := 0
	for p.Of("s").Take(context.Background()) != SourceNone {
		n++
	}
	return n
}

// granted grants retries to others until there are none left and returns their number.
func (p *process) granted() int {
	n := 0
	for p.Grant("s").Granted {
		n++
	}
	return n
}

// A process that has started does not know what its predecessor granted in the window.
func TestRestartedGrantorGrantsNothingForAWindow(t *testing.T) {
	is := is.New(t)
	p := newProcess(80, "a")
	is.Equal(p.taken(), 0)
	p.now = p.now.Add(window)
	reply := p.Grant("s")
	is.True(!reply.Granted)
	is.True(reply.Wait > 0 && reply.Wait <= grantLifetime)
	p.now = p.now.Add(reply.Wait)
	is.Equal(p.granted(), 64)
	is.Equal(p.granted(), 0)
}

// The first request for a service may come long after the process started.
func TestFirstRequestLongAfterStartIsGrantedAtOnce(t *testing.T) {
	is := is.New(t)
	p := newProcess(80, "a")
	p.now = p.now.Add(time.Minute)
	p.Of("s").Request()
	is.Equal(p.taken(), 64)
}

// A process that is cut off from the others must not use their parts of the slack.
func TestUnreachableGrantorsKeepTheirPart(t *testing.T) {
	is := is.New(t)
	p := newProcess(80, "a", "b", "c", "d")
	p.now = p.now.Add(2 * window)
	is.Equal(p.taken(), 16)
}

// All processes but a few are no grantors. Together they must not use the slack once more.
func TestOthersHaveNoPartOfTheSlack(t *testing.T) {
	is := is.New(t)
	p := newProcess(80, "b", "c")
	p.now = p.now.Add(2 * window)
	is.Equal(p.taken(), 0)
	is.Equal(p.granted(), 0)
	for range 50 {
		p.Of("s").Request()
	}
	is.Equal(p.taken(), 4) // earned by its own requests
}

// If the list of grantors is not known, nobody grants.
func TestUnknownGrantorsGrantNothing(t *testing.T) {
	is := is.New(t)
	p := newProcess(80)
	p.now = p.now.Add(2 * window)
	is.Equal(p.taken(), 0)
	is.True(!p.Of("s").Has())
}

// Grantors of the earlier list may have granted everything just before the change.
func TestNewGrantorGrantsNothingForAWindow(t *testing.T) {
	is := is.New(t)
	p := newProcess(80, "b", "c")
	p.now = p.now.Add(2 * window)
	p.fleet.grantors = []string{"a", "b"}
	p.Refresh()
	is.Equal(p.granted(), 0)
	p.now = p.now.Add(window + grantLifetime)
	p.fleet.grantors = []string{"b", "a"} // the order does not matter
	is.Equal(p.granted(), 32)
	p.fleet.grantors = []string{"a"}
	is.Equal(p.granted(), 0)
}

// After a process was paused, its clock jumps by more than a window.
func TestBudgetAfterLongPause(t *testing.T) {
	is := is.New(t)
	p := newProcess(10, "a")
	p.now = p.now.Add(2 * window)
	for range 50 {
		p.Of("s").Request()
	}
	is.Equal(p.taken(), 4+8)
	p.now = p.now.Add(time.Hour)
	is.Equal(p.taken(), 8)
}

// A process whose reply came while it was paused must not use it: the grantor counts the
// retry in an earlier window.
func TestGrantThatIsLateIsNotUsed(t *testing.T) {
	is := is.New(t)
	p := newProcess(80, "b")
	p.fleet.reachable = []string{"b"}
	late := 2 * grantLifetime
	p.fleet.reply = func(string) (Grant, error) {
		p.now = p.now.Add(late)
		return Grant{Granted: true}, nil
	}
	is.Equal(p.Of("s").Take(context.Background()), SourceNone)
	late = grantLifetime / 2
	is.Equal(p.Of("s").Take(context.Background()), Source("b"))
}

// A grantor that denied a retry, or did not answer, is left alone for a while, and others
// are asked.
func TestDeniedProcessAsksTheNextGrantor(t *testing.T) {
	is := is.New(t)
	p := newProcess(80, "b", "c", "d")
	p.fleet.reachable = []string{"b", "c", "d"}
	p.fleet.reply = func(grantor string) (Grant, error) {
		switch grantor {
		case "b":
			return Grant{Wait: 3 * time.Second}, nil
		case "c":
			return Grant{}, errors.New("no answer")
		default:
			return Grant{Granted: true}, nil
		}
	}
	is.Equal(p.Of("s").Take(context.Background()), Source("d"))
	is.Equal(p.Of("s").Take(context.Background()), Source("d"))
	is.Equal(p.fleet.asked, []string{"b", "c", "d", "d"})
	p.now = p.now.Add(unansweredWait)
	is.Equal(p.Of("s").Take(context.Background()), Source("d"))
	is.Equal(p.fleet.asked[4:], []string{"c", "d"})
	p.fleet.reachable = []string{"b"}
	is.True(!p.Of("s").Has())
	p.now = p.now.Add(3 * time.Second)
	is.True(p.Of("s").Has())
}

// What a request earned is lost after a window, and the earliest part of it is used first.
func TestEarnedRetriesAreLostAfterAWindow(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1_700_000_000, 0)
	e := NewEarned(Limit{Ratio: 0.2, Window: window}, now)
	for range 25 {
		e.Request(now)
	}
	for range 25 {
		e.Request(now.Add(window / 2))
	}
	is.True(e.Take(now.Add(window / 2)))
	is.True(e.Take(now.Add(window / 2)))
	is.Equal(int(e.Left(now.Add(window))+0.5), 2)
	is.True(e.Take(now.Add(window)))
	is.True(!e.Take(now.Add(window + window/2)))
}

// In any window, the retries of a process are at most what the requests of this window and
// the one before earned, and what it may grant.
func TestRetriesOfAProcessHoldInEveryWindow(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := newProcess(rapid.Float64Range(0, 50).Draw(t, "slack"), "a", "b")
		start := p.now
		var requests, retries []time.Duration
		for range rapid.IntRange(1, 120).Draw(t, "steps") {
			p.now = p.now.Add(time.Duration(rapid.IntRange(1, 3000).Draw(t, "ms")) * time.Millisecond)
			for range rapid.IntRange(0, 40).Draw(t, "requests") {
				p.Of("s").Request()
				requests = append(requests, p.now.Sub(start))
			}
			for range rapid.IntRange(0, 30).Draw(t, "retries") {
				if p.Of("s").Take(context.Background()) != SourceNone {
					retries = append(retries, p.now.Sub(start))
				}
			}
		}
		within := func(times []time.Duration, from, to time.Duration) (n int) {
			for _, at := range times {
				if at >= from && at < to {
					n++
				}
			}
			return n
		}
		for _, from := range retries {
			used := float64(within(retries, from, from+window))
			earned := 0.4 * 0.2 * float64(within(requests, from-window, from+window))
			if part := 0.8 * p.limit.Slack / 2; used > earned+part+1e-6 {
				t.Fatalf("%v retries, %.2f earned, %.2f granted", used, earned, part)
			}
		}
	})
}
