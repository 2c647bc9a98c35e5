package inbound

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"
)

const (
	testHead = 16 << 10
	testBody = 1 << 20
	// testWait bounds the wait for something that has to happen.
	testWait = 10 * time.Second
)

// testServer is a listener that answers with the size of a request's body.
type testServer struct {
	*Listener
	set  *Set
	errs chan error // the first ones of ReadBody
}

func newTestServer(t *testing.T, change func(*Settings)) *testServer {
	t.Helper()
	machine := Machine{MemoryMB: 64, MaxFDs: 200}
	s := Settings{HeaderBytes: testHead, HeaderTimeout: time.Minute, IdleTimeout: time.Minute, WriteTimeout: time.Minute}
	if change != nil {
		change(&s)
	}
	s.Provision(machine)
	set := NewSet(s, zerolog.Nop())
	l, err := set.Listen(Options{Name: "test", Address: "127.0.0.1:0"})
	if err != nil {
		t.Fatal(err)
	}
	server := &testServer{Listener: l, set: set, errs: make(chan error, 100)}
	ctx, cancel := context.WithCancel(t.Context())
	go set.Run(ctx)
	go func() { _ = l.Serve(server, nil) }()
	t.Cleanup(func() {
		cancel()
		_ = l.Abort()
	})
	return server
}

// ServeHTTP answers with the size of the body, or with so many bytes as the query says, forwarded if it
// says so, too.
func (s *testServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := ReadBody(w, r, testBody, time.Now().Add(2*time.Second))
	select {
	case s.errs <- err:
	default: // the test does not read them
	}
	if err != nil {
		w.WriteHeader(http.StatusRequestTimeout)
		return
	}
	if strings.HasSuffix(r.URL.RawQuery, "&forward") {
		Forward(r.Context())
	}
	var size int
	if _, err := fmt.Sscanf(r.URL.RawQuery, "size=%d", &size); err == nil {
		_, _ = w.Write(make([]byte, size))
		return
	}
	fmt.Fprintf(w, "%d", len(body))
}

func (s *testServer) dial(t *testing.T) *testClient {
	t.Helper()
	conn, err := net.Dial("tcp4", s.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	return &testClient{Conn: conn, reader: bufio.NewReader(conn)}
}

// testClient is one connection to a testServer.
type testClient struct {
	net.Conn
	reader *bufio.Reader
}

// send sends raw bytes.
func (c *testClient) send(t *testing.T, raw string) {
	t.Helper()
	if _, err := io.WriteString(c, raw); err != nil {
		t.Fatal(err)
	}
}

// answer reads an answer and returns its status and body.
func (c *testClient) answer(t *testing.T) (int, string) {
	t.Helper()
	_ = c.SetReadDeadline(time.Now().Add(testWait))
	resp, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Fatal(err)
	}
	return resp.StatusCode, string(body)
}

// isClosed waits until the connection is closed by the server.
func (c *testClient) isClosed() bool {
	_ = c.SetReadDeadline(time.Now().Add(testWait))
	_, err := io.Copy(io.Discard, c.reader)
	var timeout net.Error
	return !errors.As(err, &timeout) || !timeout.Timeout()
}

func within(t *testing.T, holds func() bool) {
	t.Helper()
	for deadline := time.Now().Add(testWait); !holds(); time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("not in time")
		}
	}
}

const (
	getRequest = "GET / HTTP/1.1\r\nHost: h\r\n\r\n"
	postHead   = "POST / HTTP/1.1\r\nHost: h\r\n"
)

// shortLines returns header lines of the given size in total.
func shortLines(size int) string {
	var b strings.Builder
	for i := 0; b.Len() < size-8; i++ {
		fmt.Fprintf(&b, "%x:\r\n", i)
	}
	return b.String()
}

