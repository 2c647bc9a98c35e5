package engine

import (
	"bufio"
	"context"
	"errors"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"baywall.example/core/answer"
)

// startEngine starts a server that waits before it reads a request, and closes each
// connection without an answer.
func startEngine(t *testing.T, wait time.Duration) (address string, received *atomic.Int32) {
	t.Helper()
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	received = new(atomic.Int32)
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				_ = conn.SetReadDeadline(time.Now().Add(wait))
				if _, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
					received.Add(1)
				}
			}()
		}
	}()
	return ln.Addr().String(), received
}

// pausedAfterDial makes the client pause between opening a connection and sending the
// request, as if its process was paused.
func (c *Client) pausedAfterDial(pause time.Duration) {
	for _, transport := range []answer.Transport{c.singleUse, c.keepAlive} {
		dial := transport.DialContext
		transport.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
			conn, err := dial(ctx, network, address)
			time.Sleep(pause)
			return conn, err
		}
	}
}

// An agent that was paused between opening a connection and sending the request wrote on a
// connection that the server had closed, and reported for good that the request may have run.
func TestRequestOnConnectionClosedBeforeSendingDidNotRun(t *testing.T) {
	for _, idempotent := range []bool{false, true} {
		is := is.New(t)
		address, received := startEngine(t, 20*time.Millisecond)
		c := New(address)
		c.pausedAfterDial(150 * time.Millisecond)
		_, err := c.Do(t.Context(), Request{ID: "r", Method: http.MethodPost, Path: "/", Body: []byte("body"), Idempotent: idempotent})
		is.True(errors.Is(err, ErrDial))
		is.Equal(received.Load(), int32(0))
	}
}

// If the time is up before anything was sent, the request did not run and never will.
func TestRequestWhoseTimeIsUpBeforeSendingDidNotRun(t *testing.T) {
	is := is.New(t)
	address, received := startEngine(t, time.Second)
	c := New(address)
	c.pausedAfterDial(100 * time.Millisecond)
	ctx, cancel := context.WithTimeout(t.Context(), 30*time.Millisecond)
	defer cancel()
	_, err := c.Do(ctx, Request{ID: "r", Method: http.MethodPost, Path: "/", Body: []byte("body")})
	is.True(errors.Is(err, ErrDial))
	time.Sleep(200 * time.Millisecond)
	is.Equal(received.Load(), int32(0))
}

// A request that was sent may have run, even if the server closes the connection at once.
func TestRequestThatWasSentMayHaveRun(t *testing.T) {
	is := is.New(t)
	address, received := startEngine(t, time.Second)
	_, err := New(address).Do(t.Context(), Request{ID: "r", Method: http.MethodPost, Path: "/", Body: []byte("body")})
	is.True(errors.Is(err, ErrFailed))
	is.True(!errors.Is(err, ErrDial))
	is.Equal(received.Load(), int32(1))
}
