package link

import (
	"bytes"
	"context"
	"encoding/binary"
	"io"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rotisserie/eris"
	"github.com/rs/zerolog"
	"google.golang.org/protobuf/encoding/protowire"

	"baywall.example/core/timeline"
	"baywall.example/core/vm"
	"baywall.example/core/wire"
)

func local(id vm.ID) *Local {
	return &Local{
		VM: id, Incarnation: 3, Role: vm.RoleEntry, Clock: &timeline.Clock{}, Log: zerolog.Nop(),
		Revisions: func() (uint64, uint64) { return 1, 2 },
	}
}

// echoHandler replies to a Pull with the revisions that the Pull contains.
type echoHandler struct{ served atomic.Int64 }

func (h *echoHandler) ServeStream(_ context.Context, _ *Link, s *Stream, call *wire.Call) {
	h.served.Add(1)
	p := call.GetPull()
	_ = s.QueueReply(&wire.Reply{Body: &wire.Reply_Pull{Pull: &wire.PullReply{ConfigRevision: p.GetConfigRevision()}}})
	_ = s.SendReply(&wire.Reply{Body: &wire.Reply_Pull{Pull: &wire.PullReply{VmsRevision: p.GetVmsRevision()}}})
}

func listen(t *testing.T, authorize Authorizer, h Handler) string {
	t.Helper()
	return listenAs(t, local("b"), authorize, h)
}

// listenAs is listen for a process of its own.
func listenAs(t *testing.T, as *Local, authorize Authorizer, h Handler) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	go func() { _ = Accept(ln, as, authorize, h) }()
	return ln.Addr().String()
}

func TestCallAndQueuedReplies(t *testing.T) {
	is := is.New(t)
	l, err := Dial(t.Context(), local("a"), listen(t, nil, &echoHandler{}), nil)
	is.NoErr(err)
	defer l.Close()
	is.Equal(l.Remote, vm.ID("b"))
	is.Equal(l.Incarnation, vm.Incarnation(3))
	s, err := l.Open(t.Context())
	is.NoErr(err)
	is.NoErr(s.SendCall(&wire.Call{Body: &wire.Call_Pull{Pull: &wire.Pull{ConfigRevision: 5, VmsRevision: 6}}}))
	first, err := s.RecvReply()
	is.NoErr(err)
	second, err := s.RecvReply()
	is.NoErr(err)
	is.Equal(first.GetPull().GetConfigRevision(), uint64(5))
	is.Equal(second.GetPull().GetVmsRevision(), uint64(6))
	is.True(second.GetClock() > first.GetClock())
}

func TestUnauthorizedLinkIsClosed(t *testing.T) {
	is := is.New(t)
	refuse := func(*wire.Hello, net.Addr) error { return ErrUnauthorized }
	_, err := Dial(t.Context(), local("a"), listen(t, refuse, &echoHandler{}), nil)
	is.True(eris.Is(err, ErrLost))
}

func TestCallEndsWithItsContext(t *testing.T) {
	is := is.New(t)
	stuck := handlerFunc(func(ctx context.Context) { <-ctx.Done() })
	l, err := Dial(t.Context(), local("a"), listen(t, nil, stuck), nil)
	is.NoErr(err)
	defer l.Close()
	ctx, cancel := context.WithCancel(t.Context())
	time.AfterFunc(10*time.Millisecond, cancel)
	_, err = l.Call(ctx, &wire.Call{Body: &wire.Call_Pull{Pull: &wire.Pull{}}})
	is.True(eris.Is(err, ErrLost))
}

type handlerFunc func(context.Context)

func (f handlerFunc) ServeStream(ctx context.Context, _ *Link, _ *Stream, _ *wire.Call) { f(ctx) }

// Malformed input and a message with an excessive length close the sender's link and
// affect no other link.
func TestMalformedInputClosesOnlyItsOwnLink(t *testing.T) {
	cases := []struct {
		name string
		raw  []byte
	}{
		{"not a session", []byte("GET / HTTP/1.1\r\n\r\n")},
		{"huge frame", frame(0, bytes.Repeat([]byte{0xff}, 64), 1<<31)},
		{"huge message", frame(1, protowire.AppendVarint(nil, 1<<40), 0)},
		{"bad message", frame(1, []byte{5, 1, 2, 3, 4, 5}, 0)},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			h := &echoHandler{}
			address := listen(t, nil, h)
			conn, err := net.Dial("tcp", address)
			is.NoErr(err)
			defer conn.Close()
			_, err = conn.Write(c.raw)
			is.NoErr(err)
			_, _ = io.Copy(io.Discard, conn) // until the other side closes
			is.Equal(h.served.Load(), int64(0))
			l, err := Dial(t.Context(), local("a"), address, nil)
			is.NoErr(err)
			l.Close()
		})
	}
}

// frame returns a yamux data frame of stream 1 with the given flags and body. If length is
// not 0, the header states it instead of the body's length.
func frame(flags uint16, body []byte, length uint32) []byte {
	if length == 0 {
		length = uint32(len(body))
	}
	out := make([]byte, frameHeaderSize)
	binary.BigEndian.PutUint16(out[2:], flags)
	binary.BigEndian.PutUint32(out[4:], 1)
	binary.BigEndian.PutUint32(out[frameLengthOffset:], length)
	return append(out, body...)
}

// FuzzFirstMessage sends arbitrary bytes as the first message of a link.
func FuzzFirstMessage(f *testing.F) {
	f.Add([]byte{})
	f.Add([]byte{2, 8, 1})
	f.Add(bytes.Repeat([]byte{0xff}, 20))
	f.Fuzz(func(t *testing.T, raw []byte) {
		client, server := net.Pipe()
		done := make(chan struct{})
		go func() {
			defer close(done)
			accept(server, local("b"), nil, &echoHandler{}, zerolog.Nop())
		}()
		go func() { _, _ = io.Copy(io.Discard, client) }()
		_, _ = client.Write(frame(1, raw, 0))
		client.Close()
		<-done
	})
}

func TestCloseIdleClosesOnlyUnusedLinks(t *testing.T) {
	is := is.New(t)
	p := NewPool(local("a"), nil, nil, nil)
	defer p.Close()
	_, err := p.Get(t.Context(), vm.VM{ID: "b", Link: listen(t, nil, &echoHandler{})})
	is.NoErr(err)
	p.CloseIdle(time.Now().Add(-time.Hour))
	is.Equal(len(p.Links()), 1)
	p.CloseIdle(time.Now().Add(time.Hour))
	is.Equal(len(p.Links()), 0)
}
