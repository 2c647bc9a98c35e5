package upstream

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
)

const idHeader = "Test-Id"

// server answers each request on a connection by calling the script.
type server struct {
	listener net.Listener
	script   func(n int, r *http.Request, c net.Conn) (keep bool)
	requests chan *http.Request
	count    atomic.Int32
}

func newServer(t *testing.T, script func(n int, r *http.Request, c net.Conn) bool) *server {
	t.Helper()
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	s := &server{listener: ln, script: script, requests: make(chan *http.Request, 16)}
	go s.accept()
	return s
}

func (s *server) accept() {
	for {
		c, err := s.listener.Accept()
		if err != nil {
			return
		}
		go s.serve(c)
	}
}

func (s *server) serve(c net.Conn) {
	defer c.Close()
	reader := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
		n := int(s.count.Add(1))
		s.requests <- r
		if !s.script(n, r, c) {
			return
		}
	}
}

func (s *server) pool() *Pool { return NewPool(s.listener.Addr().String(), time.Second) }

func whole(r *http.Request, body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\nContent-Length: %d\r\n\r\n%s", idHeader, r.Header.Get(idHeader), len(body), body)
}

func request(id string) *Request {
	h := make(http.Header)
	h.Set(idHeader, id)
	return &Request{Method: http.MethodPost, Target: "/a?b=1", Host: "h.example", Header: h, Body: []byte("body"), IDHeader: idHeader}
}

// do sends a request and reads the whole answer.
func do(p *Pool, r *Request) (body string, reused bool, err error) {
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	a, err := p.Do(ctx, r)
	if err != nil {
		return "", false, err
	}
	defer a.Close()
	raw, err := io.ReadAll(a.Body)
	return string(raw), a.Reused, err
}

// hello answers each request with a complete answer.
func hello(_ int, r *http.Request, c net.Conn) bool {
	_, _ = io.WriteString(c, whole(r, "hello"))
	return true
}

func TestConnectionsAreReusedAfterCompleteAnswers(t *testing.T) {
	is := is.New(t)
	s := newServer(t, hello)
	p := s.pool()
	defer p.Close()
	for i := range 3 {
		body, reused, err := do(p, request(fmt.Sprint(i)))
		is.NoErr(err)
		is.Equal(body, "hello")
		is.Equal(reused, i > 0)
		r := <-s.requests
		is.Equal(r.RequestURI, "/a?b=1")
		is.Equal(r.Host, "h.example")
	}
	fresh := request("x")
	fresh.Fresh = true
	_, reused, err := do(p, fresh)
	is.NoErr(err)
	is.True(!reused)
}

// A late answer to an earlier request, read where the next answer is expected, carries
// another request id and is skipped.
func TestLateAnswerIsNotPairedWithTheNextRequest(t *testing.T) {
	is := is.New(t)
	s := newServer(t, func(n int, r *http.Request, c net.Conn) bool {
		if n == 2 {
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n"+idHeader+": other\r\nContent-Length: 5\r\n\r\nwrong")
		}
		_, _ = io.WriteString(c, whole(r, "right"))
		return true
	})
	p := s.pool()
	defer p.Close()
	for i := range 3 {
		body, _, err := do(p, request(fmt.Sprint(i)))
		is.NoErr(err)
		is.Equal(body, "right")
	}
}

// Bytes after a complete answer belong to no request: the connection is not
// reused.
func TestSurplusBytesPreventReuse(t *testing.T) {
	is := is.New(t)
	s := newServer(t, func(_ int, r *http.Request, c net.Conn) bool {
		_, _ = io.WriteString(c, whole(r, "right")+"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwrong")
		return true
	})
	p := s.pool()
	defer p.Close()
	for i := range 3 {
		body, reused, err := do(p, request(fmt.Sprint(i)))
		is.NoErr(err)
		is.Equal(body, "right")
		is.True(!reused)
	}
}

func TestAnswerFraming(t *testing.T) {
	cases := []struct {
		name  string
		bytes string
		reset bool
		whole bool
	}{
		{"length reached", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", false, true},
		{"length not reached", "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nok", false, false},
		{"chunks ended", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n", false, true},
		{"chunks not ended", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n", false, false},
		{"no length, closed", "HTTP/1.1 200 OK\r\n\r\nok", false, true},
		{"no length, reset", "HTTP/1.1 200 OK\r\n\r\nok", true, false},
		{"no answer", "", false, false},
		{"no HTTP", "garbage\r\n\r\n", false, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			s := newServer(t, func(_ int, _ *http.Request, conn net.Conn) bool {
				_, _ = io.WriteString(conn, c.bytes)
				if c.reset {
					time.Sleep(20 * time.Millisecond)
					_ = conn.(*net.TCPConn).SetLinger(0)
				}
				return false
			})
			p := s.pool()
			defer p.Close()
			_, _, err := do(p, request("1"))
			is.Equal(err == nil, c.whole)
			is.True(err == nil || errors.Is(err, ErrLost))
		})
	}
}

// A gateway that was paused between opening a connection and sending the request wrote on a
// connection that the server had closed, and the request counted as one that may have run.
func TestRequestOnConnectionClosedBeforeSendingIsNotSent(t *testing.T) {
	is := is.New(t)
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	is.NoErr(err)
	defer ln.Close()
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			c.Close() // as a server that has waited for a request for long enough
		}
	}()
	r := request("1")
	r.Fresh = true
	r.Check = func() error {
		time.Sleep(recheckAfter)
		return nil
	}
	_, _, err = do(NewPool(ln.Addr().String(), time.Second), r)
	is.True(errors.Is(err, ErrNotSent))
}

