package ratelimit

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

func limitOf(perSecond float64) Known {
	return Known{Statement: Statement{Server: 1, Limit: perSecond, Limited: true}}
}

var whole = Fleet{First: true, Part: 1}

// grants asks at an interval for a time and returns how many permits were granted.
func grants(g *Grantor, k Known, f Fleet, from time.Time, every, d time.Duration) int {
	n := 0
	for at := time.Duration(0); at < d; at += every {
		if g.Handle(k, f, from.Add(at)).Granted {
			n++
		}
	}
	return n
}

func TestAGrantorKeepsTheRate(t *testing.T) {
	cases := []struct {
		name        string
		limit, part float64
		want        int // permits in 12 s from the first ask
	}{
		{"one a second", 1, 1, 11},
		{"less than one", 0.5, 1, 5},
		{"a part of the fleet", 1, 0.5, 5},
		{"many", 20, 1, 220},
		{"none: it is tried all the same", 0, 1, 3},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			n := grants(NewGrantor(), limitOf(c.limit), Fleet{First: true, Part: c.part}, time.Unix(1000, 0), 10*time.Millisecond, 12*time.Second)
			if n < c.want-1 || n > c.want+1 {
				t.Errorf("%d permits, about %d expected", n, c.want)
			}
		})
	}
}

// Before a process that has just become the one that grants, another one may have granted.
func TestANewGrantorWaits(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	g := NewGrantor()
	is.Equal(grants(g, limitOf(20), whole, now, 10*time.Millisecond, settleTime), 0)
	is.True(grants(g, limitOf(20), whole, now.Add(settleTime), 10*time.Millisecond, time.Second) > 0)
	now = now.Add(5 * time.Second)
	is.True(g.Handle(limitOf(20), Fleet{First: false, Part: 1}, now).Elsewhere)
	is.Equal(grants(g, limitOf(20), whole, now, 10*time.Millisecond, settleTime), 0) // it is a new one again
}

// A server that names a limit got more than it takes before.
func TestAServerRestsAfterItsFirstNaming(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	k := limitOf(1)
	k.New, k.Since = true, now
	is.Equal(grants(NewGrantor(), k, whole, now, 10*time.Millisecond, longestRest+900*time.Millisecond), 0)
	k = limitOf(20) // two permits are soon over
	k.New, k.Since = true, now
	is.True(grants(NewGrantor(), k, whole, now, 10*time.Millisecond, 2*time.Second) > 10)
}

// Those that ask in vain are told different times, so that they do not all ask for the next one.
func TestThoseThatAskInVainComeInTurn(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	g := NewGrantor()
	k := limitOf(1)
	g.Handle(k, whole, now)
	now = now.Add(settleTime + 100*time.Millisecond)
	var waits []time.Duration
	for range mostTurns {
		waits = append(waits, g.Handle(k, whole, now).Wait)
	}
	for i, w := range waits {
		is.True(w >= 900*time.Millisecond+time.Duration(i)*time.Second-time.Millisecond)
		is.True(w <= 900*time.Millisecond+time.Duration(i)*time.Second+time.Millisecond)
	}
	is.True(g.Handle(k, whole, now).Wait < time.Second) // the turns begin anew
}

// Whatever is asked when, with limits that change, in any four seconds there are at most as
// many permits as the largest limit gives, and a burst.
func TestNoWindowHasMorePermitsThanTheLimitGives(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := NewGrantor()
		now := time.Unix(1000, 0)
		limit := rapid.Float64Range(0, 30).Draw(t, "limit")
		most := max(limit, leastRate)
		var granted []time.Time
		for range rapid.IntRange(1, 400).Draw(t, "asks") {
			now = now.Add(time.Duration(rapid.Int64Range(0, int64(300*time.Millisecond)).Draw(t, "pause")))
			k := limitOf(limit * rapid.Float64Range(0, 1).Draw(t, "part of the limit"))
			f := Fleet{First: rapid.IntRange(0, 50).Draw(t, "first") > 0, Part: rapid.Float64Range(0.1, 1).Draw(t, "part")}
			if g.Handle(k, f, now).Granted {
				granted = append(granted, now)
			}
		}
		for i := range granted {
			n := 0
			for j := i; j < len(granted) && granted[j].Sub(granted[i]) < window; j++ {
				n++
			}
			if bound := window.Seconds()*most + max(leastBurst, burstTime.Seconds()*most) + 1e-6; float64(n) > bound {
				t.Fatalf("%d permits in %v, at most %g", n, window, bound)
			}
		}
	})
}
