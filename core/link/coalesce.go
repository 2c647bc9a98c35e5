package link

import (
	"encoding/binary"
	"net"
	"sync"

	"github.com/rotisserie/eris"
)

const (
	// maxPending is how many bytes may be buffered before Write blocks.
	maxPending = 256 << 10
	// maxRetainedBuffer is the largest buffer, in bytes, that is retained for reuse.
	maxRetainedBuffer = 64 << 10
	// frameHeaderSize is the size of a yamux frame header, and frameTypeOffset and
	// frameLengthOffset are the offsets of its type and length. Type 0 is data.
	frameHeaderSize   = 12
	frameTypeOffset   = 1
	frameLengthOffset = 8
)

// coalescingConn combines small writes. The session writes the header and the body of each
// frame separately, and many short frames in succession; each of these writes would be a
// system call and a packet. Write appends to a buffer that a second goroutine drains, so
// data written during one system call is sent with the next. The header of a data frame
// is held back until its body is written.
type coalescingConn struct {
	net.Conn

	mu           sync.Mutex
	changed      *sync.Cond
	pending      []byte
	spare        []byte
	awaitingBody bool // pending ends with a header whose body is not written yet
	err          error
}

func newCoalescingConn(conn net.Conn) *coalescingConn {
	c := &coalescingConn{Conn: conn}
	c.changed = sync.NewCond(&c.mu)
	go c.flushLoop()
	return c
}

// Write appends p to the buffer. It returns the error of an earlier write, if any.
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
	c.awaitingBody = !c.awaitingBody && isDataHeader(p)
	if !c.awaitingBody {
		c.changed.Broadcast()
	}
	return len(p), nil
}

func isDataHeader(p []byte) bool {
	return len(p) == frameHeaderSize && p[frameTypeOffset] == 0 && binary.BigEndian.Uint32(p[frameLengthOffset:]) > 0
}

func (c *coalescingConn) flushLoop() {
	for {
		batch, err := c.nextBatch()
		if err != nil {
			return
		}
		if _, err := c.Conn.Write(batch); err != nil {
			c.fail(err)
			return
		}
	}
}

// nextBatch waits until there is data to write and returns it.
func (c *coalescingConn) nextBatch() ([]byte, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for (len(c.pending) == 0 || c.awaitingBody) && c.err == nil {
		c.changed.Wait()
	}
	batch := c.pending
	c.pending, c.spare = c.spare[:0], batch
	if cap(batch) > maxRetainedBuffer {
		c.spare = nil // do not hold the memory of one large message forever
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

// errClosed is returned by writes to a closed connection.
var errClosed = eris.Wrap(ErrLost, "closed")

// Close closes the connection; data that is still in the buffer may be lost.
func (c *coalescingConn) Close() error {
	c.fail(errClosed)
	return c.Conn.Close()
}
