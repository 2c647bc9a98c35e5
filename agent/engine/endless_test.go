package engine

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

const (
	// endless is how much an engine sends that sends without end, in bytes.
	endless = 284 << 20
	// headMemory and reportMemory are what an exchange may allocate, in bytes, if a head or a
	// report of at most 4 megabytes does not end.
	headMemory   = 1 << 20
	reportMemory = 32 << 20
)

// endlessClient returns a client of an engine that answers each request with the start, and then
// with the part again and again.
func endlessClient(t *testing.T, start, part string) *Client {
	t.Helper()
	block := bytes.Repeat([]byte(part), 1+32<<10/len(part))
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		conn, _, err := w.(http.Hijacker).Hijack()
		if err != nil {
			return
		}
		defer conn.Close()
		_, err = io.WriteString(conn, start)
		for sent := 0; err == nil && sent < endless; sent += len(block) {
			_, err = conn.Write(block)
		}
	}))
	t.Cleanup(server.Close)
	return New(strings.TrimPrefix(server.URL, "http://"))
}

func TestAnswersWithoutEnd(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\n"
	shapes := []struct {
		name, start, part string
		memory            uint64
	}{
		{"head of lines", head, "X-Line: " + strings.Repeat("x", 1000) + "\r\n", headMemory},
		{"head of one line", head + "X: ", "x", headMemory},
		{"no HTTP", "", "\x00", headMemory},
		{"interim answers", "", "HTTP/1.1 103 Early Hints\r\nX: x\r\n\r\n", headMemory},
		{"body", head + "\r\n", "x", reportMemory},
		{"body of an error", "HTTP/1.1 500 Internal Server Error\r\n\r\n", "x", reportMemory},
		{"announced length", head + "Content-Length: 9000000000\r\n\r\n", "x", reportMemory},
		{"chunk extension", head + "Transfer-Encoding: chunked\r\n\r\n2;x=", "x", headMemory},
		{"trailer", head + "Transfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n0\r\nX: ", "x", headMemory},
	}
	calls := []struct {
		name string
		call func(c *Client) error
	}{
		{"request", func(c *Client) error {
			resp, err := c.Do(t.Context(), Request{ID: "r", Method: http.MethodPost, Path: "/", Idempotent: true})
			if err != nil {
				return err
			}
			defer resp.Body.Close()
			n, err := io.Copy(io.Discard, resp.Body)
			if n >= endless {
				t.Errorf("%d bytes passed on", n)
			}
			return err
		}},
		{"load", func(c *Client) error {
			_, err := c.Load(t.Context())
			return err
		}},
		{"order", func(c *Client) error {
			_, err := c.Order(t.Context(), Order{Kind: OrderHold})
			return err
		}},
	}
	for _, s := range shapes {
		for _, c := range calls {
			t.Run(s.name+"/"+c.name, func(t *testing.T) {
				is := is.New(t)
				client := endlessClient(t, s.start, s.part)
				var before, after runtime.MemStats
				runtime.ReadMemStats(&before)
				began := time.Now()
				err := c.call(client)
				took := time.Since(began)
				runtime.ReadMemStats(&after)
				allocated := after.TotalAlloc - before.TotalAlloc
				t.Logf("%d kB, %v: %.120v", allocated>>10, took, err)
				is.True(err != nil)
				is.True(!errors.Is(err, ErrDial)) // it may have run
				is.True(allocated < s.memory)
				is.True(took < 2*time.Second)
				is.True(len(err.Error()) < 1000) // it is logged
			})
		}
	}
}
