package engine

import (
	"bufio"
	"errors"
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
