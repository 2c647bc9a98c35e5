package clock

import (
	"context"
	"sync"
	"time"
)

// WithDeadline returns a context that ends at the given value of Now. If the machine is
// suspended at that time, the context ends shortly after the machine resumes.
func WithDeadline(parent context.Context, at time.Time) (context.Context, context.CancelFunc) {
	inner, cancel := context.WithCancelCause(parent)
	c := &deadlineContext{Context: inner, at: at, cancel: cancel}
	c.timer = time.AfterFunc(Until(at), c.expire)
	remove := wakeups.add(c.resetTimer)
	return c, func() {
		remove()
		c.timer.Stop()
		cancel(context.Canceled)
	}
}

// deadlineContext is a context whose deadline includes suspensions of the machine.
type deadlineContext struct {
	context.Context
	at     time.Time
	cancel context.CancelCauseFunc
	timer  *time.Timer
}

func (c *deadlineContext) expire() { c.cancel(context.DeadlineExceeded) }

// resetTimer sets the timer to the remaining time: the timer stopped during a suspension.
func (c *deadlineContext) resetTimer() { c.timer.Reset(Until(c.at)) }

// Deadline returns the deadline on the runtime's clock, assuming that the machine is not
// suspended before it.
func (c *deadlineContext) Deadline() (time.Time, bool) {
	at := time.Now().Add(Until(c.at))
	if outer, ok := c.Context.Deadline(); ok && outer.Before(at) {
		return outer, true
	}
	return at, true
}

// Err returns context.DeadlineExceeded after the deadline.
func (c *deadlineContext) Err() error {
	err := c.Context.Err()
	if err != nil && context.Cause(c.Context) == context.DeadlineExceeded {
		return context.DeadlineExceeded
	}
	return err
}

// wakeInterval is the interval at which listeners.watch checks for a suspension. A deadline
// that passed during a suspension is noticed at most this long after the machine resumes.
const wakeInterval = 50 * time.Millisecond

// wakeups holds the functions that are called after a suspension of the machine.
var wakeups = &listeners{calls: make(map[uint64]func())}

// listeners is a set of callbacks. It is safe for concurrent use.
type listeners struct {
	mu       sync.Mutex
	next     uint64
	calls    map[uint64]func()
	watching bool
}

// add registers a function to be called after each suspension. The returned function
// removes it.
func (l *listeners) add(call func()) (remove func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.next++
	id := l.next
	l.calls[id] = call
	if !l.watching {
		l.watching = true
		go l.watch(Suspended())
	}
	return func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		delete(l.calls, id)
	}
}

// watch checks for suspensions periodically until there are no callbacks left.
func (l *listeners) watch(known time.Duration) {
	for {
		time.Sleep(wakeInterval)
		now := Suspended()
		l.mu.Lock()
		if len(l.calls) == 0 {
			l.watching = false
			l.mu.Unlock()
			return
		}
		if now > known {
			for _, call := range l.calls {
				call()
			}
		}
		l.mu.Unlock()
		known = now
	}
}
