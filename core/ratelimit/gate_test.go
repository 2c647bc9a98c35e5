package ratelimit

import (
	"context"
	"errors"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"baywall.example/core/clock"
	"baywall.example/core/vm"
)

// fakeNetwork is a Network in which another gateway is the grantor by default.
type fakeNetwork struct {
	own, unknown  bool
	requestPermit func(ctx context.Context) (Grant, error)
}

func (n *fakeNetwork) Grantor(Key) (vm.ID, bool, bool) { return "g", n.own, !n.unknown }
func (n *fakeNetwork) ReachableFraction() float64      { return 1 }
func (n *fakeNetwork) RequestPermit(ctx context.Context, _ vm.ID, _ Observation) (Grant, error) {
	return n.requestPermit(ctx)
}

func newTestGate(n *fakeNetwork, limit float64) *Gate {
	table := newTestTable()
	now := clock.Now()
	table.Record(1, limitedTo(limit), now, now)
	return NewGate(table, n)
}

func TestGateWithoutLimitIsOpen(t *testing.T) {
	is := is.New(t)
	g := newTestGate(&fakeNetwork{}, 1)
	_, _, limited := g.Opens(2)
	is.True(!limited)
	is.NoErr(g.Take(t.Context(), 2))
	is.Equal(g.Counts(), Counts{})
}

func TestEachRequestNeedsPermit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		requests := 0
		net := &fakeNetwork{requestPermit: func(context.Context) (Grant, error) {
			requests++
			return Grant{Granted: requests < 3, Wait: time.Second}, nil
		}}
		g := newTestGate(net, 1)
		is.NoErr(g.Take(t.Context(), 1))
		is.NoErr(g.Take(t.Context(), 1))
		is.True(errors.Is(g.Take(t.Context(), 1), ErrClosed))
		is.True(errors.Is(g.Take(t.Context(), 1), ErrClosed)) // no further permit request
		is.Equal(requests, 3)
		at, limit, limited := g.Opens(1)
		is.True(limited)
		is.Equal(limit.Limit, 1.0)
		is.Equal(at.Sub(clock.Now()), time.Second)
		time.Sleep(time.Second)
		is.True(errors.Is(g.Take(t.Context(), 1), ErrClosed))
		is.Equal(requests, 4)
		is.Equal(g.Counts(), Counts{Got: 2, Denied: 2})
	})
}

// A grantor that does not answer must delay requests by one permitTimeout at most. Until
// the backoff has ended, further requests must not wait.
func TestUnresponsiveGrantorCostsOneTimeout(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		net := &fakeNetwork{requestPermit: func(ctx context.Context) (Grant, error) {
			<-ctx.Done()
			return Grant{}, ctx.Err()
		}}
		g := newTestGate(net, 1)
		began := time.Now()
		var wg sync.WaitGroup
		for range 10 {
			wg.Go(func() { is.True(errors.Is(g.Take(t.Context(), 1), ErrClosed)) })
		}
		wg.Wait()
		is.Equal(time.Since(began), permitTimeout)
		is.True(errors.Is(g.Take(t.Context(), 1), ErrClosed))
		is.Equal(time.Since(began), permitTimeout)
		is.Equal(g.Counts(), Counts{Unanswered: 1})
		net.unknown = true
		time.Sleep(unansweredBackoff)
		is.True(errors.Is(g.Take(t.Context(), 1), ErrClosed)) // no grantor is known
	})
}

// The grantor's own observation of a limit counts if it is newer than that of the
// requester.
func TestGrantorUsesItsNewerObservation(t *testing.T) {
	is := is.New(t)
	g := newTestGate(&fakeNetwork{own: true}, 1)
	now := clock.Now()
	// Before settleTime has passed.
	is.True(!g.Grant(Observation{Server: 1, Limit: 1, Limited: true, At: now.Add(-time.Second)}).Granted)
	g.table.Record(1, unlimited, now.Add(time.Second), now)
	is.True(g.Grant(Observation{Server: 1, Limit: 1, Limited: true, At: now}).Granted)
	g = newTestGate(&fakeNetwork{own: false}, 1)
	is.True(g.Grant(Observation{Server: 1, Limit: 1, Limited: true, At: now}).Elsewhere)
}

func BenchmarkTakeWithoutALimit(b *testing.B) {
	g := newTestGate(&fakeNetwork{}, 1)
	for b.Loop() {
		_ = g.Take(b.Context(), 2)
	}
}

func BenchmarkOpens(b *testing.B) {
	g := newTestGate(&fakeNetwork{}, 1)
	for b.Loop() {
		_, _, _ = g.Opens(1)
	}
}

func BenchmarkGrant(b *testing.B) {
	g := newTestGate(&fakeNetwork{own: true}, 1)
	limit, _ := g.table.Get(1)
	for b.Loop() {
		_ = g.Grant(limit.Observation)
	}
}

func BenchmarkToldOf30(b *testing.B) {
	table := newTestTable()
	now := clock.Now()
	for i := range 30 {
		table.Record(Key(i), limitedTo(1), now, now)
	}
	now = now.Add(2 * freshTime)
	for b.Loop() {
		_ = table.Report(now)
	}
}

// A caller that leaves during a permit request must not cancel the exchange, which other
// callers share. Nothing is sent for that caller.
func TestCallerThatLeavesDoesNotCancelPermitRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		net := &fakeNetwork{requestPermit: func(ctx context.Context) (Grant, error) {
			time.Sleep(permitTimeout / 2)
			return Grant{Granted: true}, ctx.Err()
		}}
		g := newTestGate(net, 1)
		ctx, leave := context.WithCancel(t.Context())
		time.AfterFunc(permitTimeout/4, leave)
		is.True(errors.Is(g.Take(ctx, 1), ErrClosed))
		is.Equal(g.Counts(), Counts{Got: 1}) // it was answered
		at, _, _ := g.Opens(1)
		is.True(!at.After(clock.Now())) // others may request a permit at once
		is.NoErr(g.Take(t.Context(), 1))
	})
}
