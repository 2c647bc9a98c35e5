package inbound

import (
	"errors"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"baywall.example/core/socket"
)

const (
	// acceptRetry is the time between two attempts to accept while the process has no descriptors.
	acceptRetry = 10 * time.Millisecond
	// closingShare is how many closed connections, as a part of the largest number of connections, may
	// still be in use by their goroutines before accepting slows down by closingWait.
	closingShare = 0.25
	closingWait  = 10 * time.Millisecond
	// drainTimeout is how long a client may take to finish a head while the process shuts down.
	drainTimeout = 500 * time.Millisecond
)

// Listener accepts connections and bounds them. It is a net.Listener, and serves HTTP by itself.
type Listener struct {
	net.Listener   // Close closes it and leaves the connections open
	set            *Set
	name           string
	maxConnections int
	limits         func() Limits
	links          bool
	server         *http.Server
	counts         counts
	aborted        atomic.Bool
	closing        atomic.Int64 // connections that were closed here and are still in use

	mu       sync.Mutex
	lists    phaseLists
	bounded  int // connections in the lists that are not trusted
	draining bool

	// Only report uses the following.
	reported   [reasons]int64
	reportedAt time.Time
}

func newListener(s *Set, raw net.Listener, o Options) *Listener {
	l := &Listener{Listener: raw, set: s, name: o.Name, maxConnections: o.Connections, limits: o.Limits, links: o.Kind == KindLinks}
	if l.maxConnections == 0 {
		l.maxConnections = s.settings.connections(o.Kind)
	}
	if l.limits == nil {
		limits := s.settings.Limits()
		l.limits = func() Limits { return limits }
	}
	return l
}

// Name returns the listener's name.
func (l *Listener) Name() string { return l.name }

// Connections returns the number of connections, those of trusted peers not included.
func (l *Listener) Connections() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.bounded
}

// Count returns how often a connection was closed or a request refused for a reason.
func (l *Listener) Count(r Reason) int64 { return l.counts[r].Load() }

// Accept implements net.Listener. It does not fail for a lack of descriptors.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		l.awaitClosing()
		raw, err := l.Listener.Accept()
		switch {
		case err == nil:
			if c := l.admit(raw, time.Now()); c != nil {
				return c, nil
			}
		case isTransient(err):
			time.Sleep(acceptRetry)
		default:
			return nil, err
		}
	}
}

// isTransient reports whether accepting can succeed later.
func isTransient(err error) bool {
	for _, transient := range []syscall.Errno{syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.ECONNABORTED} {
		if errors.Is(err, transient) {
			return true
		}
	}
	return false
}

// awaitClosing waits while too many closed connections are still in use, so that connections which
// come faster than others end do not pile up.
func (l *Listener) awaitClosing() {
	most := int64(closingShare * float64(l.maxConnections))
	for deadline := time.Now().Add(closingWait); l.closing.Load() > most && time.Now().Before(deadline); {
		time.Sleep(time.Millisecond)
	}
}

// admit returns the connection, or closes it and returns nil if there is no place for it.
func (l *Listener) admit(raw net.Conn, now time.Time) *Conn {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.bounded >= l.maxConnections {
		v := l.lists.victim(now)
		if v == nil {
			l.counts.add(ReasonNoPlace)
			raw.Close()
			return nil
		}
		l.end(v, ReasonConnections)
	}
	c := newConn(l, raw)
	l.lists.add(c, phaseNew, now)
	l.bounded++
	return c
}

// end closes a connection. The caller holds the lock.
func (l *Listener) end(c *Conn, r Reason) {
	l.counts.add(r)
	unread := c.phase == phaseWriting
	l.drop(c)
	l.closing.Add(1)
	c.ended = true
	close(c.gone)
	if tcp, ok := c.Conn.(*net.TCPConn); ok && unread {
		_ = tcp.SetLinger(0) // else the kernel keeps what the client does not read, for minutes
	}
	c.Conn.Close()
}

// drop removes a connection from the lists. The caller holds the lock.
func (l *Listener) drop(c *Conn) {
	if c.phase != phaseTrusted {
		l.bounded--
	}
	l.lists.remove(c)
}

// closed is called when a connection's user has closed it.
func (l *Listener) closed(c *Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case c.ended:
		c.ended = false
		l.closing.Add(-1)
	case c.place != nil:
		l.drop(c)
	}
}

