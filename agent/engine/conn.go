package engine

import (
	"fmt"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync"
	"time"

	"baywall.example/core/clock"
)

// trackedConn is a connection to the backend server that records when it was opened and when
// something was first sent on it. It is safe for concurrent use.
type trackedConn struct {
	net.Conn
	opened time.Time

	mu     sync.Mutex
	sentAt time.Time // zero if nothing was sent
}

func track(conn net.Conn) *trackedConn { return &trackedConn{Conn: conn, opened: clock.Now()} }

// Write implements net.Conn.
func (c *trackedConn) Write(p []byte) (int, error) {
	c.mu.Lock()
	if c.sentAt.IsZero() {
		c.sentAt = clock.Now()
	}
	c.mu.Unlock()
	return c.Conn.Write(p)
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

// exchangeConn is the connection that an exchange uses, if it has got one.
type exchangeConn struct {
	mu   sync.Mutex
	conn *trackedConn
}

// attach returns a copy of the request that sets the connection when the exchange has one.
func (e *exchangeConn) attach(req *http.Request) *http.Request {
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		e.mu.Lock()
		defer e.mu.Unlock()
		e.conn, _ = info.Conn.(*trackedConn)
	}}
	return req.WithContext(httptrace.WithClientTrace(req.Context(), trace))
}

// get returns the connection, or nil if there is none.
func (e *exchangeConn) get() *trackedConn {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.conn
}
