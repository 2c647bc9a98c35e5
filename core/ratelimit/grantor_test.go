package ratelimit

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

func limitOf(perSecond float64) KnownLimit {
	return KnownLimit{Observation: Observation{Server: 1, Limit: perSecond, Limited: true}}
}

var whole = FleetView{IsGrantor: true, ReachableFraction: 1}

// grants requests permits at an interval for a time and returns the number of permits
// granted.
func grants(g *Grantor, k KnownLimit, f FleetView, from time.Time, every, d time.Duration) int {
	n := 0
	for at := time.Duration(0); at < d; at += every {
		if g.Handle(k, f, from.Add(at)).Granted {
			n++
		}
	}
	return n
}

func TestGrantorKeepsRate(t *testing.T) {
	cases := []struct {
		name        string
		limit, part float64
		want        int // permits in 12 s from the first request
	}{
		{"one a second", 1, 1, 11},
		{"less than one", 0.5, 1, 5},
		{"a part of the fleet", 1, 0.5, 5},
		{"many", 20, 1, 220},
		{"none: it is tried all the same", 0, 1, 3},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			n := grants(NewGrantor(), limitOf(c.limit), FleetView{IsGrantor: true, ReachableFraction: c.part}, time.Unix(1000, 0), 10*time.Millisecond, 12*time.Second)
			if n < c.want-1 || n > c.want+1 {
				t.Errorf("%d permits, about %d expected", n, c.want)
			}
		})
	}
}

// Another process may have granted permits just before this one became the grantor.
func TestNewGrantorWaits(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	g := NewGrantor()
	is.Equal(grants(g, limitOf(20), whole, now, 10*time.Millisecond, settleTime), 0)
	is.True(grants(g, limitOf(20), whole, now.Add(settleTime), 10*time.Millisecond, time.Second) > 0)
	now = now.Add(5 * time.Second)
	is.True(g.Handle(limitOf(20), FleetView{IsGrantor: false, ReachableFraction: 1}, now).Elsewhere)
	is.Equal(grants(g, limitOf(20), whole, now, 10*time.Millisecond, settleTime), 0) // it became the grantor again
}

// Before a server reported its first limit, it received more requests than it can process.
func TestServerGetsBackoffAfterFirstReport(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	k := limitOf(1)
	k.New, k.Since = true, now
	is.Equal(grants(NewGrantor(), k, whole, now, 10*time.Millisecond, maxInitialBackoff+900*time.Millisecond), 0)
	k = limitOf(20) // two permits take 100 ms
	k.New, k.Since = true, now
	is.True(grants(NewGrantor(), k, whole, now, 10*time.Millisecond, 2*time.Second) > 10)
}

// Denied requests are told different waiting times, so that they do not all compete for
// the next permit.
func TestDeniedRequestsGetConsecutiveSlots(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	g := NewGrantor()
	k := limitOf(1)
	g.Handle(k, whole, now)
	now = now.Add(settleTime + 100*time.Millisecond)
	var waits []time.Duration
	for range maxSlots {
		waits = append(waits, g.Handle(k, whole, now).Wait)
	}
	for i, w := range waits {
		is.True(w >= 900*time.Millisecond+time.Duration(i)*time.Second-time.Millisecond)
		is.True(w <= 900*time.Millisecond+time.Duration(i)*time.Second+time.Millisecond)
	}
	is.True(g.Handle(k, whole, now).Wait < time.Second) // the slots start again
}

// For any sequence of requests and any changes of the limit, four seconds never contain
// more permits than the largest limit allows, plus a burst.
func TestNoWindowHasMorePermitsThanLimitAllows(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := NewGrantor()
		now := time.Unix(1000, 0)
		limit := rapid.Float64Range(0, 30).Draw(t, "limit")
		most := max(limit, minRate)
		var granted []time.Time
		for range rapid.IntRange(1, 400).Draw(t, "asks") {
			now = now.Add(time.Duration(rapid.Int64Range(0, int64(300*time.Millisecond)).Draw(t, "pause")))
			k := limitOf(limit * rapid.Float64Range(0, 1).Draw(t, "part of the limit"))
			f := FleetView{IsGrantor: rapid.IntRange(0, 50).Draw(t, "first") > 0, ReachableFraction: rapid.Float64Range(0.1, 1).Draw(t, "part")}
			if g.Handle(k, f, now).Granted {
				granted = append(granted, now)
			}
		}
		for i := range granted {
			n := 0
			for j := i; j < len(granted) && granted[j].Sub(granted[i]) < window; j++ {
				n++
			}
			if bound := window.Seconds()*most + max(minBurst, burstTime.Seconds()*most) + 1e-6; float64(n) > bound {
				t.Fatalf("%d permits in %v, at most %g", n, window, bound)
			}
		}
	})
}
