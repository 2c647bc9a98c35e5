package engine

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/matryer/is"
)

// An engine that ends under each request that it gets, and has answered nothing since it
// started again, was counted as ended once, so that the request that ends it was not
// quarantined.
func TestEachEndOfAnEngineCounts(t *testing.T) {
	is := is.New(t)
	address := "127.0.0.1:0"
	var c *Client
	for want := uint64(1); want <= 3; want++ {
		ln, err := net.Listen("tcp4", address)
		is.NoErr(err)
		address = ln.Addr().String()
		if c == nil {
			c = New(address)
		}
		go func() {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			_, _ = http.ReadRequest(bufio.NewReader(conn))
			ln.Close()
			conn.Close()
		}()
		_, err = c.Do(t.Context(), Request{ID: "r", Method: http.MethodPost, Path: "/", Body: []byte("body")})
		var ended *EndedError
		is.True(errors.As(err, &ended))
		is.Equal(ended.Number, want)
	}
}

// unframedEngine answers requests with neither a length nor chunks, in two halves, and gives its
// load on other connections.
type unframedEngine struct {
	address string
	half    chan struct{} // sent half of the answer
	rest    chan struct{} // the second half may be sent
	server  *http.Server
}

func (e *unframedEngine) start(is *is.I) {
	ln, err := net.Listen("tcp4", e.address)
	is.NoErr(err)
	e.address = ln.Addr().String()
	e.server = &http.Server{Handler: e}
	go func(server *http.Server) { _ = server.Serve(ln) }(e.server) // returns when it is closed
}

// ServeHTTP implements http.Handler.
func (e *unframedEngine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == loadPath {
		_, _ = io.WriteString(w, "{}")
		return
	}
	conn, _, err := w.(http.Hijacker).Hijack()
	if err != nil {
		return
	}
	defer conn.Close()
	_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n\r\nhalf")
	e.half <- struct{}{}
	if _, whole := <-e.rest; whole {
		_, _ = io.WriteString(conn, " and half")
	}
}

// The end of an engine under an answer that ends with its connection was taken for the end of
// the answer, also if the engine was back at once, so that half an answer passed for the whole.
func TestEndUnderAnUnframedAnswerIsNoEndOfTheAnswer(t *testing.T) {
	for _, c := range []struct {
		name       string
		ends, back bool
	}{{"lives", false, false}, {"ends", true, false}, {"ends and is back at once", true, true}} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			e := &unframedEngine{address: "127.0.0.1:0", half: make(chan struct{}), rest: make(chan struct{})}
			e.start(is)
			t.Cleanup(func() { _ = e.server.Close() })
			client := New(e.address)
			_, err := client.Load(t.Context())
			is.NoErr(err)
			go func() {
				<-e.half
				switch {
				case !c.ends:
					e.rest <- struct{}{}
				case c.back:
					_ = e.server.Close()
					e.start(is)
				default:
					_ = e.server.Close()
				}
				close(e.rest)
			}()
			resp, err := client.Do(t.Context(), Request{ID: "r", Method: http.MethodPost, Path: "/", Body: []byte("body")})
			is.NoErr(err)
			body, err := io.ReadAll(resp.Body)
			is.Equal(string(body) == "half and half", !c.ends)
			is.Equal(errors.Is(err, ErrFailed), c.ends)
			var ended *EndedError
			is.Equal(errors.As(err, &ended), c.ends && !c.back)
		})
	}
}
