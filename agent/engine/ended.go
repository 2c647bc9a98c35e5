package engine

import (
	"context"
	"errors"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/rotisserie/eris"
)

// EndedError means that the backend server's process ended before a whole answer came:
// its host refused a new connection just afterwards.
type EndedError struct {
	// Number counts the ends that this client has seen, from 1. All requests that were
	// under way have the same one.
	Number uint64
	Cause  error
}

// Error implements error.
func (e *EndedError) Error() string { return "engine: ended: " + e.Cause.Error() }

// Unwrap returns ErrFailed: no whole answer came.
func (e *EndedError) Unwrap() error { return ErrFailed }

// livenessTimeout bounds the look whether the process has ended: it is on the same VM.
const livenessTimeout = 200 * time.Millisecond

// ends counts the ends of the process. It is safe for concurrent use.
type ends struct {
	mu    sync.Mutex
	count uint64
	down  bool
}

// ended notes that the process has ended and returns the number of that end.
func (e *ends) ended() uint64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.down {
		e.down = true
		e.count++
	}
	return e.count
}

// lives notes that the process answers.
func (e *ends) lives() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.down = false
}

// Lost returns the error of a request that was handed over and whose answer broke off:
// EndedError if the process has ended, ErrFailed otherwise.
func (c *Client) Lost(ctx context.Context, cause error) error {
	if ctx.Err() == nil && c.Refuses(ctx) {
		return &EndedError{Number: c.ends.ended(), Cause: cause}
	}
	return eris.Wrapf(ErrFailed, "%v", cause)
}

// Refuses reports whether the backend server's host refuses connections, as its process has
// ended.
func (c *Client) Refuses(ctx context.Context) bool {
	dialer := net.Dialer{Timeout: livenessTimeout}
	conn, err := dialer.DialContext(ctx, "tcp", c.address)
	if err == nil {
		_ = conn.Close() // nothing was sent on it
	}
	return errors.Is(err, syscall.ECONNREFUSED)
}
