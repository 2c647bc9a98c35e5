// Package socket looks at the state of connections below their protocol.
package socket

import (
	"net"
	"syscall"
)

// Quiet reports whether a connection is open and nothing that the peer sent on it is waiting
// to be read. On a connection on which the next message is this side's, anything else means
// that the peer has closed it, or is about to.
func Quiet(conn net.Conn) bool {
	tcp, ok := conn.(*net.TCPConn)
	if !ok {
		return true // cannot be told
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	// Control does not wait for a read that is in progress, as raw.Read would.
	err = raw.Control(func(fd uintptr) {
		var one [1]byte
		_, _, err := syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		quiet = err == syscall.EAGAIN
	})
	return err == nil && quiet
}
