package upstream

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

const (
	// exchangeMemory is what one exchange may allocate, in bytes: some hundred of them at a time
	// have to fit into the 284 MB of a small entry VM.
	exchangeMemory = 1 << 20
	// endless is how much a server sends that sends without end, in bytes: as much as a small
	// entry VM has.
	endless = 284 << 20
	// earlyAnswer is how soon an exchange has to end, so that another attempt is possible.
	earlyAnswer = 2 * time.Second
)

// newEndlessServer returns a server that answers with the start, and then with the part again and
// again, after a pause each time, until the connection is closed.
func newEndlessServer(t *testing.T, start, part string, pause time.Duration) *server {
	t.Helper()
	block := []byte(part)
	if pause == 0 {
		block = bytes.Repeat(block, 1+32<<10/len(part))
	}
	return newServer(t, func(_ int, _ *http.Request, c net.Conn) bool {
		_, err := io.WriteString(c, start)
		for sent := 0; err == nil && sent < endless; sent += len(block) {
			time.Sleep(pause)
			_, err = c.Write(block)
		}
		return false
	})
}

func TestBytesWithoutEndEndTheExchange(t *testing.T) {
	line := "X-Line: " + strings.Repeat("x", 1000) + "\r\n"
	other := "HTTP/1.1 200 OK\r\n" + idHeader + ": other\r\n"
	cases := []struct {
		name, start, part string
		pause             time.Duration
	}{
		{"head of lines", "HTTP/1.1 200 OK\r\n", line, 0},
		{"head of short lines", "HTTP/1.1 200 OK\r\n", "a:\r\n", 0},
		{"head of one line", "HTTP/1.1 200 OK\r\nX: ", "x", 0},
		{"head of a folded line", "HTTP/1.1 200 OK\r\nX: y\r\n", " z\r\n", 0},
		{"slow head", "HTTP/1.1 200 OK\r\nX: ", "x", 10 * time.Millisecond},
		{"status line", "HTTP/1.1 200 ", "x", 0},
		{"no HTTP", "", "x", 0},
		{"no HTTP, quoted in full", "", "\x00", 0},
		{"interim answers", "", "HTTP/1.1 103 Early Hints\r\n" + line + "\r\n", 0},
		{"interim answer", "HTTP/1.1 103 Early Hints\r\n", line, 0},
		{"other answers", "", other + "Content-Length: 2\r\n\r\nok", 0},
		{"other answer with a length", other + "Content-Length: 9000000000\r\n\r\n", "x", 0},
		{"other answer in chunks", other + "Transfer-Encoding: chunked\r\n\r\n", "2\r\nok\r\n", 0},
		{"other answer in slow chunks", other + "Transfer-Encoding: chunked\r\n\r\n", "2\r\nok\r\n", 10 * time.Millisecond},
		{"announced length", "HTTP/1.1 200 OK\r\nContent-Length: 9000000000000\r\n\r\n", "x", 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			p := newEndlessServer(t, c.start, c.part, c.pause).pool()
			defer p.Close()
			ctx, cancel := context.WithTimeout(t.Context(), 4*earlyAnswer)
			defer cancel()
			allocated, took, err := measure(func() error {
				_, err := p.Do(ctx, request("1"))
				return err
			})
			t.Logf("%d kB allocated, %v: %.80v", allocated>>10, took, err)
			is.True(errors.Is(err, ErrLost))
			is.True(allocated < exchangeMemory)
			is.True(took < earlyAnswer)
			is.True(len(err.Error()) < 1000) // it is logged
		})
	}
}

