package upstream

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"time"

	"github.com/rotisserie/eris"

	"baywall.example/core/bounded"
)

// A faulty server may send bytes without end where an answer is expected. These bounds end the
// exchange with ErrLost, as a malformed answer does.
const (
	// maxHeadBytes bounds the head of an answer, in bytes.
	maxHeadBytes = bounded.MaxHead
	// maxHeadLines bounds the lines of a head, as a short line takes more memory than its bytes.
	// Ordinary heads have fewer than a hundred.
	maxHeadLines = 256
	// headTimeout bounds the time from the first byte of a head to its end. Servers write a head
	// at once; two lost packets in a row delay it by 0.6 s.
	headTimeout = time.Second
	// maxSkippedBody bounds the body of an answer that is skipped, in bytes, and skipTimeout the
	// time for reading it. A skipped answer was sent earlier, so it is there or on its way.
	maxSkippedBody = 256 << 10
	skipTimeout    = time.Second
	// pauseGrace is the time after headTimeout and skipTimeout in which bytes are still read. If this
	// process was paused meanwhile, what came in time waits in the connection.
	pauseGrace = 50 * time.Millisecond
	// maxBody bounds the body of an answer, in bytes.
	maxBody = bounded.MaxAnswer
)

var (
	errHeadTooLarge = eris.Errorf("head of over %d bytes or %d lines", maxHeadBytes, maxHeadLines)
	errHeadTooLong  = eris.Errorf("head incomplete after %v", headTimeout)
	errSkippedBody  = eris.Errorf("body of over %d bytes, or incomplete after %v", maxSkippedBody, skipTimeout)
	errBodyTooLarge = eris.Errorf("body of over %d bytes", maxBody)
	errUnframed     = eris.New("body is delimited by the end of the connection")
)

// headLimiter is the reader between a connection and its buffer. While a head is read, it fails
// once the head is over its bounds, by at most one buffer.
type headLimiter struct {
	conn    net.Conn
	reading bool // whether a head is being read
	timed   bool // whether the time is bounded, and pauseGrace has not begun
	// bytes and lines of the head that were read so far. Those that were in the buffer when the
	// head began are not counted.
	bytes, lines int
}

// Read implements io.Reader.
func (l *headLimiter) Read(p []byte) (int, error) {
	// The buffer asks for more only if what it got so far does not complete the head.
	if l.reading && (l.bytes >= maxHeadBytes || l.lines >= maxHeadLines) {
		return 0, errHeadTooLarge
	}
	n, err := l.conn.Read(p)
	if l.timed && errors.Is(err, os.ErrDeadlineExceeded) {
		l.timed = false
		_ = l.conn.SetReadDeadline(time.Now().Add(pauseGrace)) // fails only if the connection is closed
		n, err = l.conn.Read(p)
	}
	if l.reading {
		l.bytes += n
		l.lines += bytes.Count(p[:n], []byte{'\n'})
	}
	return n, err
}

// limitTime bounds the time for what is read until the function that it returns is called.
func (c *conn) limitTime(d time.Duration) (unlimit func()) {
	c.limiter.timed = true
	_ = c.SetReadDeadline(time.Now().Add(d)) // fails only if the connection is closed
	return func() {
		c.limiter.timed = false
		_ = c.SetReadDeadline(time.Time{})
	}
}

// readHead waits for the head of an answer and reads it. The wait is bounded by the context of the
// exchange, as a server may take long to answer.
func (c *conn) readHead(method string) (*http.Response, error) {
	buffered, _ := c.reader.Peek(c.reader.Buffered()) // cannot fail
	if err := c.ExpectHead(buffered); err != nil {
		return nil, err
	}
	if _, err := c.reader.Peek(1); err != nil {
		return nil, err
	}
	defer c.limitTime(headTimeout)()
	c.limiter.reading, c.limiter.bytes, c.limiter.lines = true, 0, 0
	resp, err := http.ReadResponse(c.reader, &http.Request{Method: method})
	c.limiter.reading = false
	if malformed := c.Err(); malformed != nil {
		return nil, malformed
	}
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return nil, errHeadTooLong
	}
	return resp, err
}

// skip reads over the body of an answer that does not belong to the request.
func (c *conn) skip(resp *http.Response) error {
	if resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 {
		return errUnframed
	}
	if resp.ContentLength > maxSkippedBody {
		return errSkippedBody
	}
	defer c.limitTime(skipTimeout)()
	_, err := io.Copy(io.Discard, bounded.NewReader(resp.Body, maxSkippedBody))
	if errors.Is(err, bounded.ErrTooLarge) || errors.Is(err, os.ErrDeadlineExceeded) {
		return errSkippedBody
	}
	return err
}

// lost returns ErrLost with the start of its cause's text.
func lost(cause error, format string, args ...any) error {
	return eris.Wrapf(ErrLost, "%s: %s", fmt.Sprintf(format, args...), bounded.ErrorText(cause))
}