func TestBodiesAreReadWhole(t *testing.T) {
	chunked := func(sizes ...int) string {
		var b strings.Builder
		b.WriteString(postHead + "Transfer-Encoding: chunked\r\n\r\n")
		for _, n := range sizes {
			fmt.Fprintf(&b, "%x\r\n%s\r\n", n, strings.Repeat("x", n))
		}
		return b.String() + "0\r\nTrailer: x\r\n\r\n"
	}
	declared := func(n int) string {
		return fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", postHead, n, strings.Repeat("x", n))
	}
	for _, c := range []struct {
		name, raw string
		size      int
	}{
		{"none", getRequest, 0},
		{"declared as empty", declared(0), 0},
		{"small", declared(100), 100},
		{"large", declared(testBody), testBody},
		{"in chunks", chunked(100, 1, 7), 108},
		{"in chunks, none", chunked(), 0},
		{"in chunks, of ordinary size", chunked(ordinaryBody), ordinaryBody},
		{"in chunks, medium", chunked(ordinaryBody, mediumBody-ordinaryBody), mediumBody},
		{"in chunks, large", chunked(testBody/2, testBody/2), testBody},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			s := newTestServer(t, nil)
			client := s.dial(t)
			for range 2 { // the connection can be used again
				client.send(t, c.raw)
				status, body := client.answer(t)
				is.Equal(status, http.StatusOK)
				is.Equal(body, fmt.Sprint(c.size))
			}
			within(t, func() bool { return s.set.Bodies().Used() == 0 })
		})
	}
}

func TestBodiesOverTheLimitAreRefused(t *testing.T) {
	for _, head := range []string{
		fmt.Sprintf("Content-Length: %d\r\n\r\n", testBody+1),
		fmt.Sprintf("Transfer-Encoding: chunked\r\n\r\n%x\r\n", testBody+1),
	} {
		is := is.New(t)
		s := newTestServer(t, nil)
		client := s.dial(t)
		client.send(t, postHead+head)
		go func() { _, _ = client.Write(make([]byte, testBody+1)) }()
		status, _ := client.answer(t)
		is.Equal(status, http.StatusRequestTimeout) // the test's status for any error
		is.True(errors.Is(<-s.errs, ErrBodyTooLarge))
	}
}

// Nothing ended a body that comes byte by byte, or not at all.
func TestABodyEndsAtItsDeadline(t *testing.T) {
	is := is.New(t)
	s := newTestServer(t, nil)
	client := s.dial(t)
	client.send(t, postHead+"Content-Length: 100\r\n\r\nx")
	status, _ := client.answer(t)
	is.Equal(status, http.StatusRequestTimeout)
	is.True(errors.Is(<-s.errs, ErrBodyTimeout))
	is.Equal(s.Count(ReasonBodyTimeout), int64(1))
	is.True(client.isClosed())
}

// A handler that does not read a body must not wait for it.
func TestAnUnreadBodyDoesNotKeepItsConnection(t *testing.T) {
	set := NewSet(func() Settings {
		s := Settings{HeaderTimeout: 200 * time.Millisecond}
		s.Provision(Machine{MemoryMB: 64, MaxFDs: 200})
		return s
	}(), zerolog.Nop())
	l, err := set.Listen(Options{Name: "test", Address: "127.0.0.1:0"})
	if err != nil {
		t.Fatal(err)
	}
	go func() { _ = l.Serve(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}), nil) }()
	defer l.Abort()
	client := (&testServer{Listener: l}).dial(t)
	client.send(t, postHead+"Transfer-Encoding: chunked\r\n\r\n")
	status, _ := client.answer(t)
	is := is.New(t)
	is.Equal(status, http.StatusOK)
	is.True(client.isClosed())
}

// Bodies that stop just short of their end must not keep others out.
func TestSilentBodiesAreEndedForOthers(t *testing.T) {
	is := is.New(t)
	s := newTestServer(t, func(s *Settings) { s.MemoryMB = 4 })
	for range 8 {
		client := s.dial(t)
		client.send(t, fmt.Sprintf("%sContent-Length: %d\r\n\r\n", postHead, testBody))
		_, _ = io.WriteString(client, strings.Repeat("x", testBody/2)) // it is refused if it finds no room in time
	}
	within(t, func() bool {
		client := s.dial(t)
		client.send(t, fmt.Sprintf("%sContent-Length: %d\r\n\r\n", postHead, testBody))
		if _, err := client.Write(make([]byte, testBody)); err != nil {
			return false
		}
		status, _ := client.answer(t)
		return status == http.StatusOK
	})
	is.True(s.set.Bodies().Used() <= s.set.Bodies().Limit())
}

