package broken

import (
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// firstWrite is how much is written, in bytes, before a reader that is to get a reset has got it.
const firstWrite = 16 << 10

// resetConn is a client's connection on which a chosen side gets the error of a reset.
type resetConn struct {
	net.Conn
	toWriter bool
	received atomic.Bool   // something was read
	reset    chan struct{} // closed by end when that side has got it
	end      func()
}

// ReportReset returns a client's connection on which the writer or the reader gets the error of a reset:
// the other one makes no call that could get it before.
func ReportReset(raw net.Conn, toWriter bool) net.Conn {
	c := &resetConn{Conn: raw, toWriter: toWriter, reset: make(chan struct{})}
	c.end = sync.OnceFunc(func() { close(c.reset) })
	return c
}

// Read implements net.Conn.
func (c *resetConn) Read(p []byte) (int, error) {
	if c.toWriter && c.received.Load() {
		<-c.reset
	}
	n, err := c.Conn.Read(p)
	c.received.Store(true)
	if err != nil && !c.toWriter {
		c.end()
	}
	return n, err
}

// Write implements net.Conn.
func (c *resetConn) Write(p []byte) (int, error) {
	first := 0
	if len(p) > firstWrite && !c.toWriter {
		first, _ = c.Conn.Write(p[:firstWrite])
		<-c.reset
	}
	n, err := c.Conn.Write(p[first:])
	if err != nil && c.toWriter {
		c.end()
		time.Sleep(StallTime) // the reader goes first now: the writer may close the connection
	}
	return first + n, err
}
