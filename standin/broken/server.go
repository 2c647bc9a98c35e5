// Package broken is a stand-in of a server in trouble, which answers with malformed or cut answers. It
// has also sound answers that are unusual, which must not be refused.
package broken

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
	"time"
)

// Handler answers a request on a connection, whose body need not have been read. It reports whether the
// connection is kept.
type Handler func(conn *net.TCPConn, r *http.Request) (keep bool)

// Serve starts a server and returns its address. It ends with the test.
func Serve(t testing.TB, answer Handler) (address string) {
	t.Helper()
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			go serve(conn.(*net.TCPConn), answer)
		}
	}()
	return ln.Addr().String()
}

func serve(conn *net.TCPConn, answer Handler) {
	defer conn.Close()
	in := bufio.NewReader(conn)
	for {
		r, err := http.ReadRequest(in)
		if err != nil || !answer(conn, r) {
			return
		}
	}
}

// AnswerOnce returns a handler that reads each request, sends the bytes and closes the connection.
func AnswerOnce(bytes string) Handler {
	return func(conn *net.TCPConn, r *http.Request) bool {
		discard(r)
		_, _ = conn.Write([]byte(bytes))
		return false
	}
}

// AnswerEach is like AnswerOnce, and keeps the connection.
func AnswerEach(bytes string) Handler {
	return func(conn *net.TCPConn, r *http.Request) bool {
		discard(r)
		_, err := conn.Write([]byte(bytes))
		return err == nil
	}
}

// StallTime is how long the sender of an upload that nobody reads needs to fill the connection.
const StallTime = 20 * time.Millisecond

// ResetUpload sends bytes after a time, with none of the request's body read, and resets the connection
// at once. Before StallTime, the sender of a long upload is still writing.
func ResetUpload(conn *net.TCPConn, after time.Duration, bytes string) {
	time.Sleep(after)
	_, _ = conn.Write([]byte(bytes))
	Reset(conn)
}

// Reset resets a connection.
func Reset(conn *net.TCPConn) {
	_ = conn.SetLinger(0)
	_ = conn.Close()
}

func discard(r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
}