func TestARefusedConnectionMeansNotSent(t *testing.T) {
	is := is.New(t)
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	is.NoErr(err)
	address := ln.Addr().String()
	ln.Close()
	_, _, err = do(NewPool(address, time.Second), request("1"))
	is.True(errors.Is(err, ErrNotSent))
}

// When the context ends, the connection is closed, which tells the backend server
// to stop.
func TestEndOfTheContextClosesTheConnection(t *testing.T) {
	is := is.New(t)
	closed := make(chan struct{})
	s := newServer(t, func(_ int, _ *http.Request, c net.Conn) bool {
		_, _ = c.Read(make([]byte, 1)) // until the other side closes
		close(closed)
		return false
	})
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		<-s.requests
		cancel()
	}()
	_, err := s.pool().Do(ctx, request("1"))
	is.True(errors.Is(err, ErrLost))
	select {
	case <-closed:
	case <-time.After(2 * time.Second):
		t.Fatal("the backend server's connection stays open")
	}
}

func TestIdleTimeFollowsTheKeepAliveHeader(t *testing.T) {
	is := is.New(t)
	is.Equal(idleTime(http.Header{"Keep-Alive": {"max=5, timeout=3"}}), 3*time.Second-idleMargin)
	is.Equal(idleTime(http.Header{"Keep-Alive": {"timeout=x"}}), defaultIdle)
	is.Equal(idleTime(http.Header{}), defaultIdle)
}

// A faulty server's additional bytes, or a late second answer to a probe, were taken for the answer
// to the next request on the connection, as they bear no id.
func TestAnswerWithoutAnIDIsNotTheAnswerToTheNextRequest(t *testing.T) {
	is := is.New(t)
	s := newServer(t, func(n int, r *http.Request, c net.Conn) bool {
		if n > 1 { // it arrives once the next request was sent
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
		}
		_, _ = io.WriteString(c, whole(r, "hello "+r.Header.Get(idHeader)))
		return true
	})
	p := s.pool()
	defer p.Close()
	for i := range 3 {
		body, _, err := do(p, request(fmt.Sprint(i)))
		is.NoErr(err)
		is.Equal(body, fmt.Sprint("hello ", i))
	}
}

// A rejection is given before the request has been read, so it may bear no id.
func TestRejectionWithoutAnIDIsAnAnswer(t *testing.T) {
	is := is.New(t)
	s := newServer(t, func(n int, r *http.Request, c net.Conn) bool {
		if n == 1 {
			return hello(n, r, c)
		}
		_, _ = io.WriteString(c, "HTTP/1.1 503 Service Unavailable\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n")
		return true
	})
	p := s.pool()
	defer p.Close()
	r := request("1")
	r.Rejects = func(_ int, h http.Header) bool { return h.Get("Not-Run") != "" }
	_, _, err := do(p, r)
	is.NoErr(err)
	a, err := p.Do(t.Context(), r)
	is.NoErr(err)
	is.True(a.Reused)
	is.Equal(a.Status, http.StatusServiceUnavailable)
	a.Close()
}

// A request whose check fails is not written, and its connection serves the next one.
func TestARequestThatFailsItsCheckIsNotSent(t *testing.T) {
	is := is.New(t)
	s := newServer(t, func(_ int, r *http.Request, c net.Conn) bool {
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n"+idHeader+": "+r.Header.Get(idHeader)+"\r\n\r\n")
		return true
	})
	p := NewPool(s.listener.Addr().String(), time.Second)
	no := errors.New("no")
	r := &Request{Method: http.MethodGet, Target: "/", Host: "h", Header: http.Header{idHeader: {"1"}}, IDHeader: idHeader, Check: func() error { return no }}
	_, err := p.Do(context.Background(), r)
	is.Equal(err, no)
	r.Check = func() error { return nil }
	answer, err := p.Do(context.Background(), r)
	is.NoErr(err)
	is.True(answer.Reused)
	answer.Close()
	is.Equal(s.count.Load(), int32(1))
}

func TestIdleConnectionsAreBounded(t *testing.T) {
	is := is.New(t)
	p := newServer(t, hello).pool()
	defer p.Close()
	var conns []*conn
	for range 3 {
		c, err := p.dial(t.Context())
		is.NoErr(err)
		conns = append(conns, c)
	}
	p.put(conns[0])
	p.put(conns[1])
	is.Equal(len(p.idle), 2)
	p.SetMaxIdle(1)
	is.Equal(len(p.idle), 1)
	is.Equal(p.idle[0], conns[1])
	p.put(conns[2])
	is.Equal(len(p.idle), 1)
	p.SetMaxIdle(2 * maxIdlePerServer)
	is.Equal(p.maxIdle, maxIdlePerServer)
}
