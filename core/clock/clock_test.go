package clock

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestTimesIncludeSuspensions(t *testing.T) {
	is := is.New(t)
	before := Now()
	is.True(Since(before) < 10*time.Second)
	SimulateSuspension(time.Minute)
	is.True(Since(before) >= time.Minute)
	is.True(Until(before.Add(2*time.Minute)) <= time.Minute)
	is.True(Suspended() >= time.Minute)
	is.True(time.Until(Wall(Now())).Abs() < time.Second) // the wall clock includes the suspension
}

// A small difference between the two clock readings, as when the process is descheduled
// between them, does not count as a suspension, and a decreasing difference has no effect.
func TestSmallAndNegativeDifferencesAreIgnored(t *testing.T) {
	is := is.New(t)
	ahead := int64(5 * time.Hour) // the machine was suspended before the process started
	m := newMeter(func() int64 { return ahead })
	is.Equal(m.suspended(), time.Duration(0))
	ahead += minSuspension - 1
	is.Equal(m.suspended(), time.Duration(0))
	ahead += int64(3 * time.Second)
	suspended := m.suspended()
	is.True(suspended >= 3*time.Second)
	ahead -= int64(time.Hour)
	is.Equal(m.suspended(), suspended)
}

func TestDeadlineExpiresDuringSuspension(t *testing.T) {
	is := is.New(t)
	ctx, cancel := WithDeadline(t.Context(), Now().Add(time.Minute))
	defer cancel()
	child, stop := context.WithCancel(ctx)
	defer stop()
	is.NoErr(ctx.Err())
	SimulateSuspension(30 * time.Second)
	at, ok := ctx.Deadline()
	is.True(ok)
	is.True(time.Until(at) <= 30*time.Second)
	time.Sleep(3 * wakeInterval)
	is.NoErr(ctx.Err())
	SimulateSuspension(30 * time.Second)
	select {
	case <-child.Done():
	case <-time.After(time.Second):
		t.Fatal("the context did not end at its deadline")
	}
	is.Equal(ctx.Err(), context.DeadlineExceeded)
}

func TestDeadlineExpires(t *testing.T) {
	is := is.New(t)
	ctx, cancel := WithDeadline(t.Context(), Now().Add(20*time.Millisecond))
	defer cancel()
	select {
	case <-ctx.Done():
	case <-time.After(time.Second):
		t.Fatal("the context did not end at its deadline")
	}
	is.Equal(ctx.Err(), context.DeadlineExceeded)
	other, cancel := WithDeadline(t.Context(), Now().Add(time.Minute))
	cancel()
	is.Equal(other.Err(), context.Canceled)
}

func BenchmarkNow(b *testing.B) {
	for b.Loop() {
		_ = Now()
	}
}

func BenchmarkTimeNow(b *testing.B) {
	for b.Loop() {
		_ = time.Now()
	}
}
