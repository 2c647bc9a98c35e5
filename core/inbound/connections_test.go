package inbound

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"
)

func TestTimeLimits(t *testing.T) {
	for _, c := range []struct {
		name   string
		change func(*Settings)
		raw    string
		reason Reason
	}{
		{"head", func(s *Settings) { s.HeaderTimeout = 100 * time.Millisecond }, "GET / HT", ReasonHeadTimeout},
		{"first request", func(s *Settings) { s.IdleTimeout = 100 * time.Millisecond }, "", ReasonIdleTimeout},
		{"next request", func(s *Settings) { s.IdleTimeout = 100 * time.Millisecond }, getRequest, ReasonIdleTimeout},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			s := newTestServer(t, c.change)
			client := s.dial(t)
			client.send(t, c.raw)
			is.True(client.isClosed())
			is.Equal(s.Count(c.reason), int64(1))
			within(t, func() bool { return s.Connections() == 0 && s.closing.Load() == 0 })
		})
	}
}

// A client that reads nothing kept its request's memory, and its backend server, without end.
func TestAnAnswerThatIsNotReadEnds(t *testing.T) {
	is := is.New(t)
	s := newTestServer(t, func(s *Settings) { s.WriteTimeout = 200 * time.Millisecond })
	client := s.dial(t)
	client.send(t, "GET /?size=50000000 HTTP/1.1\r\nHost: h\r\n\r\n")
	within(t, func() bool { return s.Count(ReasonWriteTimeout) == 1 })
	within(t, func() bool { return s.Connections() == 0 })
	is.True(client.isClosed())
}

// A client that reads slowly, but does read, gets its answer.
func TestAnAnswerThatIsReadSlowlyIsDelivered(t *testing.T) {
	is := is.New(t)
	s := newTestServer(t, func(s *Settings) { s.WriteTimeout = time.Second })
	client := s.dial(t)
	const size = 4_000_000
	client.send(t, fmt.Sprintf("GET /?size=%d HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n", size))
	total := 0
	buf := make([]byte, 32<<10)
	for {
		time.Sleep(20 * time.Millisecond)
		n, err := client.Read(buf)
		total += n
		if err != nil {
			break
		}
	}
	is.True(total >= size)
}

func TestANewConnectionTakesThePlaceOfTheLongestSilentOne(t *testing.T) {
	is := is.New(t)
	s := newTestServer(t, func(s *Settings) { s.Connections = 8 })
	used := s.dial(t)
	used.send(t, getRequest)
	used.answer(t)
	var silent []*testClient
	for range 7 {
		silent = append(silent, s.dial(t))
		time.Sleep(5 * time.Millisecond)
	}
	within(t, func() bool { return s.Connections() == 8 })
	time.Sleep(2 * minWaitToEnd)
	client := s.dial(t)
	client.send(t, getRequest)
	status, _ := client.answer(t)
	is.Equal(status, http.StatusOK)
	is.True(silent[0].isClosed())
	is.Equal(s.Count(ReasonConnections), int64(1))
	used.send(t, getRequest) // it is idle and was used before: others end first
	status, _ = used.answer(t)
	is.Equal(status, http.StatusOK)
}

// Clients whose requests are answered, but whose bodies do not come, kept all places.
func TestAnUnreadBodyGivesUpItsPlace(t *testing.T) {
	is := is.New(t)
	s := Settings{Connections: 8, HeaderTimeout: time.Minute}
	s.Provision(Machine{MemoryMB: 64, MaxFDs: 200})
	l, err := NewSet(s, zerolog.Nop()).Listen(Options{Name: "test", Address: "127.0.0.1:0"})
	is.NoErr(err)
	go func() { _ = l.Serve(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}), nil) }()
	defer func() { _ = l.Abort() }()
	server := &testServer{Listener: l}
	for range 8 {
		server.dial(t).send(t, postHead+"Content-Length: 1000\r\n\r\nx")
	}
	within(t, func() bool { return l.phaseLen(phaseLingering) == 8 })
	client := server.dial(t)
	client.send(t, getRequest)
	status, _ := client.answer(t)
	is.Equal(status, http.StatusOK)
}

func TestConnectionsWithARequestInProgressAreNotClosed(t *testing.T) {
	is := is.New(t)
	var l *Listener
	release := make(chan struct{})
	set := NewSet(func() Settings {
		s := Settings{Connections: 8}
		s.Provision(Machine{MemoryMB: 64, MaxFDs: 200})
		return s
	}(), zerolog.Nop())
	l, err := set.Listen(Options{Name: "test", Address: "127.0.0.1:0"})
	is.NoErr(err)
	go func() {
		_ = l.Serve(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { <-release }), nil)
	}()
	defer l.Abort()
	server := &testServer{Listener: l}
	var clients []*testClient
	for range 8 {
		c := server.dial(t)
		c.send(t, getRequest)
		clients = append(clients, c)
	}
	within(t, func() bool {
		l.mu.Lock()
		defer l.mu.Unlock()
		return l.lists[phaseServing].Len() == 8
	})
	is.True(server.dial(t).isClosed())
	is.Equal(l.Count(ReasonNoPlace), int64(1))
	close(release)
	for _, c := range clients {
		status, _ := c.answer(t)
		is.Equal(status, http.StatusOK)
	}
}

