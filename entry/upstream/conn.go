package upstream

import (
	"bufio"
	"context"
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/rotisserie/eris"

	"baywall.example/core/answer"
	"baywall.example/core/clock"
	"baywall.example/core/socket"
)

// Errors of an exchange.
var (
	// ErrNotSent means that no byte of the request was sent: it did not run.
	ErrNotSent = eris.New("upstream: request not sent")
	// ErrConnectionRefused is joined with ErrNotSent if the host refuses the connection: no
	// process listens at the address.
	ErrConnectionRefused = eris.New("upstream: connection refused: no process listens")
	// ErrLost means that the request was, or may have been, sent and no complete
	// answer was received: it may have run.
	ErrLost = eris.New("upstream: lost after it was sent")
)

const (
	// keepAliveIdle, keepAliveInterval and keepAliveCount bound how long a
	// silent network partition goes unnoticed: 1 s + 3 x 0.5 s, within the 3 s in
	// which the platform expects a VM to notice it.
	keepAliveIdle     = time.Second
	keepAliveInterval = 500 * time.Millisecond
	keepAliveCount    = 3
	// bufferSize is the size of a connection's read buffer, in bytes: an event of
	// a stream and the headers of an answer fit into it. The lines between two chunks of a body,
	// and its trailer, must.
	bufferSize = 2048
	// maxIdlePerServer bounds the idle connections to one backend server; a
	// gateway rarely has more requests in flight to one.
	maxIdlePerServer = 8
	// idleMargin is subtracted from the idle timeout that a backend server
	// announces, to allow for the network delay.
	idleMargin = 500 * time.Millisecond
	// defaultIdle is the idle timeout if the backend server announces none.
	defaultIdle = 2 * time.Second
)

// conn is one connection to a backend server.
type conn struct {
	*answer.Conn
	reader  *bufio.Reader // reads from the limiter
	limiter *headLimiter
	opened  time.Time
	expires time.Time // not reused after this time
}

// Pool keeps the idle connections to one backend server. It is safe for
// concurrent use.
type Pool struct {
	address  string
	dialer   net.Dialer
	liveness livenessChecks
	// receiveBuffer is the size of the receive buffer of new connections, in bytes.
	receiveBuffer atomic.Int64

	mu      sync.Mutex
	idle    []*conn // most recently used last
	maxIdle int
	closed  bool
}

// NewPool returns an empty pool for the backend server at the IP:port.
func NewPool(address string, dialTimeout time.Duration) *Pool {
	keepAlive := net.KeepAliveConfig{Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount}
	p := &Pool{address: address, maxIdle: maxIdlePerServer}
	p.dialer = net.Dialer{Timeout: dialTimeout, KeepAliveConfig: keepAlive, Control: p.limitBuffer}
	return p
}

// SetReceiveBuffer sets the size of the receive buffer of new connections, in bytes, of which the kernel
// takes the double. 0 leaves it as it is. Answers whose callers read slowly wait there.
func (p *Pool) SetReceiveBuffer(size int) { p.receiveBuffer.Store(int64(size)) }

func (p *Pool) limitBuffer(_, _ string, raw syscall.RawConn) error {
	return socket.SetBuffers(raw, int(p.receiveBuffer.Load()), 0)
}

// take returns an idle connection that still looks usable, or nil.
func (p *Pool) take(now time.Time) *conn {
	for {
		c := p.pop()
		if c == nil {
			return nil
		}
		if now.Before(c.expires) && c.usable() {
			return c
		}
		_ = c.Close() // nothing is in flight on it
	}
}

func (p *Pool) pop() *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.idle) == 0 {
		return nil
	}
	last := len(p.idle) - 1
	c := p.idle[last]
	p.idle = p.idle[:last]
	return c
}

func (p *Pool) put(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed || len(p.idle) >= p.maxIdle {
		_ = c.Close() // nothing is in flight on it
		return
	}
	p.idle = append(p.idle, c)
}

// SetMaxIdle bounds the number of idle connections, and closes the least recently used ones beyond that.
// maxIdlePerServer stays the largest number.
func (p *Pool) SetMaxIdle(n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.maxIdle = min(n, maxIdlePerServer)
	for len(p.idle) > p.maxIdle {
		_ = p.idle[0].Close() // nothing is in flight on it
		p.idle = p.idle[1:]
	}
}

// Close closes the idle connections; those in use are closed when they are put back.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for _, c := range p.idle {
		_ = c.Close() // nothing is in flight on it
	}
	p.idle = nil
}

func (p *Pool) dial(ctx context.Context) (*conn, error) {
	raw, err := p.dialer.DialContext(ctx, "tcp", p.address)
	if errors.Is(err, syscall.ECONNREFUSED) {
		return nil, errors.Join(ErrConnectionRefused, eris.Wrapf(ErrNotSent, "dial %s: %v", p.address, err))
	}
	if err != nil {
		return nil, eris.Wrapf(ErrNotSent, "dial %s: %v", p.address, err)
	}
	return newConn(raw), nil
}

func newConn(raw net.Conn) *conn {
	checked := answer.NewConn(raw)
	limiter := &headLimiter{conn: checked}
	return &conn{Conn: checked, reader: bufio.NewReaderSize(limiter, bufferSize), limiter: limiter, opened: clock.Now()}
}

// usable reports whether an idle connection is open and has no unread bytes:
// such bytes would not belong to any request of this gateway.
func (c *conn) usable() bool { return c.reader.Buffered() == 0 && socket.Quiet(c.NetConn()) }
