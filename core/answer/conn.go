package answer

import (
	"io"
	"net"
	"sync"
	"time"

	"github.com/rotisserie/eris"
)

// ErrCut means that the connection, with which an answer ended, ended before the request was written.
var ErrCut = eris.New("connection ended while the request was being written")

// writeTimeout bounds how long the end of a connection waits until it is known whether the request was
// written. A server that has closed the connection accepts no more, which shows after a round trip.
const writeTimeout = time.Second

// Conn is a client's connection that fails if an answer is malformed or was cut. At most one goroutine
// may read and one may write at a time.
type Conn struct {
	net.Conn

	mu   sync.Mutex
	head headScanner
	err  error // why the connection was given up, nil if it was not
	// requesting says that the request is not written yet, writing that a call of Write is in progress.
	requesting, writing bool
	writeErr            error         // of the request
	written             chan struct{} // closed when these three change; nil if nobody waits
}

// NewConn returns a connection on which no request has been sent.
func NewConn(raw net.Conn) *Conn { return &Conn{Conn: raw, head: headScanner{state: headComplete}} }

// NetConn returns the underlying connection.
func (c *Conn) NetConn() net.Conn { return c.Conn }

// BeginRequest begins an exchange. EndRequest must follow when the request has been written.
func (c *Conn) BeginRequest() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.head.reset()
	c.requesting, c.writeErr = true, nil
}

// EndRequest ends the writing of the request with its result.
func (c *Conn) EndRequest(err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.requesting = false
	c.recordWrite(err)
}

// Written reports whether the request was written.
func (c *Conn) Written() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.isWritten() && c.writeErr == nil
}

func (c *Conn) isWritten() bool { return !c.requesting && !c.writing }

// recordWrite records the result of a write and wakes who waits for it.
func (c *Conn) recordWrite(err error) {
	if c.writeErr == nil {
		c.writeErr = err
	}
	if c.written != nil {
		close(c.written)
		c.written = nil
	}
}

// ExpectHead begins another head of the same exchange. The buffered bytes are the first ones of that
// head, and were read before. The error is ErrMalformed.
func (c *Conn) ExpectHead(buffered []byte) error {
	c.mu.Lock()
	c.head.reset()
	c.mu.Unlock()
	return c.checkHead(buffered)
}

// checkHead checks the next bytes of a head, and gives the connection up if they are malformed.
func (c *Conn) checkHead(p []byte) error {
	c.mu.Lock()
	err := c.head.scan(p)
	c.mu.Unlock()
	if err != nil {
		c.giveUp(err)
	}
	return err
}

// headRead reports whether the head of the answer was read to its end since the exchange began.
func (c *Conn) headRead() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.head.state == headComplete
}

// Err returns why the connection was given up, nil if it was not.
func (c *Conn) Err() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.err
}

// giveUp closes the connection, and makes all that is done with it later fail with the error.
func (c *Conn) giveUp(err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.err == nil {
		c.err = err
		_ = c.Conn.Close() // the error says more
	}
}

// Read implements io.Reader. In place of io.EOF after a head it returns ErrCut unless the request was
// written.
func (c *Conn) Read(p []byte) (int, error) {
	if err := c.Err(); err != nil {
		return 0, err
	}
	n, err := c.Conn.Read(p)
	if n > 0 && c.checkHead(p[:n]) != nil {
		// One byte never completes the head that it belongs to. With none, an http.Transport would
		// take the connection for one that ended before it carried the request, and send the request
		// again.
		return 1, nil
	}
	if err == io.EOF && c.headRead() {
		err = c.endOfAnswer()
	}
	return n, err
}

// endOfAnswer returns io.EOF if the request was written, and ErrCut otherwise.
func (c *Conn) endOfAnswer() error {
	timeout := time.NewTimer(writeTimeout)
	defer timeout.Stop()
	for {
		written, changed, err := c.writeState()
		switch {
		case err != nil:
			return eris.Wrapf(ErrCut, "write: %v", err)
		case written:
			return io.EOF
		}
		select {
		case <-changed:
		case <-timeout.C:
			return eris.Wrapf(ErrCut, "not written after %v", writeTimeout)
		}
	}
}

// writeState reports whether the request was written, returns a channel that is closed when that
// changes, and the error of writing it.
func (c *Conn) writeState() (written bool, changed <-chan struct{}, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.written == nil {
		c.written = make(chan struct{})
	}
	return c.isWritten(), c.written, c.writeErr
}

// Write implements io.Writer.
func (c *Conn) Write(p []byte) (int, error) {
	if err := c.beginWrite(); err != nil {
		return 0, err
	}
	n, err := c.Conn.Write(p)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.writing = false
	c.recordWrite(err)
	return n, err
}

func (c *Conn) beginWrite() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.err == nil {
		c.writing = true
	}
	return c.err
}
