package engine

import (
	"fmt"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"baywall.example/core/answer"
	"baywall.example/core/clock"
	"baywall.example/core/socket"
)

// trackedConn is a connection to the backend server that knows whether anything was sent on
// it. It is safe for concurrent use.
type trackedConn struct {
	net.Conn
	opened time.Time

	mu        sync.Mutex
	sentAt    time.Time // when something was first sent, zero if nothing was
	abandoned bool      // nothing will be sent
}

func track(conn net.Conn) *trackedConn { return &trackedConn{Conn: conn, opened: clock.Now()} }

// errNothingSent means that a connection was closed, or given up, before anything was sent.
var errNothingSent = eris.New("engine: connection closed before anything was sent")

// Write implements net.Conn. A process may be paused between opening a connection and sending
// the request, and the server may close the connection meanwhile. Then nothing is sent, so that
// the request provably does not run.
func (c *trackedConn) Write(p []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.sentAt.IsZero() {
		return c.Conn.Write(p)
	}
	if c.abandoned || !socket.Quiet(c.Conn) {
		c.abandoned = true
		return 0, errNothingSent
	}
	c.sentAt = clock.Now()
	n, err := c.Conn.Write(p)
	if err != nil && n == 0 {
		c.sentAt, c.abandoned = time.Time{}, true
	}
	return n, err
}

// abandon makes sure that nothing will be sent, and reports whether nothing was.
func (c *trackedConn) abandon() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.abandoned = c.abandoned || c.sentAt.IsZero()
	return c.abandoned
}

// String describes how the connection was used so far.
func (c *trackedConn) String() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.sentAt.IsZero() {
		return fmt.Sprintf("nothing sent, opened %v ago", clock.Since(c.opened))
	}
	return fmt.Sprintf("first sent %v after it was opened, %v ago", c.sentAt.Sub(c.opened), clock.Since(c.sentAt))
}

// exchangeConns are the connections that an exchange has got, usually one.
type exchangeConns struct {
	mu    sync.Mutex
	conns []*trackedConn
}

// attach returns a copy of the request that adds each connection that the exchange gets.
func (e *exchangeConns) attach(req *http.Request) *http.Request {
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		e.mu.Lock()
		defer e.mu.Unlock()
		checked, ok := info.Conn.(*answer.Conn)
		if !ok {
			return
		}
		if conn, ok := checked.NetConn().(*trackedConn); ok {
			e.conns = append(e.conns, conn)
		}
	}}
	return req.WithContext(httptrace.WithClientTrace(req.Context(), trace))
}

// abandon makes sure that nothing will be sent, and reports whether nothing was.
func (e *exchangeConns) abandon() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	nothing := true
	for _, c := range e.conns {
		nothing = c.abandon() && nothing
	}
	return nothing
}

// opened returns when the latest connection was opened. It must have got one.
func (e *exchangeConns) opened() time.Time {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.conns[len(e.conns)-1].opened
}

// String describes how the latest connection was used.
func (e *exchangeConns) String() string {
	e.mu.Lock()
	defer e.mu.Unlock()
	if len(e.conns) == 0 {
		return "none"
	}
	return e.conns[len(e.conns)-1].String()
}
