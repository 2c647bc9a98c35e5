package link

import (
	"encoding/binary"
	"net"
	"sync"

	"github.com/rotisserie/eris"
)

const (
	// maxPending is how many bytes may wait to be written before Write blocks.
	maxPending = 256 << 10
	// maxKept is the largest buffer, in bytes, that is kept for later writes.
	maxKept = 64 << 10
	// frameHeaderSize is the size of a yamux frame header, and frameTypeAt and
	// frameLengthAt are where its type and length stand. Type 0 is data.
	frameHeaderSize = 12
	frameTypeAt     = 1
	frameLengthAt   = 8
)

// coalescingConn joins small writes. The session writes each frame's header
// and body on their own, and many short frames one after the other; every one
// would be a system call and a packet. Writes are appended to a buffer that a
// second goroutine empties, so what comes while a system call runs goes out
// with the next one. The header of a data frame waits for its body.
type coalescingConn struct {
	net.Conn

	mu      sync.Mutex
	changed *sync.Cond
	pending []byte
	spare   []byte
	headed  bool // pending ends with a header whose body follows
	err     error
}

func newCoalescingConn(conn net.Conn) *coalescingConn {
	c := &coalescingConn{Conn: conn}
	c.changed = sync.NewCond(&c.mu)
	go c.flushLoop()
	return c
}

// Write appends p to the buffer. An error of an earlier write is returned.
func (c *coalescingConn) Write(p []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for len(c.pending) > maxPending && c.err == nil {
		c.changed.Wait()
	}
	if c.err != nil {
		return 0, c.err
	}
	c.pending = append(c.pending, p...)
	c.headed = !c.headed && isDataHeader(p)
	if !c.headed {
		c.changed.Broadcast()
	}
	return len(p), nil
}

func isDataHeader(p []byte) bool {
	return len(p) == frameHeaderSize && p[frameTypeAt] == 0 && binary.BigEndian.Uint32(p[frameLengthAt:]) > 0
}

func (c *coalescingConn) flushLoop() {
	for {
		batch, err := c.take()
		if err != nil {
			return
		}
		if _, err := c.Conn.Write(batch); err != nil {
			c.fail(err)
			return
		}
	}
}

// take waits for something to write.
func (c *coalescingConn) take() ([]byte, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for (len(c.pending) == 0 || c.headed) && c.err == nil {
		c.changed.Wait()
	}
	batch := c.pending
	c.pending, c.spare = c.spare[:0], batch
	if cap(batch) > maxKept {
		c.spare = nil // one large exchange must not cost its memory forever
	}
	c.changed.Broadcast()
	return batch, c.err
}

func (c *coalescingConn) fail(err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.err == nil {
		c.err = err
	}
	c.changed.Broadcast()
}

// errClosed is what writes to a closed connection return.
var errClosed = eris.Wrap(ErrLost, "closed")

// Close closes the connection; what is still in the buffer may not be sent.
func (c *coalescingConn) Close() error {
	c.fail(errClosed)
	return c.Conn.Close()
}
