package record

import (
	"context"
	"sync"

	"github.com/rotisserie/eris"

	"baywall.example/core/wire"
)

// window bounds the bytes of one answer that are kept, and how far the engine may run
// ahead of the slowest reader.
const window = 256 << 10

// Errors of an Answer.
var (
	// ErrEvicted means that the requested part of the answer is no longer kept.
	ErrEvicted = eris.New("record: answer evicted")
	// ErrAborted means that the engine did not finish the answer.
	ErrAborted = eris.New("record: answer aborted")
	// ErrTombstoned means that the attempt did not run and never will.
	ErrTombstoned = eris.New("record: attempt tombstoned")
)

// Head is the status line and header of an answer.
type Head struct {
	Status  int
	Headers []*wire.Header
}

// Answer is one answer, from its production until it is dropped. One goroutine produces
// it; any number may read it, each from its own offset.
type Answer struct {
	mu      sync.Mutex
	cond    *sync.Cond
	head    *Head
	buffer  []byte
	base    int64 // offset of buffer[0]
	done    bool
	err     error
	dropped bool
	readers map[*Reader]struct{}
}

func newAnswer() *Answer {
	a := &Answer{readers: make(map[*Reader]struct{})}
	a.cond = sync.NewCond(&a.mu)
	return a
}

// SetHead publishes the head.
func (a *Answer) SetHead(h Head) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.head = &h
	a.cond.Broadcast()
}

// SetAll publishes a complete answer at once, or the available part of it with an error.
func (a *Answer) SetAll(h Head, body []byte, err error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.head, a.buffer, a.done, a.err = &h, body, true, err
	a.cond.Broadcast()
}

// Append adds bytes. It waits while a reader is more than the window behind,
// and fails once the context ends.
func (a *Answer) Append(ctx context.Context, p []byte) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.buffer = append(a.buffer, p...)
	a.trim()
	if len(a.buffer) > window && len(a.readers) > 0 {
		stop := context.AfterFunc(ctx, a.broadcast)
		defer stop()
		for len(a.buffer) > window && len(a.readers) > 0 && ctx.Err() == nil {
			a.cond.Broadcast()
			a.cond.Wait()
			a.trim()
		}
	}
	a.cond.Broadcast()
	return ctx.Err()
}

// trim drops bytes beyond the window that every reader has passed.
func (a *Answer) trim() {
	excess := int64(len(a.buffer) - window)
	for r := range a.readers {
		excess = min(excess, r.offset-a.base)
	}
	if excess <= 0 {
		return
	}
	a.buffer = append(a.buffer[:0], a.buffer[excess:]...)
	a.base += excess
}

// Finish ends the answer; a non-nil error means that it is incomplete. Only the first
// call has an effect.
func (a *Answer) Finish(err error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.done {
		return
	}
	a.done = true
	a.err = err
	a.cond.Broadcast()
}

func (a *Answer) broadcast() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.cond.Broadcast()
}

// size returns the number of buffered bytes.
func (a *Answer) size() int64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	return int64(len(a.buffer))
}

// drop frees the buffered bytes and returns their number.
func (a *Answer) drop() int64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.dropped {
		return 0
	}
	n := int64(len(a.buffer))
	a.base += n
	a.buffer = nil
	a.dropped = true
	a.cond.Broadcast()
	return n
}

// Readers returns the number of attached readers.
func (a *Answer) Readers() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return len(a.readers)
}

// Reader reads one answer from an offset.
type Reader struct {
	answer *Answer
	offset int64
}

// Attach returns a reader that starts at the offset; it must be detached after use.
func (a *Answer) Attach(offset int64) *Reader {
	a.mu.Lock()
	defer a.mu.Unlock()
	r := &Reader{answer: a, offset: offset}
	a.readers[r] = struct{}{}
	return r
}

// Detach removes the reader and returns how many are left.
func (r *Reader) Detach() int {
	r.answer.mu.Lock()
	defer r.answer.mu.Unlock()
	delete(r.answer.readers, r)
	r.answer.cond.Broadcast()
	return len(r.answer.readers)
}

// Head waits for the head.
func (r *Reader) Head(ctx context.Context) (Head, error) {
	a := r.answer
	a.mu.Lock()
	defer a.mu.Unlock()
	stop := context.AfterFunc(ctx, a.broadcast)
	defer stop()
	for a.head == nil && !a.done && ctx.Err() == nil {
		a.cond.Wait()
	}
	if a.head != nil {
		return *a.head, nil
	}
	if a.done && a.err != nil {
		return Head{}, a.err
	}
	return Head{}, ctx.Err()
}

// Next waits for more bytes and copies them to p. It returns n > 0, or done at the end of
// the answer, or an error if the answer is incomplete or the bytes at the reader's offset
// are no longer kept.
func (r *Reader) Next(ctx context.Context, p []byte) (n int, done bool, err error) {
	a := r.answer
	a.mu.Lock()
	defer a.mu.Unlock()
	stop := context.AfterFunc(ctx, a.broadcast)
	defer stop()
	for r.offset >= a.base+int64(len(a.buffer)) && !a.done && !a.dropped && ctx.Err() == nil {
		a.cond.Wait()
	}
	if r.offset < a.base {
		return 0, false, ErrEvicted
	}
	if at := r.offset - a.base; at < int64(len(a.buffer)) {
		n = copy(p, a.buffer[at:])
		r.offset += int64(n)
		if len(a.buffer) > window {
			a.cond.Broadcast()
		}
		return n, false, nil
	}
	if a.done {
		return 0, a.err == nil, a.err
	}
	return 0, false, ctx.Err()
}

// Ready reports whether Next returns without waiting.
func (r *Reader) Ready() bool {
	r.answer.mu.Lock()
	defer r.answer.mu.Unlock()
	a := r.answer
	return r.offset < a.base+int64(len(a.buffer)) || a.done || a.dropped
}

// Offset returns the offset of the next byte.
func (r *Reader) Offset() int64 {
	r.answer.mu.Lock()
	defer r.answer.mu.Unlock()
	return r.offset
}
