package link

import (
	"context"
	"net"
	"sync/atomic"
	"time"

	"github.com/hashicorp/yamux"
	"github.com/rotisserie/eris"
	"github.com/rs/zerolog"

	"baywall.example/core/inbound"
	"baywall.example/core/timeline"
	"baywall.example/core/vm"
	"baywall.example/core/wire"
	"baywall.example/core/zone"
)

// Errors of the link layer.
var (
	// ErrUnreachable means that no link could be established.
	ErrUnreachable = eris.New("link: unreachable")
	// ErrLost means that the link or the stream broke.
	ErrLost = eris.New("link: lost")
	// ErrProtocol means that the other side sent something unexpected.
	ErrProtocol = eris.New("link: protocol violation")
	// ErrUnauthorized means that the other side may not open a link: it is not on the
	// list of VMs or does not match its entry there.
	ErrUnauthorized = eris.New("link: unauthorized")
	// ErrReplaced means that the VM runs a different incarnation than requested.
	ErrReplaced = eris.New("link: incarnation replaced")
)

const (
	// MaxMessage is the largest message, in bytes.
	MaxMessage = 6 << 20
	// helloTimeout bounds dialing and the exchange of Hello messages.
	helloTimeout = time.Second
	// keepAlive is the interval of the session's keep-alive pings.
	keepAlive = time.Second
	// writeTimeout is the longest a write to a peer that does not read may block.
	writeTimeout = 3 * time.Second
	// callTimeout is the longest that a call may take to arrive on a stream that was opened for
	// it. It is longer than writeTimeout, within which the sender has to get rid of it.
	callTimeout = 5 * time.Second
)

// Local holds the identity that a process sends in its Hello, and the dependencies of
// its links.
type Local struct {
	VM          vm.ID
	Incarnation vm.Incarnation
	Role        vm.Role
	Zone        zone.ID
	BindIP      string // source IP of outgoing links, empty = any
	Clock       *timeline.Clock
	Revisions   func() (config, vms uint64)
	Traffic     *atomic.Int64 // counts the bytes of all links, may be nil
	// CallBudget bounds the memory of incoming calls over streamBuffer bytes that are being served, nil =
	// without a bound. A call without room is discarded and its stream closed, so that it does not run.
	CallBudget *inbound.Budget
	// DiscardedCalls counts the calls that were discarded.
	DiscardedCalls atomic.Int64
	Log            zerolog.Logger
}

func (l *Local) hello() *wire.Hello {
	config, vms := l.Revisions()
	return &wire.Hello{
		Vm: string(l.VM), Incarnation: uint64(l.Incarnation), Role: string(l.Role),
		Zone: string(l.Zone), ConfigRevision: config, VmsRevision: vms,
	}
}

// Handler serves the streams that the other side of a link opens.
type Handler interface {
	// ServeStream handles one call. The stream is closed when it returns.
	ServeStream(ctx context.Context, from *Link, s *Stream, call *wire.Call)
}

// Link is a session with another VM.
type Link struct {
	local       *Local
	session     *yamux.Session
	conn        *unidentifiedConn
	accepted    net.Conn       // as the listener returned it, nil for a link that was dialed
	discarded   zerolog.Logger // bounded in lines per second
	largeCalls  chan struct{}  // one for each large call that is being sent
	Remote      vm.ID
	Incarnation vm.Incarnation
	Role        vm.Role
	Zone        zone.ID
}

// newLink returns a link on a connection whose peer may send so many bytes before it is known.
func newLink(local *Local, conn net.Conn, unidentified int) *Link {
	return &Link{
		local: local, conn: newUnidentifiedConn(local.countTraffic(conn), unidentified),
		discarded: local.sampledLog(), largeCalls: make(chan struct{}, maxLargeCalls),
	}
}

