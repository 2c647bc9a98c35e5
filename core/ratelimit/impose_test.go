package ratelimit

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestImposedLimitExpires(t *testing.T) {
	is := is.New(t)
	table, now := newTestTable(), time.Now()
	table.Impose(1, 5, now.Add(3*time.Second), now)
	limit, limited := table.Get(1)
	is.True(limited)
	is.Equal(limit.Limit, 5.0)
	is.Equal(len(table.Report(now)), 0) // every process imposes it on its own
	is.Equal(len(table.Lift(now.Add(2*time.Second))), 0)
	later := now.Add(2 * time.Second)
	table.Impose(1, 5, later.Add(3*time.Second), later) // the server is cold again
	is.Equal(len(table.Lift(now.Add(4*time.Second))), 0)
	is.Equal(table.Lift(now.Add(5*time.Second)), []Key{1})
	_, limited = table.Get(1)
	is.True(!limited)
	is.Equal(len(table.Report(now.Add(5*time.Second))), 0)
	is.Equal(table.Limited(), 0)
}

// An answer that reports no limit does not end an imposed limit.
func TestAnswerDoesNotEndImposedLimit(t *testing.T) {
	is := is.New(t)
	table, now := newTestTable(), time.Now()
	table.Impose(1, 5, now.Add(3*time.Second), now)
	table.Record(2, Report{Kind: LimitNone}, now, now)
	_, limited := table.Get(1)
	is.True(limited)
}

// Permits are requested continuously and used up to permitTimeout later.
func TestNoSecondExceedsRateWithin(t *testing.T) {
	for _, most := range []float64{2.5, 3, 5, 8, 26, 100, 1000} {
		t.Run(fmt.Sprintf("%g", most), func(t *testing.T) {
			is := is.New(t)
			for seed := range uint64(20) {
				rnd := rand.New(rand.NewPCG(seed, 1))
				g, now := NewGrantor(), time.Now()
				limit := KnownLimit{Observation: Observation{Server: 1, Limit: RateWithin(most), Limited: true, At: now}, Since: now}
				var used []time.Time
				for range 20_000 {
					now = now.Add(time.Duration(rnd.Int64N(int64(time.Millisecond))))
					if rnd.IntN(4000) == 0 {
						now = now.Add(time.Duration(rnd.Int64N(int64(3 * time.Second)))) // no requests
					}
					if g.Handle(limit, FleetView{IsGrantor: true, ReachableFraction: 1}, now).Granted {
						used = append(used, now.Add(time.Duration(rnd.Int64N(int64(permitTimeout)))))
					}
				}
				is.True(len(used) > 0)
				is.True(float64(mostInSecond(used)) <= most)
			}
		})
	}
}

// mostInSecond returns the largest number of times within one second.
func mostInSecond(times []time.Time) int {
	slices.SortFunc(times, time.Time.Compare)
	most, first := 0, 0
	for i, at := range times {
		for at.Sub(times[first]) >= time.Second {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}
