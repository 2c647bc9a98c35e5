package server

import (
	"context"
	"sync"
)

// answerWindow bounds how far an answer is sent ahead of what the entry VM has passed on to its caller,
// so that slow callers fill no memory there. Nil is a window without a bound.
type answerWindow struct {
	size int64 // bytes

	mu           sync.Mutex
	acknowledged int64         // offset up to which the answer was passed on
	changed      chan struct{} // closed when acknowledged changes
}

// newAnswerWindow returns the window of an answer that is sent from an offset on, or nil if its size
// is 0.
func newAnswerWindow(size, offset int64) *answerWindow {
	if size <= 0 {
		return nil
	}
	return &answerWindow{size: size, acknowledged: offset, changed: make(chan struct{})}
}

// acknowledge records that the answer was passed on up to an offset.
func (w *answerWindow) acknowledge(offset int64) {
	if w == nil {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if offset <= w.acknowledged {
		return
	}
	w.acknowledged = offset
	close(w.changed)
	w.changed = make(chan struct{})
}

// isOpen reports whether the answer may be sent up to an offset.
func (w *answerWindow) isOpen(offset int64) bool {
	open, _ := w.state(offset)
	return open
}

// state reports whether the answer may be sent up to an offset, and returns a channel that is closed when
// the window moves.
func (w *answerWindow) state(offset int64) (open bool, changed <-chan struct{}) {
	if w == nil {
		return true, nil
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	return offset <= w.acknowledged+w.size, w.changed
}

// wait waits until the answer may be sent up to an offset, or the context ends.
func (w *answerWindow) wait(ctx context.Context, offset int64) error {
	for {
		open, changed := w.state(offset)
		if open {
			return nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}