func sessionConfig(log zerolog.Logger) *yamux.Config {
	c := yamux.DefaultConfig()
	c.KeepAliveInterval = keepAlive
	c.ConnectionWriteTimeout = writeTimeout
	c.StreamOpenTimeout = 0
	c.MaxStreamWindowSize = streamWindow
	c.AcceptBacklog = 4096
	c.LogOutput = nil
	c.Logger = sessionLogger{log}
	return c
}

// sessionLogger forwards the log output of the yamux library to zerolog.
type sessionLogger struct{ log zerolog.Logger }

func (l sessionLogger) Print(v ...any)            { l.log.Debug().Msg("session") }
func (l sessionLogger) Println(v ...any)          { l.log.Debug().Msg("session") }
func (l sessionLogger) Printf(f string, v ...any) { l.log.Debug().Msgf(f, v...) }

// Dial opens a link to the address. The handler, which may be nil, serves the streams that
// the other side opens.
func Dial(ctx context.Context, local *Local, address string, handler Handler) (*Link, error) {
	ctx, cancel := context.WithTimeout(ctx, helloTimeout)
	defer cancel()
	var d net.Dialer
	if local.BindIP != "" {
		d.LocalAddr = &net.TCPAddr{IP: net.ParseIP(local.BindIP)}
	}
	conn, err := d.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, eris.Wrapf(ErrUnreachable, "%s: %v", address, err)
	}
	l := newLink(local, conn, maxUnidentified)
	l.session, err = yamux.Client(newCoalescingConn(l.conn), sessionConfig(local.Log))
	if err != nil {
		conn.Close()
		return nil, eris.Wrapf(ErrUnreachable, "%s: %v", address, err)
	}
	if err := l.sendHello(ctx); err != nil {
		l.Close()
		return nil, err
	}
	go l.serve(handler)
	return l, nil
}

func (l *Link) sendHello(ctx context.Context) error {
	reply, err := l.Call(ctx, &wire.Call{Body: &wire.Call_Hello{Hello: l.local.hello()}})
	if err != nil {
		return err
	}
	if err := l.identify(reply.GetHello()); err != nil {
		return err
	}
	l.conn.identified.Store(true)
	return nil
}

func (l *Link) identify(h *wire.Hello) error {
	if h.GetVm() == "" {
		return eris.Wrap(ErrProtocol, "first message is not a Hello")
	}
	l.Remote = vm.ID(h.GetVm())
	l.Incarnation = vm.Incarnation(h.GetIncarnation())
	l.Role = vm.Role(h.GetRole())
	l.Zone = zone.ID(h.GetZone())
	return nil
}

// Authorizer decides whether a VM may open a link; an error rejects the link.
type Authorizer func(h *wire.Hello, remote net.Addr) error

// trustable is implemented by connections whose listener bounds those of unknown peers.
type trustable interface {
	// Trust is called when the peer is known and may open a link.
	Trust()
}

// Accept serves links on the listener until it is closed.
func Accept(ln net.Listener, local *Local, authorize Authorizer, handler Handler) error {
	rejected := local.sampledLog()
	for {
		conn, err := ln.Accept()
		if err != nil {
			return eris.Wrapf(ErrLost, "accept: %v", err)
		}
		go accept(conn, local, authorize, handler, rejected)
	}
}

// rejectedLogBurst is how many incoming links, or calls on one link, that were rejected are logged in
// a second.
const rejectedLogBurst = 10

// sampledLog returns a logger for what peers can cause often.
func (l *Local) sampledLog() zerolog.Logger {
	return l.Log.Sample(&zerolog.BurstSampler{Burst: rejectedLogBurst, Period: time.Second})
}

func accept(conn net.Conn, local *Local, authorize Authorizer, handler Handler, rejected zerolog.Logger) {
	l := newLink(local, conn, maxHelloBytes)
	l.accepted = conn
	session, err := yamux.Server(newCoalescingConn(l.conn), sessionConfig(local.Log))
	if err != nil {
		conn.Close()
		return
	}
	l.session = session
	if err := l.receiveHello(conn.RemoteAddr(), authorize); err != nil {
		rejected.Warn().Str("remote", conn.RemoteAddr().String()).Err(err).Msg("incoming link rejected")
		l.Close()
		return
	}
	l.serve(handler)
}