// The bytes between the chunks of a body, its trailer, and the body as a whole.
func TestBodyWithoutEndEndsTheExchange(t *testing.T) {
	const chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
	cases := []struct{ name, start, part string }{
		{"chunk extension", chunked + "2;x=", "x"},
		{"chunk extensions", chunked, "1;x=" + strings.Repeat("x", 1000) + "\r\nx\r\n"},
		{"chunk size", chunked, "0"},
		{"trailer of lines", chunked + "2\r\nok\r\n0\r\n", "X: x\r\n"},
		{"trailer of one line", chunked + "2\r\nok\r\n0\r\nX: ", "x"},
		{"chunks", chunked, "4000\r\n" + strings.Repeat("x", 0x4000) + "\r\n"},
		{"no length", "HTTP/1.1 200 OK\r\n\r\n", "x"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			p := newEndlessServer(t, c.start, c.part, 0).pool()
			defer p.Close()
			var n int64
			allocated, took, err := measure(func() error {
				a, err := p.Do(t.Context(), request("1"))
				if err != nil {
					return err
				}
				defer a.Close()
				n, err = io.Copy(io.Discard, a.Body)
				return err
			})
			t.Logf("%d kB allocated, %d kB read, %v: %v", allocated>>10, n>>10, took, err)
			is.True(errors.Is(err, ErrLost))
			is.True(n < endless)
			is.True(allocated < exchangeMemory)
			is.Equal(len(p.idle), 0) // the connection is not used again
		})
	}
}

// Heads as large as they may be are read, also if they come in two parts.
func TestLargeHeadsAreRead(t *testing.T) {
	is := is.New(t)
	fields := strings.Repeat("X-Field: "+strings.Repeat("x", 110)+"\r\n", maxHeadLines-20)
	is.True(len(fields) < maxHeadBytes)
	s := newServer(t, func(_ int, r *http.Request, c net.Conn) bool {
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n"+fields[:3000])
		time.Sleep(headTimeout / 2)
		_, _ = io.WriteString(c, fields[3000:]+idHeader+": "+r.Header.Get(idHeader)+"\r\nContent-Length: 5\r\n\r\nhello")
		return true
	})
	p := s.pool()
	defer p.Close()
	for i := range 2 {
		body, reused, err := do(p, request("1"))
		is.NoErr(err)
		is.Equal(body, "hello")
		is.Equal(reused, i > 0)
	}
}

// The wait for an answer is bounded by the context alone, on new and on used connections.
func TestWaitForTheHeadIsNotBoundedByItsTimeout(t *testing.T) {
	is := is.New(t)
	s := newServer(t, func(n int, r *http.Request, c net.Conn) bool {
		time.Sleep(headTimeout + headTimeout/10)
		return hello(n, r, c)
	})
	p := s.pool()
	defer p.Close()
	for range 2 {
		body, _, err := do(p, request("1"))
		is.NoErr(err)
		is.Equal(body, "hello")
	}
}

// measure returns how many bytes the process allocates while f runs, and how long f takes.
func measure(f func() error) (allocated uint64, took time.Duration, err error) {
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	began := time.Now()
	err = f()
	took = time.Since(began)
	runtime.ReadMemStats(&after)
	return after.TotalAlloc - before.TotalAlloc, took, err
}

// pausedConn stands for a process that is paused after it has read the first part of an answer.
type pausedConn struct {
	net.Conn
	pause time.Duration
	reads int
}

// Read implements net.Conn.
func (c *pausedConn) Read(p []byte) (int, error) {
	if c.reads++; c.reads == 2 {
		time.Sleep(c.pause)
	}
	return c.Conn.Read(p)
}

// A gateway that is paused while it reads a head or skips an answer reads what came meanwhile.
func TestAnswerThatCameDuringAPauseIsRead(t *testing.T) {
	long := "X: " + strings.Repeat("x", 8*bufferSize) + "\r\n"
	for _, c := range []struct{ name, other, fields string }{
		{"in a head", "", long},
		{"in a skipped answer", "HTTP/1.1 200 OK\r\n" + idHeader + ": other\r\nContent-Length: 9000\r\n\r\n" + strings.Repeat("x", 9000), ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			s := newServer(t, func(_ int, r *http.Request, conn net.Conn) bool {
				_, _ = io.WriteString(conn, c.other+strings.Replace(whole(r, "hello"), "\r\n", "\r\n"+c.fields, 1))
				return true
			})
			p := s.pool()
			defer p.Close()
			raw, err := net.Dial("tcp4", s.listener.Addr().String())
			is.NoErr(err)
			idle := newConn(&pausedConn{Conn: raw, pause: headTimeout + headTimeout/10})
			idle.expires = time.Now().Add(time.Minute)
			p.put(idle)
			body, reused, err := do(p, request("1"))
			is.NoErr(err)
			is.True(reused)
			is.Equal(body, "hello")
		})
	}
}
