package answer

import (
	"errors"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// fakeConn is a connection whose reader and writer are set by a test.
type fakeConn struct {
	net.Conn
	in    io.Reader
	write func() error
}

func (c *fakeConn) Read(p []byte) (int, error) { return c.in.Read(p) }
func (c *fakeConn) Write(p []byte) (int, error) {
	if err := c.write(); err != nil {
		return 0, err
	}
	return len(p), nil
}
func (c *fakeConn) Close() error { return nil }

// The end of a connection is judged once it is known whether the request was written.
func TestEndOfAnswerWaitsForTheWriter(t *testing.T) {
	for _, c := range []struct {
		name    string
		written error
		want    error
	}{{"written", nil, io.EOF}, {"failed", net.ErrClosed, ErrCut}} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			resume := make(chan struct{})
			conn := NewConn(&fakeConn{in: strings.NewReader("HTTP/1.1 200 OK\r\n\r\n"), write: func() error {
				<-resume
				return c.written
			}})
			conn.BeginRequest()
			go func() {
				_, err := conn.Write(nil)
				conn.EndRequest(err)
			}()
			time.AfterFunc(20*time.Millisecond, func() { close(resume) })
			_, err := io.Copy(io.Discard, conn)
			is.Equal(err == nil, c.want == io.EOF)
			is.True(err == nil || errors.Is(err, c.want))
			is.Equal(conn.Written(), c.written == nil)
		})
	}
}
