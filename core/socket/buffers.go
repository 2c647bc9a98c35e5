package socket

import "syscall"

// SetBuffers sets the sizes of a socket's buffers for what it receives and sends, in bytes, of which the
// kernel takes the double. 0 leaves a buffer as it is. What waits there takes memory of the machine.
func SetBuffers(raw syscall.RawConn, receive, send int) error {
	var err error
	controlErr := raw.Control(func(fd uintptr) {
		err = setBuffer(fd, syscall.SO_RCVBUF, receive)
		if err == nil {
			err = setBuffer(fd, syscall.SO_SNDBUF, send)
		}
	})
	if controlErr != nil {
		return controlErr
	}
	return err
}

func setBuffer(fd uintptr, option, size int) error {
	if size == 0 {
		return nil
	}
	return syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, option, size)
}
