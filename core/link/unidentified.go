package link

import (
	"net"
	"sync/atomic"

	"github.com/rotisserie/eris"
)

const (
	// maxUnidentified bounds what a peer that accepted a link may send before both sides have said who
	// they are, in bytes: it may open streams right after its Hello.
	maxUnidentified = 256 << 10
	// maxHelloBytes bounds the same for a peer that opened a link, which only sends a Hello of some
	// hundred bytes.
	maxHelloBytes = 2 << 10
)

// unidentifiedConn is a connection that fails once it has received more bytes than allowed, until the
// peer is identified.
type unidentifiedConn struct {
	net.Conn
	limit      int // bytes
	received   int // bytes, used by the session's reader only
	identified atomic.Bool
}

func newUnidentifiedConn(conn net.Conn, limit int) *unidentifiedConn {
	return &unidentifiedConn{Conn: conn, limit: limit}
}

// Read implements net.Conn.
func (c *unidentifiedConn) Read(p []byte) (int, error) {
	if c.identified.Load() {
		return c.Conn.Read(p)
	}
	left := c.limit - c.received
	if left <= 0 {
		return 0, eris.Wrapf(ErrProtocol, "over %d bytes before a Hello", c.limit)
	}
	n, err := c.Conn.Read(p[:min(len(p), left)])
	c.received += n
	return n, err
}
