package inbound

import (
	"errors"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

const (
	mb = 1 << 20
	// testMaxWait and testMinRate are those of the budgets of these tests.
	testMaxWait = 500 * time.Millisecond
	testMinRate = 256 << 10
)

func newTestBudget(limit int64) *Budget { return NewBudget(limit, testMaxWait, testMinRate) }

// reserve reserves bytes for a new hold.
func reserve(t *testing.T, b *Budget, bytes int64) *Hold {
	t.Helper()
	h := b.NewHold()
	if err := h.Reserve(bytes, nil); err != nil {
		t.Fatal(err)
	}
	return h
}

func TestSmallReservationsFindRoomWhenLargeOnesFillTheBudget(t *testing.T) {
	is := is.New(t)
	b := newTestBudget(16 * mb)
	for b.NewHold().TryReserve(4 * mb) {
	}
	is.True(!b.NewHold().TryReserve(4 * mb))
	for range 1000 {
		is.True(b.NewHold().TryReserve(1000))
	}
	is.True(b.Used() <= b.Limit())
}

func TestTheOnlyReservationMayTakeTheWholeBudget(t *testing.T) {
	is := is.New(t)
	b := newTestBudget(4 * mb)
	h := reserve(t, b, 4*mb)
	is.True(!b.NewHold().TryReserve(1))
	h.Shrink(mb)
	is.True(b.NewHold().TryReserve(mb))
}

func TestAReservationWaitsForRoom(t *testing.T) {
	is := is.New(t)
	b := newTestBudget(4 * mb)
	first := reserve(t, b, 4*mb)
	time.AfterFunc(testMaxWait/4, first.Release)
	second := reserve(t, b, 4*mb)
	second.Release()
	is.Equal(b.Used(), int64(0))
}

func TestAReservationThatWaitsTooLongFails(t *testing.T) {
	is := is.New(t)
	b := newTestBudget(4 * mb)
	first := reserve(t, b, 4*mb)
	is.True(errors.Is(b.NewHold().Reserve(mb, nil), ErrNoRoom))
	first.Release()
	is.Equal(b.Used(), int64(0)) // the one that failed is not granted any more
}

// What is known to find no room is refused at once.
func TestAReservationBehindAFullQueueFailsAtOnce(t *testing.T) {
	is := is.New(t)
	b := newTestBudget(4 * mb)
	first := reserve(t, b, 4*mb)
	defer first.Release()
	var waiting sync.WaitGroup
	waiting.Go(func() { _ = b.NewHold().Reserve(4*mb, nil) })
	for b.queuedBytes() == 0 {
		time.Sleep(time.Millisecond)
	}
	began := time.Now()
	is.True(errors.Is(b.NewHold().Reserve(mb, nil), ErrNoRoom))
	is.True(time.Since(began) < testMaxWait/2)
	waiting.Wait()
}

func (b *Budget) queuedBytes() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.queued
}

// sender is a hold whose data is being received at a constant rate until it is ended.
type sender struct {
	*Hold
	ended chan struct{}
}

func newSender(t *testing.T, b *Budget, bytes int64) *sender {
	s := &sender{Hold: reserve(t, b, bytes), ended: make(chan struct{})}
	s.BeginReceiving(func() { close(s.ended) })
	return s
}

func (s *sender) isEnded() bool {
	select {
	case <-s.ended:
		return true
	default:
		return false
	}
}

// The senders that hold a full budget are all silent; only as many as needed are ended.
func TestSlowSendersAreEndedWhileAReservationWaits(t *testing.T) {
	is := is.New(t)
	b := newTestBudget(16 * mb)
	senders := []*sender{newSender(t, b, 4*mb), newSender(t, b, 4*mb), newSender(t, b, 4*mb)}
	fast, stop := senders[1], make(chan struct{})
	var run sync.WaitGroup
	run.Go(func() {
		for {
			select {
			case <-stop:
				return
			case <-time.After(5 * time.Millisecond):
				fast.Received(64 << 10)
			}
		}
	})
	for _, s := range senders {
		if s == fast {
			continue
		}
		run.Go(func() {
			select {
			case <-s.ended:
				s.EndReceiving()
				s.Release()
			case <-stop:
			}
		})
	}
	time.Sleep(2 * rateWindow)
	reserve(t, b, 4*mb)
	close(stop)
	run.Wait()
	is.True(!fast.isEnded())
	is.True(senders[0].isEnded() != senders[2].isEnded()) // one was enough
}

func TestSlowSendersAreNotEndedWhileNothingWaits(t *testing.T) {
	is := is.New(t)
	b := newTestBudget(16 * mb)
	s := newSender(t, b, 4*mb)
	time.Sleep(2 * rateWindow)
	reserve(t, b, mb)
	is.True(!s.isEnded())
	is.True(!s.EndReceiving())
}

// A request that is whole keeps what it holds.
func TestWholeRequestsAreNotEnded(t *testing.T) {
	is := is.New(t)
	b := newTestBudget(8 * mb)
	s := newSender(t, b, 4*mb)
	is.True(!s.EndReceiving())
	time.Sleep(2 * rateWindow)
	is.True(errors.Is(b.NewHold().Reserve(4*mb, nil), ErrNoRoom))
	is.True(!s.isEnded())
}

// Whatever is reserved, shrunk and released, the sum stays within the budget and is exact.
func TestBudgetCountsWhatIsHeld(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := newTestBudget(rapid.Int64Range(1, 10_000).Draw(t, "limit"))
		holds := map[*Hold]int64{}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			bytes := rapid.Int64Range(0, 12_000).Draw(t, "bytes")
			if h := anyOf(t, holds); h != nil && rapid.Bool().Draw(t, "shrink") {
				h.Shrink(bytes)
				holds[h] = min(holds[h], bytes)
			} else if h := b.NewHold(); h.TryReserve(bytes) {
				holds[h] = bytes
			}
			sum := int64(0)
			for _, n := range holds {
				sum += n
			}
			if b.Used() != sum || sum > b.Limit() {
				t.Fatalf("used %d, held %d, limit %d", b.Used(), sum, b.Limit())
			}
		}
	})
}

func anyOf(t *rapid.T, holds map[*Hold]int64) *Hold {
	if len(holds) == 0 {
		return nil
	}
	skip := rapid.IntRange(0, len(holds)-1).Draw(t, "hold")
	for h := range holds {
		if skip == 0 {
			return h
		}
		skip--
	}
	return nil
}

// Thousands of bodies of some 100 kB left no room for one of a megabyte.
func TestLargeReservationsFindRoomWhenSmallOnesFillTheBudget(t *testing.T) {
	is := is.New(t)
	b := NewBudget(1_000_000, time.Millisecond, 1)
	const small, large = 10_000, 100_000
	var holds []*Hold
	for {
		h := b.NewHold()
		if !h.TryReserve(small) {
			break
		}
		holds = append(holds, h)
	}
	is.True(b.NewHold().TryReserve(large))
	holds[0].Release()
	is.True(holds[0].TryReserve(small))
}