// move records that a connection has entered a phase, and returns the one that it was in.
func (l *Listener) move(c *Conn, to phase) (from phase) {
	l.mu.Lock()
	defer l.mu.Unlock()
	from = c.phase
	if c.place != nil {
		l.lists.move(c, to, time.Now())
	}
	return from
}

// sweep closes the connections that have exceeded a time limit.
func (l *Listener) sweep(now time.Time) {
	limits := l.limits()
	l.mu.Lock()
	defer l.mu.Unlock()
	unread := limits.IdleTimeout
	if l.draining {
		unread, limits.HeaderTimeout = drainTimeout, min(limits.HeaderTimeout, drainTimeout)
	}
	l.endOlder(phaseNew, now.Add(-unread), ReasonIdleTimeout)
	l.endOlder(phaseHead, now.Add(-limits.HeaderTimeout), ReasonHeadTimeout)
	l.endOlder(phaseIdle, now.Add(-limits.IdleTimeout), ReasonIdleTimeout)
	l.endUnread(now, limits.WriteTimeout)
}

// endUnread closes the connections whose clients have read nothing of their answers between two
// checks. The caller holds the lock.
func (l *Listener) endUnread(now time.Time, timeout time.Duration) {
	before := now.Add(-timeout)
	for c := l.lists.oldest(phaseWriting); c != nil && c.since.Before(before); c = l.lists.oldest(phaseWriting) {
		unread, err := socket.Unacknowledged(c.Conn)
		if err != nil || c.unread > 0 && unread >= c.unread {
			l.end(c, ReasonWriteTimeout)
			continue
		}
		c.unread = max(1, unread)
		l.lists.move(c, phaseWriting, now)
	}
}

// endSlowReaders closes the connections whose clients have kept a part of an answer waiting since before
// a time and hold memory, the longest first, until that releases the needed bytes. It returns how many
// bytes it releases.
func (l *Listener) endSlowReaders(before time.Time, needed int64) (released int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for e := l.lists[phaseWriting].Front(); e != nil && released < needed; {
		c := e.Value.(*Conn)
		e = e.Next()
		if !c.since.Before(before) {
			return released
		}
		if held := c.bodyHold.size(); held > 0 {
			l.end(c, ReasonAnswerSlow)
			released += held
		}
	}
	return released
}

// endSlowestReader closes the connection whose client has kept a part of a forwarded answer waiting the
// longest, if it has done so since before a time. It reports whether there was one.
func (l *Listener) endSlowestReader(before time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	for e := l.lists[phaseWriting].Front(); e != nil; e = e.Next() {
		c := e.Value.(*Conn)
		if !c.since.Before(before) {
			return false
		}
		if c.forwards.Load() {
			l.end(c, ReasonAnswerSlow)
			return true
		}
	}
	return false
}

// wrote records that a part of an answer was written by a connection that goes back to a phase.
func (l *Listener) wrote(c *Conn, back phase) {
	l.mu.Lock()
	defer l.mu.Unlock()
	c.unread = 0
	if c.place != nil {
		l.lists.move(c, back, time.Now())
	}
}

// endOlder closes the connections that entered a phase before a time. The caller holds the lock.
func (l *Listener) endOlder(p phase, before time.Time, r Reason) {
	for c := l.lists.oldest(p); c != nil && c.since.Before(before); c = l.lists.oldest(p) {
		l.end(c, r)
	}
}

// report logs how many connections were closed and requests refused since the last report. Idle
// connections that have reached their time limit alone are nothing to report.
func (l *Listener) report(now time.Time) {
	if now.Sub(l.reportedAt) < reportInterval {
		return
	}
	current := l.counts.snapshot()
	event := l.set.log.Warn().Str("listener", l.name).Int("open", l.Connections()).
		Int64("head_bytes", l.set.heads.Used()).Int64("body_bytes", l.set.bodies.Used())
	notable := false
	for r, n := range current {
		if n == l.reported[r] {
			continue
		}
		event = event.Int64(Reason(r).String(), n-l.reported[r])
		notable = notable || Reason(r) != ReasonIdleTimeout
	}
	if !notable {
		event.Discard()
		return
	}
	l.reported, l.reportedAt = current, now
	event.Msg("clients ended or refused")
}
