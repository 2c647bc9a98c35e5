package rig

import (
	"bufio"
	"crypto/rand"
	"encoding/hex"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

// Answer is what a client got for one attempt.
type Answer struct {
	ID     string
	Status int // 0 = none
	Header http.Header
	Body   []byte
	Whole  bool  // the answer ended as its framing announces
	Err    error // why there is no whole answer
	Closed bool  // the connection cannot be used again
}

// String describes the answer for the record.
func (a Answer) String() string {
	if !a.Whole {
		return fmt.Sprintf("status %d, not whole: %v", a.Status, a.Err)
	}
	return fmt.Sprintf("status %d, %d bytes, seal %q", a.Status, len(a.Body), a.Header.Get("X-Server-Seal"))
}

// NewID returns an id for one attempt.
func NewID() string {
	var raw [8]byte
	_, _ = rand.Read(raw[:]) // never fails
	return hex.EncodeToString(raw[:])
}

// Client is a client with one connection to a gateway, which it keeps open as long as it may.
type Client struct {
	Front string
	Key   string // empty = Key

	conn   net.Conn
	reader *bufio.Reader
}

// Close closes the connection.
func (c *Client) Close() {
	if c.conn != nil {
		_ = c.conn.Close()
		c.conn = nil
	}
}

// Send makes one attempt and reads its answer to the end.
func (c *Client) Send(method, path string, body []byte, deadline time.Duration, extra map[string]string) Answer {
	a := Answer{ID: NewID()}
	if c.conn == nil {
		conn, err := net.DialTimeout("tcp4", c.Front, time.Second)
		if err != nil {
			a.Err, a.Closed = err, true
			return a
		}
		c.conn, c.reader = conn, bufio.NewReader(conn)
	}
	_ = c.conn.SetDeadline(time.Now().Add(deadline)) // an error on a closed connection shows in the write too
	key := c.Key
	if key == "" {
		key = Key
	}
	head := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nX-Attempt-Id: %s\r\nX-Key: %s\r\nX-Deadline-Ms: %d\r\n", method, path, Host, a.ID, key, deadline.Milliseconds())
	for name, value := range extra {
		head += name + ": " + value + "\r\n"
	}
	if method != http.MethodGet {
		head += fmt.Sprintf("Content-Length: %d\r\n", len(body))
	}
	if _, err := c.conn.Write(append([]byte(head+"\r\n"), body...)); err != nil {
		return c.fail(a, err)
	}
	resp, err := http.ReadResponse(c.reader, &http.Request{Method: method})
	if err != nil {
		return c.fail(a, err)
	}
	a.Status, a.Header = resp.StatusCode, resp.Header
	if a.Body, err = io.ReadAll(resp.Body); err != nil {
		return c.fail(a, err)
	}
	a.Whole = true
	if resp.Close {
		a.Closed = true
		c.Close()
	}
	return a
}

func (c *Client) fail(a Answer, err error) Answer {
	a.Err, a.Closed = err, true
	c.Close()
	return a
}
