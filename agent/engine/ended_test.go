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

// The end of an engine under an answer that ends with its connection was taken for the end of
// the answer, so that no entry VM learned of it.
func TestEndUnderAnUnframedAnswerIsNoEndOfTheAnswer(t *testing.T) {
	for _, ends := range []bool{true, false} {
		is := is.New(t)
		ln, err := net.Listen("tcp4", "127.0.0.1:0")
		is.NoErr(err)
		t.Cleanup(func() { ln.Close() })
		go func() {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			_, _ = http.ReadRequest(bufio.NewReader(conn))
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n\r\npart")
			if ends {
				ln.Close()
			}
			conn.Close()
		}()
		resp, err := New(ln.Addr().String()).Do(t.Context(), Request{ID: "r", Method: http.MethodPost, Path: "/", Body: []byte("body")})
		is.NoErr(err)
		body, err := io.ReadAll(resp.Body)
		is.Equal(string(body), "part")
		var ended *EndedError
		is.Equal(errors.As(err, &ended), ends)
	}
}