func TestHeadsWithinTheLimitAreServed(t *testing.T) {
	for _, c := range []struct{ name, lines string }{
		{"many lines", shortLines(testHead - 64)},
		{"one long line", "Long: " + strings.Repeat("x", testHead-64) + "\r\n"},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			s := newTestServer(t, nil)
			client := s.dial(t)
			for range 3 {
				client.send(t, "GET / HTTP/1.1\r\nHost: h\r\n"+c.lines+"\r\n")
				status, _ := client.answer(t)
				is.Equal(status, http.StatusOK)
			}
			within(t, func() bool { return s.set.Heads().Used() == 0 })
		})
	}
}

func TestHeadsOverTheLimitAreRefused(t *testing.T) {
	for _, c := range []struct{ name, raw string }{
		{"whole", "GET / HTTP/1.1\r\nHost: h\r\nLong: " + strings.Repeat("x", testHead) + "\r\n\r\n"},
		{"without end", "GET / HTTP/1.1\r\nHost: h\r\nLong: " + strings.Repeat("x", 4*testHead)},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			s := newTestServer(t, nil)
			client := s.dial(t)
			client.send(t, c.raw)
			status, _ := client.answer(t)
			is.Equal(status, http.StatusRequestHeaderFieldsTooLarge)
			is.Equal(s.Count(ReasonHeadSize), int64(1))
			is.True(client.isClosed())
		})
	}
}

// A budget that is smaller than the costliest head and the largest body has room for one that is not.
func TestASmallBudgetServesWhatFits(t *testing.T) {
	is := is.New(t)
	s := newTestServer(t, func(s *Settings) {
		s.MemoryMB = 1
		s.HeaderBytes = maxHeaderBytes
	})
	client := s.dial(t)
	client.send(t, "GET / HTTP/1.1\r\nHost: h\r\n"+shortLines(2<<10)+"\r\n")
	status, _ := client.answer(t)
	is.Equal(status, http.StatusOK)
	client.send(t, postHead+"Transfer-Encoding: chunked\r\n\r\n")
	for range 4 {
		client.send(t, fmt.Sprintf("%x\r\n%s\r\n", mediumBody, strings.Repeat("x", mediumBody)))
	}
	client.send(t, "0\r\n\r\n")
	status, body := client.answer(t)
	is.Equal(status, http.StatusOK)
	is.Equal(body, fmt.Sprint(4*mediumBody))
}

// Heads of many lines took many times their size in memory, without a bound on their sum.
func TestHeadsOfManyLinesStayWithinTheBudget(t *testing.T) {
	is := is.New(t)
	s := newTestServer(t, nil)
	for range 40 {
		client := s.dial(t)
		client.send(t, "GET / HTTP/1.1\r\nHost: h\r\n"+shortLines(testHead-64))
	}
	within(t, func() bool { return s.set.Heads().Used() > 0 })
	is.True(s.set.Heads().Used() <= s.set.Heads().Limit())
	client := s.dial(t)
	client.send(t, getRequest)
	status, _ := client.answer(t)
	is.Equal(status, http.StatusOK)
}

// Requests that follow each other in one packet are counted with their own heads.
func TestPipelinedRequestsAreServed(t *testing.T) {
	is := is.New(t)
	s := newTestServer(t, nil)
	client := s.dial(t)
	post := postHead + "Content-Length: 3\r\n\r\nabc"
	client.send(t, strings.Repeat(getRequest+post, 50))
	for range 50 {
		_, body := client.answer(t)
		is.Equal(body, "0")
		_, body = client.answer(t)
		is.Equal(body, "3")
	}
	is.Equal(s.Connections(), 1)
}