// Clients that are silent or slow must not hold up a shutdown.
func TestShutdownDoesNotWaitForSilentClients(t *testing.T) {
	is := is.New(t)
	s := newTestServer(t, nil)
	s.dial(t)
	s.dial(t).send(t, "GET / HT")
	within(t, func() bool { return s.Connections() == 2 })
	ctx, cancel := context.WithTimeout(t.Context(), testWait)
	defer cancel()
	is.NoErr(s.Shutdown(ctx))
}

// Peers that have said who they are do not count as unknown, and are not closed for others.
func TestTrustedPeersStay(t *testing.T) {
	is := is.New(t)
	s := Settings{}
	s.Provision(Machine{MemoryMB: 64, MaxFDs: 200})
	l, err := NewSet(s, zerolog.Nop()).Listen(Options{Name: "links", Address: "127.0.0.1:0", Connections: 2, Kind: KindLinks})
	is.NoErr(err)
	defer l.Close()
	server := &testServer{Listener: l}
	var peers []*testClient
	for range 5 {
		peers = append(peers, server.dial(t))
		c, err := l.Accept()
		is.NoErr(err)
		c.(*Conn).Trust()
		defer c.Close()
	}
	is.Equal(l.Connections(), 0)
	for range 10 {
		server.dial(t)
		c, err := l.Accept()
		is.NoErr(err)
		defer c.Close()
	}
	is.Equal(l.Connections(), 2)
	_ = peers[0].SetReadDeadline(time.Now().Add(50 * time.Millisecond))
	_, err = peers[0].Read(make([]byte, 1))
	var timeout net.Error
	is.True(errors.As(err, &timeout) && timeout.Timeout()) // still open
}

// noDescriptors is a listener that fails for a lack of descriptors a few times.
type noDescriptors struct {
	net.Listener
	failures int
}

func (l *noDescriptors) Accept() (net.Conn, error) {
	if l.failures > 0 {
		l.failures--
		return nil, &net.OpError{Op: "accept", Err: os.NewSyscallError("accept4", syscall.EMFILE)}
	}
	return l.Listener.Accept()
}

// A listener for links ended for good when the process once had no descriptor left.
func TestAcceptGoesOnAfterALackOfDescriptors(t *testing.T) {
	is := is.New(t)
	s := Settings{}
	s.Provision(Machine{MemoryMB: 64, MaxFDs: 200})
	l, err := NewSet(s, zerolog.Nop()).Listen(Options{Name: "links", Address: "127.0.0.1:0", Kind: KindLinks})
	is.NoErr(err)
	defer l.Close()
	l.Listener = &noDescriptors{Listener: l.Listener, failures: 3}
	(&testServer{Listener: l}).dial(t)
	conn, err := l.Accept()
	is.NoErr(err)
	conn.Close()
}

// Clients that read their answers slowly kept the memory of their requests while others found none.
func TestSlowReadersAreEndedForOthers(t *testing.T) {
	is := is.New(t)
	s := newTestServer(t, func(s *Settings) { s.MemoryMB = 1 })
	const bodySize = 300_000 // a second one finds no room beside the first
	slow := s.dial(t)
	slow.send(t, fmt.Sprintf("POST /?size=50000000 HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s", bodySize, strings.Repeat("x", bodySize)))
	within(t, func() bool { return s.phaseLen(phaseWriting) == 1 })
	client := s.dial(t)
	client.send(t, fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", postHead, bodySize, strings.Repeat("x", bodySize)))
	status, _ := client.answer(t)
	is.Equal(status, http.StatusOK)
	is.Equal(s.Count(ReasonAnswerSlow), int64(1))
	is.True(slow.isClosed())
}

// phaseLen returns the number of connections in a phase.
func (l *Listener) phaseLen(p phase) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.lists[p].Len()
}

func TestOnlySlowReadersOfForwardedAnswersAreEndedForAServer(t *testing.T) {
	is := is.New(t)
	s := newTestServer(t, nil)
	s.dial(t).send(t, "GET /?size=50000000 HTTP/1.1\r\nHost: h\r\n\r\n")
	within(t, func() bool { return s.phaseLen(phaseWriting) == 1 })
	time.Sleep(2 * s.set.settings.longestWrite())
	is.True(!s.set.EndSlowestReader())
	s.dial(t).send(t, "GET /?size=50000000&forward HTTP/1.1\r\nHost: h\r\n\r\n")
	within(t, func() bool { return s.phaseLen(phaseWriting) == 2 })
	is.True(!s.set.EndSlowestReader()) // it is not slow yet
	within(t, s.set.EndSlowestReader)
	within(t, func() bool { return s.phaseLen(phaseWriting) == 1 })
}
