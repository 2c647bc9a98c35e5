package engine

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"baywall.example/core/answer"
	"baywall.example/standin/broken"
)

// serveEngine starts an engine that gives its load, on connections that stay open, and answers other
// requests as the test says. The client has read the load.
func serveEngine(t *testing.T, answer broken.Handler) *Client {
	t.Helper()
	c := New(broken.Serve(t, func(conn *net.TCPConn, r *http.Request) bool {
		if r.URL.Path == loadPath {
			return broken.AnswerEach(broken.Whole("", "{}"))(conn, r)
		}
		return answer(conn, r)
	}))
	_, err := c.Load(t.Context())
	is.New(t).NoErr(err)
	return c
}

// request sends a request with a body of the size and returns the whole answer.
func request(t *testing.T, c *Client, idempotent bool, size int) (body string, err error) {
	ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
	defer cancel()
	resp, err := c.Do(ctx, Request{ID: "r", Method: http.MethodPost, Path: "/", Body: make([]byte, size), Idempotent: idempotent})
	if err != nil {
		return "", err
	}
	defer resp.Body.Close()
	raw, err := io.ReadAll(resp.Body)
	return string(raw), err
}

// If the writer of a long upload got the error of a reset, the part of an answer without a length that
// had come was passed on as a whole answer.
func TestPartBeforeAResetIsNotPassedOn(t *testing.T) {
	for _, part := range []string{"", "part", strings.Repeat("part", 2000)} {
		for _, toWriter := range []bool{true, false} {
			t.Run(fmt.Sprintf("%d bytes, reset reported to the writer=%t", len(part), toWriter), func(t *testing.T) {
				is := is.New(t)
				c := serveEngine(t, func(conn *net.TCPConn, _ *http.Request) bool {
					broken.ResetUpload(conn, broken.StallTime, "HTTP/1.1 200 OK\r\n\r\n"+part)
					return false
				})
				c.singleUse = answer.NewTransport(&http.Transport{DisableKeepAlives: true, DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
					raw, err := new(net.Dialer).DialContext(ctx, network, address)
					return track(broken.ReportReset(raw, toWriter)), err
				}})
				body, err := request(t, c, false, 8<<20)
				is.True(err != nil)
				is.True(!errors.Is(err, ErrDial))
				is.True(len(body) <= len(part))
			})
		}
	}
}

// Answers of an engine that are malformed or cut. They were passed on, with the line in question or
// with another body.
func TestBrokenAnswersAreNotPassedOn(t *testing.T) {
	all := append(broken.Statuses("", "{}"), broken.Names("", "{}")...)
	head := "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 10\r\nX: y\r\n\r\n"
	for cut := range len(head) + 1 {
		all = append(all, broken.Answer{Name: fmt.Sprintf("cut after %d bytes", cut), Bytes: head[:cut]})
	}
	all = append(all, broken.Answer{Name: "cut chunks", Bytes: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n"})
	for _, a := range all {
		t.Run(a.Name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			c := serveEngine(t, broken.AnswerOnce(a.Bytes))
			for _, idempotent := range []bool{false, true} {
				for _, size := range []int{4, 3 << 20} {
					_, err := request(t, c, idempotent, size)
					is.True(err != nil)
					is.True(!errors.Is(err, ErrDial))
				}
			}
			_, err := c.Order(t.Context(), Order{Kind: OrderHold})
			is.True(errors.Is(err, ErrFailed)) // neither carried out nor refused
			_, err = c.Experts(t.Context())
			is.True(errors.Is(err, ErrFailed))
			_, err = New(broken.Serve(t, broken.AnswerOnce(a.Bytes))).Load(t.Context())
			is.True(errors.Is(err, ErrFailed))
		})
	}
}

func TestUnusualAnswersArePassedOn(t *testing.T) {
	for _, a := range append(broken.Sound("", "{}"), broken.Answer{Name: "no length", Bytes: "HTTP/1.1 200 OK\r\n\r\n{}"}) {
		t.Run(a.Name, func(t *testing.T) {
			is := is.New(t)
			answer := broken.AnswerEach(a.Bytes) // an engine that closes unannounced may reset the next request
			if a.Name == "no length" {
				answer = broken.AnswerOnce(a.Bytes)
			}
			c := serveEngine(t, answer)
			for _, size := range []int{4, 100 << 10, 3 << 20} {
				body, err := request(t, c, size > 4, size)
				is.NoErr(err)
				is.Equal(body, "{}")
			}
		})
	}
}

// A broken answer to the query for the load proved that an engine had outlived its answer without a
// length.
func TestBrokenAnswersProveNoLife(t *testing.T) {
	all := append(broken.Statuses("", "{}"), broken.Names("", "{}")...)
	all = append(all,
		broken.Answer{Name: "cut head", Bytes: "HTTP/1.1 200 OK\r\nContent-Le"},
		broken.Answer{Name: "cut body", Bytes: "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n{}"})
	for _, a := range append(all, broken.Answer{Name: "sound", Bytes: broken.Whole("", "{}")}) {
		t.Run(a.Name, func(t *testing.T) {
			is := is.New(t)
			var loads atomic.Int32
			c := New(broken.Serve(t, func(conn *net.TCPConn, r *http.Request) bool {
				switch {
				case r.URL.Path != loadPath:
					return broken.AnswerOnce("HTTP/1.1 200 OK\r\n\r\nanswer")(conn, r)
				case loads.Add(1) == 1:
					return broken.AnswerEach(broken.Whole("", "{}"))(conn, r)
				}
				return broken.AnswerOnce(a.Bytes)(conn, r)
			}))
			_, err := c.Load(t.Context())
			is.NoErr(err)
			_, err = request(t, c, false, 4)
			is.Equal(err == nil, a.Name == "sound")
			is.Equal(loads.Load(), int32(2)) // on the connection that was open before
		})
	}
}
