package inbound

import (
	"context"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/rotisserie/eris"
	"github.com/rs/zerolog"

	"baywall.example/core/socket"
	"baywall.example/core/wait"
)

// ErrListen means that a listener could not be opened.
var ErrListen = eris.New("inbound: cannot listen")

const (
	// sweepInterval is the time between two checks for connections that have exceeded a time limit.
	sweepInterval = 250 * time.Millisecond
	// reportInterval is the least time between two log lines of one listener.
	reportInterval = time.Second
	// headShare is the part of the memory budget that is for heads.
	headShare = 0.25
)

// Set is the listeners of a process. It is safe for concurrent use.
type Set struct {
	settings Settings
	log      zerolog.Logger
	heads    *Budget
	bodies   *Budget

	mu        sync.Mutex
	listeners []*Listener
	metrics   *metrics.Set // nil until Register
}

// NewSet returns a set without listeners, for settings whose defaults are filled in.
func NewSet(s Settings, log zerolog.Logger) *Set {
	memory := int64(s.MemoryMB) * megabyte
	heads := int64(headShare * float64(memory))
	budget := func(bytes int64) *Budget { return NewBudget(bytes, s.RoomWait, float64(s.MinRate)) }
	set := &Set{settings: s, log: log, heads: budget(heads), bodies: budget(memory - heads)}
	set.bodies.endReaders = set.endSlowReaders
	return set
}

// endSlowReaders closes connections whose clients hold memory in the budget for bodies and read their
// answers slowly, until that releases the given number of bytes or there are no more.
func (s *Set) endSlowReaders(needed int64) {
	before := time.Now().Add(-s.settings.longestWrite())
	for _, l := range s.Listeners() {
		if needed <= 0 {
			return
		}
		needed -= l.endSlowReaders(before, needed)
	}
}

// Heads returns the budget for the heads of requests.
func (s *Set) Heads() *Budget { return s.heads }

// Bodies returns the budget for bodies and buffered answers.
func (s *Set) Bodies() *Budget { return s.bodies }

// Listeners returns the open listeners.
func (s *Set) Listeners() []*Listener {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]*Listener(nil), s.listeners...)
}

// EndSlowestReader closes the connection whose client has kept a part of a forwarded answer waiting the
// longest, if that is slower than the least rate. It reports whether there was one. The backend server
// that sends the answer is then free.
func (s *Set) EndSlowestReader() bool {
	before := time.Now().Add(-s.settings.longestWrite())
	for _, l := range s.Listeners() {
		if l.endSlowestReader(before) {
			return true
		}
	}
	return false
}

// Kind is the kind of a listener.
type Kind int

// Kinds of listeners.
const (
	KindMain      Kind = iota // HTTP for callers
	KindAuxiliary             // HTTP for others, such as metrics
	KindLinks                 // links between processes, where Conn.Trust ends the limits
)

// connections returns how many connections a listener of the kind takes.
func (s *Settings) connections(k Kind) int {
	switch k {
	case KindAuxiliary:
		return s.AuxiliaryConnections
	case KindLinks:
		return s.UnknownPeers
	default:
		return s.Connections
	}
}

// backlog returns how many connections may wait to be accepted by a listener of the kind that takes a
// number of connections.
func (s *Settings) backlog(k Kind, connections int) int {
	if k == KindMain {
		return s.Backlog
	}
	return backlogOf(connections)
}

// Options describe a listener.
type Options struct {
	// Name is the name of the listener in logs and metrics.
	Name string
	// Address is the IP:port to listen on.
	Address string
	// Kind decides how many connections the listener takes and what is spoken on them.
	Kind Kind
	// Connections bounds the number of connections. 0 means as many as the settings say for the kind.
	Connections int
	// Limits returns the limits in force. Nil means those of the settings.
	Limits func() Limits
}

// Listen opens a listener.
func (s *Set) Listen(o Options) (*Listener, error) {
	config := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error { return s.setBuffers(raw, o.Kind) }}
	raw, err := config.Listen(context.Background(), "tcp4", o.Address)
	if err != nil {
		return nil, eris.Wrapf(ErrListen, "%s: %v", o.Address, err)
	}
	l := newListener(s, raw, o)
	if err := setBacklog(raw, s.settings.backlog(o.Kind, l.maxConnections)); err != nil {
		raw.Close()
		return nil, eris.Wrapf(ErrListen, "%s: %v", o.Address, err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.listeners = append(s.listeners, l)
	if s.metrics != nil {
		l.register(s.metrics)
	}
	return l, nil
}

// setBuffers sets the sizes of the buffers of a listener of the kind, which accepted connections inherit.
func (s *Set) setBuffers(raw syscall.RawConn, k Kind) error {
	if k == KindLinks {
		return socket.SetBuffers(raw, s.settings.ReceiveBuffer, 0)
	}
	return socket.SetBuffers(raw, s.settings.ReceiveBuffer, s.settings.SendBuffer)
}

// setBacklog sets how many connections may wait to be accepted. The library itself takes the largest
// number that the system allows.
func setBacklog(l net.Listener, backlog int) error {
	raw, err := l.(*net.TCPListener).SyscallConn()
	if err != nil {
		return err
	}
	controlErr := raw.Control(func(fd uintptr) { err = syscall.Listen(int(fd), backlog) })
	if controlErr != nil {
		return controlErr
	}
	return err
}

// Run closes connections that exceed a time limit, and reports what was closed and refused, until
// the context ends.
func (s *Set) Run(ctx context.Context) {
	for wait.Sleep(ctx, sweepInterval) {
		now := time.Now()
		for _, l := range s.Listeners() {
			l.sweep(now)
			l.report(now)
		}
	}
}