func (l *Link) receiveHello(remote net.Addr, authorize Authorizer) error {
	timer := time.AfterFunc(helloTimeout, func() { l.Close() })
	defer timer.Stop()
	raw, err := l.session.AcceptStream()
	if err != nil {
		return eris.Wrapf(ErrLost, "hello: %v", err)
	}
	s := l.newStream(raw)
	defer s.Close()
	call, err := s.RecvCall()
	if err != nil {
		return err
	}
	if err := l.identify(call.GetHello()); err != nil {
		return err
	}
	if authorize != nil {
		if err := authorize(call.GetHello(), remote); err != nil {
			return err
		}
	}
	l.conn.identified.Store(true)
	if t, ok := l.accepted.(trustable); ok {
		t.Trust()
	}
	return s.SendReply(&wire.Reply{Body: &wire.Reply_Hello{Hello: l.local.hello()}})
}

// serve handles streams until the session ends.
func (l *Link) serve(handler Handler) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	for {
		raw, err := l.session.AcceptStream()
		if err != nil {
			return
		}
		if handler == nil {
			raw.Close()
			continue
		}
		go l.serveStream(ctx, handler, l.newStream(raw))
	}
}

func (l *Link) serveStream(ctx context.Context, handler Handler, s *Stream) {
	defer s.Close()
	if budget := l.local.CallBudget; budget != nil {
		s.memory = budget.NewHold()
		defer s.memory.Release()
	}
	s.SetReadDeadline(time.Now().Add(callTimeout))
	call, err := s.RecvCall()
	s.SetReadDeadline(time.Time{})
	switch {
	case err == nil:
		handler.ServeStream(ctx, l, s, call)
	case eris.Is(err, inbound.ErrNoRoom):
		l.local.DiscardedCalls.Add(1)
		l.discarded.Warn().Str("vm", string(l.Remote)).Err(err).Msg("call discarded")
	case eris.Is(err, ErrProtocol):
		l.local.Log.Warn().Str("vm", string(l.Remote)).Err(err).Msg("malformed message; closing the link")
		l.Close()
	}
}

// Close ends the session and all its streams.
func (l *Link) Close() { _ = l.session.Close() }

// Closed reports whether the session has ended.
func (l *Link) Closed() bool { return l.session.IsClosed() }

// Done returns a channel that is closed when the session ends.
func (l *Link) Done() <-chan struct{} { return l.session.CloseChan() }

// Open opens a stream.
func (l *Link) Open(ctx context.Context) (*Stream, error) {
	if err := ctx.Err(); err != nil {
		return nil, eris.Wrapf(ErrLost, "open: %v", err)
	}
	raw, err := l.session.OpenStream()
	if err != nil {
		return nil, eris.Wrapf(ErrLost, "open: %v", err)
	}
	return l.newStream(raw), nil
}

// Call opens a stream, sends the call and waits for a single reply or the end of the
// context.
func (l *Link) Call(ctx context.Context, call *wire.Call) (*wire.Reply, error) {
	s, err := l.Open(ctx)
	if err != nil {
		return nil, err
	}
	defer s.Close()
	stop := context.AfterFunc(ctx, func() { _ = s.raw.SetDeadline(time.Unix(1, 0)) })
	defer stop()
	if err := s.SendCall(call); err != nil {
		return nil, err
	}
	return s.RecvReply()
}

// countingConn counts the bytes sent and received on a connection.
type countingConn struct {
	net.Conn
	traffic *atomic.Int64
}

func (l *Local) countTraffic(conn net.Conn) net.Conn {
	if l.Traffic == nil {
		return conn
	}
	return countingConn{Conn: conn, traffic: l.Traffic}
}

func (c countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.traffic.Add(int64(n))
	return n, err
}

func (c countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.traffic.Add(int64(n))
	return n, err
}
