package engine

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"

	"github.com/rotisserie/eris"

	"baywall.example/core/bounded"
)

// EndedError means that the backend server's process ended before it sent a complete
// answer: its host refused a new connection right afterwards.
type EndedError struct {
	// Number counts the ends of the process that this client has detected, from 1. All
	// requests that were in flight at one end get the same number.
	Number uint64
	Cause  error
}

// Error implements error.
func (e *EndedError) Error() string { return "engine: ended: " + e.Cause.Error() }

// Unwrap returns ErrFailed: there was no complete answer.
func (e *EndedError) Unwrap() error { return ErrFailed }

// probeTimeout bounds the connection attempt that tells whether the process has ended. It
// is short because the process is on the same VM.
const probeTimeout = 200 * time.Millisecond

// endCounter counts the ends of the backend server's process. It is safe for concurrent
// use.
type endCounter struct {
	mu    sync.Mutex
	count uint64
	down  bool
}

// markEnded records that the process has ended and returns the number of that end.
func (e *endCounter) markEnded() uint64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.down {
		e.down = true
		e.count++
	}
	return e.count
}

// isDown reports whether the process has ended and is not known to run again.
func (e *endCounter) isDown() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.down
}

// markRunning records that the process runs: it answers, or accepts a connection that was
// requested after its end.
func (e *endCounter) markRunning() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.down = false
}

// ClassifyFailure returns the error for a request that was handed over without a complete
// answer: EndedError if the process has ended, ErrFailed otherwise.
func (c *Client) ClassifyFailure(ctx context.Context, cause error) error {
	if ctx.Err() == nil && c.RefusesConnections(ctx) {
		return &EndedError{Number: c.endCounter.markEnded(), Cause: cause}
	}
	return eris.Wrapf(ErrFailed, "%v", cause)
}

// errUnproven means that an answer without a length or chunks ended, and that the process that
// gave it is not known to have outlived it.
var errUnproven = errors.New("answer ended with its connection, and its process is not known to run")

// provenBody is the body of an answer that ends with its connection. Its end counts only if
// the process that gave it still runs, as the end of the process looks the same.
type provenBody struct {
	io.ReadCloser
	client *Client
	ctx    context.Context
	sent   time.Time // when the request was sent
}

// Read implements io.Reader. In place of io.EOF it returns an *EndedError if the process has
// ended, and ErrFailed if this is not known.
func (b provenBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err != io.EOF || b.client.runsSince(b.ctx, b.sent) {
		return n, err
	}
	return n, b.client.ClassifyFailure(b.ctx, errUnproven)
}

// runsSince reports whether the process that listens now is known to be the one that listened at
// a time: it answers on the monitoring connection, which was opened before that time and would
// have ended with the process.
func (c *Client) runsSince(ctx context.Context, since time.Time) bool {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, c.base+loadPath, nil)
	if err != nil {
		return false
	}
	var used exchangeConns
	resp, err := c.monitor.RoundTrip(used.attach(req))
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	_, err = io.Copy(io.Discard, bounded.NewReader(resp.Body, maxReportSize))
	return err == nil && used.opened().Before(since)
}

// RefusesConnections reports whether the backend server's host refuses connections, which
// means that the process has ended.
func (c *Client) RefusesConnections(ctx context.Context) bool {
	dialer := net.Dialer{Timeout: probeTimeout}
	conn, err := dialer.DialContext(ctx, "tcp", c.address)
	if err == nil {
		_ = conn.Close() // nothing was sent on it
	}
	return errors.Is(err, syscall.ECONNREFUSED)
}
