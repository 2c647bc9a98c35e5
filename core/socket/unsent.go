package socket

import (
	"net"

	"github.com/rotisserie/eris"
	"golang.org/x/sys/unix"
)

// ErrNoTCP means that a connection is not a TCP connection of this process.
var ErrNoTCP = eris.New("socket: no TCP connection")

// Unacknowledged returns how many of the bytes written to a connection the peer has not acknowledged.
// The number falls while the peer reads, also if it reads too slowly for a write to end.
func Unacknowledged(conn net.Conn) (int, error) {
	tcp, ok := conn.(*net.TCPConn)
	if !ok {
		return 0, ErrNoTCP
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return 0, eris.Wrapf(ErrNoTCP, "%v", err)
	}
	var bytes int
	var ioctlErr error
	err = raw.Control(func(fd uintptr) { bytes, ioctlErr = unix.IoctlGetInt(int(fd), unix.SIOCOUTQ) })
	if err == nil {
		err = ioctlErr
	}
	if err != nil {
		return 0, eris.Wrapf(ErrNoTCP, "%v", err)
	}
	return bytes, nil
}
