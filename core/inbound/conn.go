package inbound

import (
	"container/list"
	"context"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
)

const (
	// writePiece is the largest part of an answer that is written at once, in bytes: between two parts
	// the connection does not count as one whose client has to read.
	writePiece = 32 << 10
	// bodyProgress is how many bytes of a body have to come at once for its connection to count as one
	// that does not keep the process waiting.
	bodyProgress = 1 << 10
	// lingerTime is how long the process goes on reading after it has refused a request that it has not
	// read to its end, so that the client reads the refusal before the connection is reset.
	lingerTime = 500 * time.Millisecond
	// lingerBytes bounds what is read then.
	lingerBytes = 256 << 10
)

// errHead means that a head was not read to its end. The HTTP library answers nothing to it.
var errHead = eris.New("inbound: head not read")

// Conn is a connection from a client.
type Conn struct {
	net.Conn
	listener *Listener

	// The listener's lock guards the following.
	phase phase
	since time.Time     // when it entered the phase
	place *list.Element // nil if it is in no list
	ended bool          // the listener has closed it, its user has not
	// unread is how much of an answer the client had not read when the time limit for writing was
	// checked, in bytes; 0 if it was not checked since it began to be written.
	unread int

	gone chan struct{} // closed when the listener closes the connection

	lingers atomic.Bool // a request was refused that was not read to its end
	serving atomic.Bool // a request's head was read, and its answer is not complete
	inBody  atomic.Bool // a request's body is being read
	// forwards says that the answer to the request comes from a backend server, which waits for the client.
	forwards atomic.Bool

	// Only the goroutine that reads requests uses the following.
	head  headSize // of the head that is being read
	last  headSize // of the latest read
	begun bool     // the first bytes of a head were read
	// bodyUnread says that the request has a body that its handler has not read.
	bodyUnread bool

	headHold Hold
	bodyHold Hold // of the body, and of the buffered part of the answer
}

func newConn(l *Listener, raw net.Conn) *Conn {
	return &Conn{Conn: raw, listener: l, gone: make(chan struct{}), headHold: Hold{budget: l.set.heads}, bodyHold: Hold{budget: l.set.bodies}}
}

// Read implements net.Conn.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n == 0 || c.listener.links {
		return n, err
	}
	if c.serving.Load() {
		c.receivedInRequest(p[:n], len(p))
		return n, err
	}
	if headErr := c.receivedOfHead(p[:n]); headErr != nil {
		return 0, headErr
	}
	return n, err
}

// receivedInRequest records bytes that came while a request is served: of its body, or of the request
// that follows it.
func (c *Conn) receivedInRequest(raw []byte, space int) {
	if !c.inBody.Load() {
		return
	}
	c.last = headSize{}
	if space <= readBuffer {
		c.last = measure(raw) // it can contain the start of the next head
	}
	c.bodyHold.Received(len(raw))
	if len(raw) >= bodyProgress {
		c.listener.move(c, phaseBody)
	}
}

// receivedOfHead checks the bytes of a head and reserves memory for it.
func (c *Conn) receivedOfHead(raw []byte) error {
	if !c.begun {
		c.begun = true
		c.listener.move(c, phaseHead)
	}
	c.last = measure(raw)
	c.head = c.head.plus(c.last)
	if c.head.cost() > ordinaryHead {
		c.headHold.Received(len(raw))
	}
	largest := c.listener.limits().HeaderBytes + 2*readBuffer
	if c.head.bytes > largest {
		c.refuseHead()
		return readError(errHead)
	}
	if err := c.reserveHead(largest); err != nil {
		c.listener.counts.add(ReasonHeadRoom)
		return readError(err)
	}
	return nil
}

// reserveHead reserves memory for the head that is being read, whose largest length is given in bytes.
func (c *Conn) reserveHead(largest int) error {
	cost := c.head.cost()
	if cost <= ordinaryHead {
		return nil
	}
	held := c.headHold.size()
	if cost <= held {
		return nil
	}
	target := int64(mediumHead)
	if cost > mediumHead {
		// Half of the budget at most, so that a small budget has room for a head that takes less.
		target = max(cost, min(c.head.largest(largest).cost(), c.listener.set.heads.Limit()/2))
	}
	if err := c.headHold.Reserve(target-held, c.gone); err != nil {
		return err
	}
	if held == 0 {
		c.headHold.BeginReceiving(func() { go c.endSlowHead() })
	}
	return nil
}

// endSlowHead closes the connection because its head is slow.
func (c *Conn) endSlowHead() {
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	if c.place != nil {
		c.listener.end(c, ReasonHeadSlow)
	}
}

