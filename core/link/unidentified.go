package link

import (
	"net"
	"sync/atomic"

	"github.com/rotisserie/eris"
)

// maxUnidentified bounds what a peer may send before both sides have said who they are, in bytes.
// A Hello has some hundred bytes; a peer that accepted a link may open streams right after it.
const maxUnidentified = 256 << 10

// unidentifiedConn is a connection that fails once it has received more than maxUnidentified bytes,
// until the peer is identified.
type unidentifiedConn struct {
	net.Conn
	received   int // bytes, used by the session's reader only
	identified atomic.Bool
}

// Read implements net.Conn.
func (c *unidentifiedConn) Read(p []byte) (int, error) {
	if !c.identified.Load() && c.received >= maxUnidentified {
		return 0, eris.Wrapf(ErrProtocol, "over %d bytes before a Hello", maxUnidentified)
	}
	n, err := c.Conn.Read(p)
	c.received += n
	return n, err
}
