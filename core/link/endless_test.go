package link

import (
	"context"
	"io"
	"net"
	"runtime"
	"testing"
	"time"

	"github.com/hashicorp/yamux"
	"github.com/matryer/is"
	"github.com/rotisserie/eris"
	"github.com/rs/zerolog"
	"google.golang.org/protobuf/encoding/protowire"

	"baywall.example/core/inbound"
	"baywall.example/core/vm"
	"baywall.example/core/wire"
)

// linkMemory is what a peer may make a process allocate before it is known to be one, in bytes: an
// eighth of the 284 MB of a small entry VM.
const linkMemory = 284 << 20 / 8

// openRaw opens a session without a Hello.
func openRaw(t *testing.T, address string) *yamux.Session {
	t.Helper()
	conn, err := net.Dial("tcp4", address)
	if err != nil {
		t.Fatal(err)
	}
	session, err := yamux.Client(conn, sessionConfig(zerolog.Nop()))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { session.Close() })
	return session
}

func allocated() uint64 {
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.TotalAlloc
}

// A peer that sends without end before it has said who it is.
func TestBytesBeforeTheHelloAreBounded(t *testing.T) {
	is := is.New(t)
	session := openRaw(t, listen(t, nil, &echoHandler{}))
	window := make([]byte, 256<<10)
	copy(window, protowire.AppendVarint(nil, MaxMessage)) // a message that does not end
	before, sent := allocated(), 0
	for range 1000 {
		s, err := session.OpenStream()
		if err != nil {
			break
		}
		_ = s.SetWriteDeadline(time.Now().Add(2 * helloTimeout))
		n, err := s.Write(window)
		sent += n
		if err != nil {
			break
		}
	}
	t.Logf("%d kB sent, %d kB allocated", sent>>10, (allocated()-before)>>10)
	is.True(allocated()-before < linkMemory)
	<-session.CloseChan()
}

// A peer that announces large messages and sends a small part of each. The memory for all of them was
// taken at once.
func TestAnnouncedMessagesTakeNoMemory(t *testing.T) {
	is := is.New(t)
	l, err := Dial(t.Context(), local("a"), listen(t, nil, &echoHandler{}), nil)
	is.NoErr(err)
	defer l.Close()
	announcement := append(protowire.AppendVarint(nil, MaxMessage), make([]byte, 2*streamBuffer)...)
	before := allocated()
	for range 100 {
		s, err := l.session.OpenStream()
		is.NoErr(err)
		_, err = s.Write(announcement)
		is.NoErr(err)
	}
	time.Sleep(100 * time.Millisecond) // until all of them are being received
	_, err = l.Call(t.Context(), &wire.Call{Body: &wire.Call_Pull{Pull: &wire.Pull{}}})
	is.NoErr(err)
	t.Logf("%d kB allocated", (allocated()-before)>>10)
	is.True(allocated()-before < linkMemory)
}

// A large message arrives whole, also in parts.
func TestLargeMessages(t *testing.T) {
	is := is.New(t)
	l, err := Dial(t.Context(), local("a"), listen(t, nil, &echoHandler{}), nil)
	is.NoErr(err)
	defer l.Close()
	for _, size := range []int{0, streamBuffer - 8, streamBuffer, maxPreallocated, MaxMessage - 100} {
		call := &wire.Call{Body: &wire.Call_Pull{Pull: &wire.Pull{ConfigRevision: 7}}}
		call.ProtoReflect().SetUnknown(protowire.AppendBytes(protowire.AppendTag(nil, 1000, protowire.BytesType), make([]byte, size)))
		reply, err := l.Call(t.Context(), call)
		is.NoErr(err)
		is.Equal(reply.GetPull().GetConfigRevision(), uint64(7))
	}
}

// A stream on which no call arrives is closed; one that is served stays open.
func TestStreamWithoutACallIsClosed(t *testing.T) {
	is := is.New(t)
	l, err := Dial(t.Context(), local("a"), listen(t, nil, &echoHandler{}), nil)
	is.NoErr(err)
	defer l.Close()
	s, err := l.session.OpenStream()
	is.NoErr(err)
	_, err = s.Write(protowire.AppendVarint(nil, 100))
	is.NoErr(err)
	is.NoErr(s.SetReadDeadline(time.Now().Add(2 * callTimeout)))
	_, err = s.Read(make([]byte, 1))
	is.Equal(err, io.EOF)
	is.True(!l.Closed())
}

// A peer that accepts a link and never says who it is, or sends bytes without end in place of it.
func TestDialIsBounded(t *testing.T) {
	for _, c := range []struct {
		name string
		peer func(conn net.Conn)
	}{
		{"silent session", func(conn net.Conn) {
			if session, err := yamux.Server(conn, sessionConfig(zerolog.Nop())); err == nil {
				<-session.CloseChan()
			}
		}},
		{"bytes without end", func(conn net.Conn) {
			block := make([]byte, 64<<10)
			for sent := 0; sent < 284<<20; sent += len(block) {
				if _, err := conn.Write(block); err != nil {
					return
				}
			}
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			ln, err := net.Listen("tcp4", "127.0.0.1:0")
			is.NoErr(err)
			defer ln.Close()
			go func() {
				for {
					conn, err := ln.Accept()
					if err != nil {
						return
					}
					go func() {
						defer conn.Close()
						c.peer(conn)
					}()
				}
			}()
			before, began := allocated(), time.Now()
			_, err = Dial(t.Context(), local("a"), ln.Addr().String(), nil)
			is.True(err != nil)
			is.True(time.Since(began) < 2*helloTimeout)
			is.True(allocated()-before < linkMemory)
			p := NewPool(local("a"), nil, nil, nil)
			defer p.Close()
			_, err = p.Get(t.Context(), vm.VM{ID: "b", Link: ln.Addr().String()})
			is.True(err != nil)
		})
	}
}

// Calls that come from many peers were kept whole, as many as there were.
func TestCallsWithoutRoomAreDiscarded(t *testing.T) {
	is := is.New(t)
	const callSize = 1 << 20
	served, release := make(chan struct{}), make(chan struct{})
	receiver := local("b")
	receiver.CallBudget = inbound.NewBudget(2*callSize, 10*time.Millisecond, 1)
	address := listenAs(t, receiver, nil, handlerFunc(func(context.Context) {
		served <- struct{}{}
		<-release
	}))
	l, err := Dial(t.Context(), local("a"), address, nil)
	is.NoErr(err)
	defer l.Close()
	call := func(size int) error {
		c := &wire.Call{Body: &wire.Call_Pull{Pull: &wire.Pull{}}}
		c.ProtoReflect().SetUnknown(protowire.AppendBytes(protowire.AppendTag(nil, 1000, protowire.BytesType), make([]byte, size)))
		_, err := l.Call(t.Context(), c)
		return err
	}
	go func() { _ = call(callSize) }()
	<-served // it is larger than the budget with all that it takes, and served alone
	is.True(eris.Is(call(callSize), ErrLost))
	is.Equal(receiver.DiscardedCalls.Load(), int64(1))
	is.True(!l.Closed())
	go func() { _ = call(0) }()
	<-served // small calls need no room
	close(release)
}