// readError returns an error that the HTTP library takes for that of a broken connection.
func readError(err error) error { return &net.OpError{Op: "read", Net: "tcp", Err: err} }

// refuseHead answers a head that is over the limit before its end.
func (c *Conn) refuseHead() {
	c.listener.counts.add(ReasonHeadSize)
	const text = "431 Request Header Fields Too Large"
	_, err := io.WriteString(c, "HTTP/1.1 "+text+"\r\nContent-Type: text/plain; charset=utf-8\r\nConnection: close\r\n\r\n"+text)
	c.lingers.Store(err == nil)
}

// linger goes on reading after the answer to a request that was not read to its end, until the client
// has closed the connection or the linger time is over. If the connection were closed at once, what
// the client still sends would reset it, and the answer could be lost.
func (c *Conn) linger() {
	c.listener.move(c, phaseLingering)
	if c.CloseWrite() != nil || c.Conn.SetReadDeadline(time.Now().Add(lingerTime)) != nil {
		return // the client has left
	}
	_, _ = io.CopyN(io.Discard, c.Conn, lingerBytes) // the end of the linger time is an error, too
}

// Write implements net.Conn.
func (c *Conn) Write(p []byte) (int, error) {
	if c.listener.links {
		return c.Conn.Write(p)
	}
	written := 0
	for {
		piece := p[written:min(len(p), written+writePiece)]
		before := c.listener.move(c, phaseWriting)
		n, err := c.Conn.Write(piece)
		c.listener.wrote(c, before)
		written += n
		if err != nil || written == len(p) {
			return written, err
		}
	}
}

// CloseWrite closes the sending side.
func (c *Conn) CloseWrite() error {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		return tcp.CloseWrite()
	}
	return nil
}

// Close implements net.Conn.
func (c *Conn) Close() error {
	c.releaseHolds()
	if c.lingers.Swap(false) && !c.listener.aborted.Load() {
		c.linger()
	}
	c.listener.closed(c)
	return c.Conn.Close()
}

// Trust ends the limits on the connection, as its peer is known.
func (c *Conn) Trust() {
	l := c.listener
	l.mu.Lock()
	defer l.mu.Unlock()
	if c.place == nil || c.phase == phaseTrusted {
		return
	}
	l.bounded--
	l.lists.move(c, phaseTrusted, time.Now())
}

// begin starts a request whose head was read. It returns a refusal if the head is over a limit.
func (c *Conn) begin(r *http.Request) *Refusal {
	c.begun = false
	c.serving.Store(true)
	c.listener.move(c, phaseServing)
	limits := c.listener.limits()
	c.bodyUnread = r.ContentLength != 0
	if c.bodyUnread {
		// Until the handler reads the body by itself.
		_ = c.SetReadDeadline(time.Now().Add(limits.HeaderTimeout))
	}
	if c.head.bytes <= limits.HeaderBytes && c.head.cost() <= ordinaryHead {
		return nil
	}
	return c.chargeHead(sizeOfHead(r), limits)
}

// handled is called when the handler of a request has returned. The HTTP library then reads the rest
// of a small body, for which the process waits for its client.
func (c *Conn) handled() {
	if c.bodyUnread {
		c.listener.move(c, phaseLingering)
	}
}

// chargeHead replaces the reservation for a head that was being read by what the head takes.
func (c *Conn) chargeHead(size headSize, limits Limits) *Refusal {
	if size.bytes > limits.HeaderBytes {
		return &Refusal{Status: http.StatusRequestHeaderFieldsTooLarge, Reason: ReasonHeadSize}
	}
	cost := size.cost()
	if cost <= ordinaryHead {
		cost = 0
	}
	c.headHold.EndReceiving()
	if missing := cost - c.headHold.size(); missing > 0 {
		if c.headHold.Reserve(missing, c.gone) != nil {
			return &Refusal{Status: http.StatusServiceUnavailable, Reason: ReasonHeadRoom}
		}
		return nil
	}
	c.headHold.Shrink(cost)
	return nil
}

// end ends a request whose answer is complete.
func (c *Conn) end() {
	c.releaseHolds()
	c.forwards.Store(false)
	c.head = c.last // the next head may have begun in the latest read
	c.serving.Store(false)
	c.listener.move(c, phaseIdle)
}

func (c *Conn) releaseHolds() {
	c.headHold.reset()
	c.bodyHold.reset()
}

// connKey is the key of a request's connection in its context.
type connKey struct{}

// connOf returns the connection of a request, or nil if it did not come through a Listener.
func connOf(ctx context.Context) *Conn {
	c, _ := ctx.Value(connKey{}).(*Conn)
	return c
}
