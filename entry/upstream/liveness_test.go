package upstream

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
)

// misdirected rejects each request, and gives the id if it is not empty.
func misdirected(id string) func(int, *http.Request, net.Conn) bool {
	return func(_ int, r *http.Request, c net.Conn) bool {
		_, _ = fmt.Fprintf(c, "HTTP/1.1 421 Misdirected Request\r\nContent-Length: 0\r\n%s: %s\r\n", idHeader, r.Header.Get(idHeader))
		if id != "" {
			_, _ = fmt.Fprintf(c, "Server-Id: %s\r\n", id)
		}
		_, _ = fmt.Fprint(c, "\r\n")
		return true
	}
}

func identityOf(id string) IdentityQuery {
	return IdentityQuery{Target: "/health", ServerID: id, ExpectHeader: "Expect-Server", IDHeader: "Server-Id"}
}

// expecting answers like a server that gives no id with a rejection.
func expecting(id string) func(int, *http.Request, net.Conn) bool {
	reject := misdirected("")
	return func(n int, r *http.Request, c net.Conn) bool {
		if r.Header.Get("Expect-Server") != id {
			return reject(n, r, c)
		}
		_, _ = io.WriteString(c, "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n")
		return true
	}
}

func TestLiveness(t *testing.T) {
	cases := []struct {
		name     string
		script   func(int, *http.Request, net.Conn) bool
		state    State
		answered string
	}{
		{"same incarnation", misdirected("a"), Alive, "a"},
		{"another incarnation", misdirected("b"), Ended, "b"},
		{"same incarnation, full, gives no id", expecting("a"), Alive, "a"},
		{"another incarnation that gives no id", expecting("b"), Ended, ""},
		{"runs requests that expect another server", hello, Unknown, ""},
		{"closes the connection", func(int, *http.Request, net.Conn) bool { return false }, Unknown, ""},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			began := time.Now()
			p := newServer(t, c.script).pool()
			defer p.Close()
			l := p.Liveness(t.Context(), identityOf("a"))
			is.Equal(l.State, c.state)
			is.Equal(l.Answered, c.answered)
			is.True(l.Began.After(began))
			_, reused, _ := do(p, request("1"))
			is.Equal(reused, c.state == Alive) // only a connection to the incarnation serves requests
		})
	}
}

func TestLivenessOfAServerThatDoesNotAnswer(t *testing.T) {
	is := is.New(t)
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	is.NoErr(err)
	p := NewPool(ln.Addr().String(), time.Second)
	began := time.Now()
	is.Equal(p.Liveness(t.Context(), identityOf("a")).State, Unknown) // the kernel accepts connections
	is.True(time.Since(began) < 2*livenessTimeout)
	ln.Close()
	is.Equal(p.Liveness(t.Context(), identityOf("a")).State, Ended)
}

// A check that had begun before the end of an answer was read vouched for a server that ended
// meanwhile.
func TestLivenessCheckThatHasBegunServesNoLaterCaller(t *testing.T) {
	is := is.New(t)
	reject := misdirected("a")
	release := make(chan struct{})
	s := newServer(t, func(n int, r *http.Request, c net.Conn) bool {
		if n == 1 {
			<-release
		}
		return reject(n, r, c)
	})
	p := s.pool()
	defer p.Close()
	var first sync.WaitGroup
	first.Go(func() { is.Equal(p.Liveness(t.Context(), identityOf("a")).State, Alive) })
	<-s.requests // the first check runs, and the incarnation may end after its answer
	called := time.Now()
	l := p.Liveness(t.Context(), identityOf("a"))
	close(release)
	first.Wait()
	is.Equal(l.State, Alive)
	is.True(l.Began.After(called))
}

// Callers whose requests are lost together share one check, and one whose request has ended does
// not wait for it.
func TestCallersShareALivenessCheck(t *testing.T) {
	is := is.New(t)
	s := newServer(t, misdirected("a"))
	p := s.pool()
	defer p.Close()
	over, cancel := context.WithCancel(t.Context())
	cancel()
	var callers sync.WaitGroup
	for range 16 {
		callers.Go(func() { is.Equal(p.Liveness(t.Context(), identityOf("a")).State, Alive) })
	}
	callers.Wait()
	is.True(s.count.Load() < 16)
	is.Equal(p.Liveness(over, identityOf("a")).Began.IsZero(), false)
}
