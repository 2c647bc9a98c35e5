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

// fakeNetwork is a network in which another gateway grants.
type fakeNetwork struct {
	own, unknown bool
	ask          func(ctx context.Context) (Grant, error)
}

func (n *fakeNetwork) Grantor(Key) (vm.ID, bool, bool) { return "g", n.own, !n.unknown }
func (n *fakeNetwork) Part() float64                   { return 1 }
func (n *fakeNetwork) Ask(ctx context.Context, _ vm.ID, _ Statement) (Grant, error) {
	return n.ask(ctx)
}

func newTestGate(n *fakeNetwork, limit float64) *Gate {
	table := newTestTable()
	now := clock.Now()
	table.Heard(1, named(limit), now, now)
	return NewGate(table, n)
}

func TestAGateWithoutALimitIsOpen(t *testing.T) {
	is := is.New(t)
	g := newTestGate(&fakeNetwork{}, 1)
	_, _, limited := g.Opens(2)
	is.True(!limited)
	is.NoErr(g.Take(t.Context(), 2))
	is.Equal(g.Counts(), Counts{})
}

func TestAPermitIsAskedForEachRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		asks := 0
		net := &fakeNetwork{ask: func(context.Context) (Grant, error) {
			asks++
			return Grant{Granted: asks < 3, Wait: time.Second}, nil
		}}
		g := newTestGate(net, 1)
		is.NoErr(g.Take(t.Context(), 1))
		is.NoErr(g.Take(t.Context(), 1))
		is.True(errors.Is(g.Take(t.Context(), 1), ErrClosed))
		is.True(errors.Is(g.Take(t.Context(), 1), ErrClosed)) // not asked again
		is.Equal(asks, 3)
		at, limit, limited := g.Opens(1)
		is.True(limited)
		is.Equal(limit.Limit, 1.0)
		is.Equal(at.Sub(clock.Now()), time.Second)
		time.Sleep(time.Second)
		is.True(errors.Is(g.Take(t.Context(), 1), ErrClosed))
		is.Equal(asks, 4)
		is.Equal(g.Counts(), Counts{Got: 2, Lacked: 2})
	})
}

// A gateway that does not answer costs a request askTimeout at most, and then nothing.
func TestASilentGrantorIsNotWaitedFor(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		net := &fakeNetwork{ask: func(ctx context.Context) (Grant, error) {
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
		is.Equal(time.Since(began), askTimeout)
		is.True(errors.Is(g.Take(t.Context(), 1), ErrClosed))
		is.Equal(time.Since(began), askTimeout)
		is.Equal(g.Counts(), Counts{Unanswered: 1})
		net.unknown = true
		time.Sleep(silentPause)
		is.True(errors.Is(g.Take(t.Context(), 1), ErrClosed)) // nobody grants
	})
}

// What the one that grants knows of a limit counts if it is later.
func TestAGrantorKnowsBetter(t *testing.T) {
	is := is.New(t)
	g := newTestGate(&fakeNetwork{own: true}, 1)
	now := clock.Now()
	is.True(!g.Grant(Statement{Server: 1, Limit: 1, Limited: true, At: now.Add(-time.Second)}).Granted) // it settles
	g.table.Heard(1, ended, now.Add(time.Second), now)
	is.True(g.Grant(Statement{Server: 1, Limit: 1, Limited: true, At: now}).Granted)
	g = newTestGate(&fakeNetwork{own: false}, 1)
	is.True(g.Grant(Statement{Server: 1, Limit: 1, Limited: true, At: now}).Elsewhere)
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
		_ = g.Grant(limit.Statement)
	}
}

func BenchmarkToldOf30(b *testing.B) {
	table := newTestTable()
	now := clock.Now()
	for i := range 30 {
		table.Heard(Key(i), named(1), now, now)
	}
	now = now.Add(2 * freshTime)
	for b.Loop() {
		_ = table.Told(now)
	}
}

// A caller that leaves while a permit is asked for does not end the exchange, which others
// have in common; nothing is sent for it.
func TestACallerThatLeavesDoesNotEndTheAsk(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		net := &fakeNetwork{ask: func(ctx context.Context) (Grant, error) {
			time.Sleep(askTimeout / 2)
			return Grant{Granted: true}, ctx.Err()
		}}
		g := newTestGate(net, 1)
		ctx, leave := context.WithCancel(t.Context())
		time.AfterFunc(askTimeout/4, leave)
		is.True(errors.Is(g.Take(ctx, 1), ErrClosed))
		is.Equal(g.Counts(), Counts{Got: 1}) // it was answered
		at, _, _ := g.Opens(1)
		is.True(!at.After(clock.Now())) // others may ask at once
		is.NoErr(g.Take(t.Context(), 1))
	})
}
