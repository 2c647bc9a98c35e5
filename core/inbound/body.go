package inbound

import (
	"context"
	"errors"
	"io"
	"net/http"
	"os"
	"time"

	"github.com/rotisserie/eris"
)

// Errors of ReadBody, besides ErrNoRoom.
var (
	// ErrBodyTooLarge means that a body is over its limit.
	ErrBodyTooLarge = eris.New("inbound: body too large")
	// ErrBodySlow means that a body was slow while others waited for room.
	ErrBodySlow = eris.New("inbound: body too slow while others wait")
	// ErrBodyTimeout means that a body was not complete in time.
	ErrBodyTimeout = eris.New("inbound: body not complete in time")
)

const (
	// ordinaryBody is the size up to which a body is part of its connection's cost, in bytes.
	ordinaryBody = 8 << 10
	// mediumBody is the size, in bytes, up to which a body of unknown length has a reservation before it
	// gets one for the largest body.
	mediumBody = 64 << 10
)

// ReadBody reads the body of a request, which may have up to limit bytes, until a time. The body's
// memory is released after the answer. It fails with ErrBodyTooLarge, ErrNoRoom, ErrBodySlow,
// ErrBodyTimeout or an error of the connection; the connection then closes after the answer.
func ReadBody(w http.ResponseWriter, r *http.Request, limit int64, until time.Time) ([]byte, error) {
	if r.ContentLength > limit {
		CloseAfter(w, r)
		return nil, ErrBodyTooLarge
	}
	if r.ContentLength == 0 {
		return nil, nil
	}
	c := connOf(r.Context())
	if c == nil {
		return (&bodyReader{body: r.Body, limit: limit}).read(r.ContentLength)
	}
	body, err := c.readBody(r, limit, until)
	if err != nil {
		CloseAfter(w, r)
	}
	return body, err
}

// readBody reads a body within the budget.
func (c *Conn) readBody(r *http.Request, limit int64, until time.Time) ([]byte, error) {
	hold := &c.bodyHold
	c.inBody.Store(true)
	c.listener.move(c, phaseBody)
	_ = c.SetReadDeadline(until) // fails if the client has left; then reading does, too
	hold.BeginReceiving(func() { _ = c.SetReadDeadline(time.Unix(1, 0)) })

	body, err := (&bodyReader{body: r.Body, limit: limit, hold: hold, gone: c.gone}).read(r.ContentLength)

	ended := hold.EndReceiving()
	c.inBody.Store(false)
	c.listener.move(c, phaseServing)
	if err == nil {
		c.bodyUnread = false
		_ = c.SetReadDeadline(time.Time{})
		r.Trailer = nil // nothing uses it
		return body, nil
	}
	hold.Release()
	err = bodyError(err, ended)
	c.listener.countBody(err)
	return nil, err
}

// bodyError returns the error of ReadBody for an error in reading.
func bodyError(err error, ended bool) error {
	switch {
	case ended:
		return ErrBodySlow
	case errors.Is(err, os.ErrDeadlineExceeded):
		return ErrBodyTimeout
	default:
		return err
	}
}

func (l *Listener) countBody(err error) {
	switch {
	case errors.Is(err, ErrNoRoom):
		l.counts.add(ReasonBodyRoom)
	case errors.Is(err, ErrBodySlow):
		l.counts.add(ReasonBodySlow)
	case errors.Is(err, ErrBodyTimeout):
		l.counts.add(ReasonBodyTimeout)
	}
}

// bodyReader reads one body.
type bodyReader struct {
	body  io.Reader
	limit int64
	hold  *Hold // nil = without a budget
	gone  <-chan struct{}
}

// read reads the body, whose length is -1 if it is not declared.
func (b *bodyReader) read(length int64) ([]byte, error) {
	if length >= 0 {
		return b.readDeclared(length)
	}
	return b.readUndeclared()
}

func (b *bodyReader) readDeclared(length int64) ([]byte, error) {
	if err := b.reserve(0, length); err != nil {
		return nil, err
	}
	buf := make([]byte, length)
	_, err := io.ReadFull(b.body, buf)
	return buf, err
}

// readUndeclared reads a body of unknown length. When a buffer is full, a larger one is reserved.
func (b *bodyReader) readUndeclared() ([]byte, error) {
	var buf []byte
	for _, size := range []int64{ordinaryBody, mediumBody, b.largeStep(), b.limit + 1} {
		size = min(size, b.limit+1) // one more than allowed tells whether there is more
		if size <= int64(len(buf)) {
			continue
		}
		if err := b.reserve(int64(len(buf)), size); err != nil {
			return nil, err
		}
		next := make([]byte, size)
		copy(next, buf)
		n, err := io.ReadFull(b.body, next[len(buf):])
		buf = next[:len(buf)+n]
		if err == io.EOF || err == io.ErrUnexpectedEOF {
			return b.trim(buf), nil
		}
		if err != nil {
			return nil, err
		}
	}
	return nil, ErrBodyTooLarge
}

// largeStep is the size of the buffer after mediumBody: half of the budget, so that a small budget has
// room for a body that takes less than the largest one.
func (b *bodyReader) largeStep() int64 {
	if b.hold == nil {
		return b.limit + 1
	}
	return max(mediumBody, b.hold.budget.Limit()/2)
}

// reserve reserves memory for a buffer that replaces one of the size before.
func (b *bodyReader) reserve(before, size int64) error {
	if b.hold == nil || size <= ordinaryBody {
		return nil
	}
	if before <= ordinaryBody {
		before = 0
	}
	return b.hold.Reserve(size-before, b.gone)
}

// trim returns a body without the unused part of its buffer, if that is large.
func (b *bodyReader) trim(buf []byte) []byte {
	if cap(buf) <= 2*len(buf) || cap(buf) <= ordinaryBody {
		return buf
	}
	out := append(make([]byte, 0, len(buf)), buf...)
	if b.hold != nil {
		b.hold.Shrink(int64(len(out)))
	}
	return out
}

// Reserve reserves memory, in bytes, for what the answer to a request takes until it has been sent. If
// there is no room, it waits for a moment, and returns ErrNoRoom after that.
func Reserve(ctx context.Context, size int64) error {
	c := connOf(ctx)
	if c == nil || size <= ordinaryBody {
		return nil
	}
	err := c.bodyHold.Reserve(size, c.gone)
	if err != nil {
		c.listener.counts.add(ReasonAnswerRoom)
	}
	return err
}

// Buffer reserves memory for a part of the answer to a request, and reports whether there is room.
// It is released after the answer.
func Buffer(ctx context.Context, size int64) bool {
	c := connOf(ctx)
	if c == nil || size <= ordinaryBody {
		return true
	}
	return c.bodyHold.TryReserve(size)
}
