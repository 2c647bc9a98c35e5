package answer

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"testing/iotest"
	"time"

	"github.com/matryer/is"

	"baywall.example/standin/broken"
)

// fakeConn is a connection whose reader and writer are set by a test.
type fakeConn struct {
	net.Conn
	in    io.Reader
	write func() error
}

func (c *fakeConn) Read(p []byte) (int, error) { return c.in.Read(p) }
func (c *fakeConn) Write(p []byte) (int, error) {
	if err := c.write(); err != nil {
		return 0, err
	}
	return len(p), nil
}
func (c *fakeConn) Close() error { return nil }

// read reads an answer that arrives as the reader gives it, and the interim answers before it.
func read(in io.Reader) (body string, conn *Conn, err error) {
	conn = NewConn(&fakeConn{in: in, write: func() error { return nil }})
	conn.BeginRequest()
	conn.EndRequest(nil)
	reader := bufio.NewReader(conn)
	for {
		resp, err := http.ReadResponse(reader, nil)
		if err != nil {
			return "", conn, err
		}
		if resp.StatusCode < http.StatusOK {
			continue
		}
		raw, err := io.ReadAll(resp.Body)
		if err == nil {
			err = CheckTrailer(resp)
		}
		return string(raw), conn, err
	}
}

// arrivals are ways in which the bytes of an answer may arrive.
var arrivals = map[string]func(io.Reader) io.Reader{
	"at once": func(in io.Reader) io.Reader { return in }, "byte by byte": iotest.OneByteReader, "in halves": iotest.HalfReader,
}

func TestHeads(t *testing.T) {
	for arrival, arrive := range arrivals {
		for _, a := range append(broken.Statuses("", "answer"), broken.Names("", "answer")...) {
			t.Run(a.Name+"/"+arrival, func(t *testing.T) {
				is := is.New(t)
				_, conn, err := read(arrive(strings.NewReader(a.Bytes)))
				is.True(err != nil)
				is.True(strings.HasPrefix(a.Name, "trailer") || errors.Is(conn.Err(), ErrMalformed))
				_, err = conn.Write([]byte("next"))
				is.Equal(err, conn.Err()) // nothing more is sent on it
			})
		}
		for _, a := range broken.Sound("", "answer") {
			t.Run(a.Name+"/"+arrival, func(t *testing.T) {
				is := is.New(t)
				body, conn, err := read(arrive(strings.NewReader(a.Bytes)))
				is.NoErr(err)
				is.Equal(body, "answer")
				is.NoErr(conn.Err())
				is.True(conn.headRead())
			})
		}
	}
}

// The end of a connection is judged once it is known whether the request was written.
func TestEndOfAnswerWaitsForTheWriter(t *testing.T) {
	for _, c := range []struct {
		name    string
		written error
		want    error
	}{{"written", nil, io.EOF}, {"failed", net.ErrClosed, ErrCut}} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			resume := make(chan struct{})
			conn := NewConn(&fakeConn{in: strings.NewReader("HTTP/1.1 200 OK\r\n\r\n"), write: func() error {
				<-resume
				return c.written
			}})
			conn.BeginRequest()
			go func() {
				_, err := conn.Write(nil)
				conn.EndRequest(err)
			}()
			time.AfterFunc(20*time.Millisecond, func() { close(resume) })
			_, err := io.Copy(io.Discard, conn)
			is.Equal(err == nil, c.want == io.EOF)
			is.True(err == nil || errors.Is(err, c.want))
			is.Equal(conn.Written(), c.written == nil)
		})
	}
}

// Surplus bytes after an answer are not the answer to the next request.
func TestAnswersBeforeTheirRequestsAreRefused(t *testing.T) {
	is := is.New(t)
	address := broken.Serve(t, broken.AnswerEach(broken.Whole("", "right")+broken.Whole("", "wrong")))
	client := &http.Client{Transport: NewTransport(&http.Transport{})}
	for range 200 {
		resp, err := client.Get("http://" + address)
		if err != nil {
			continue
		}
		raw, err := io.ReadAll(resp.Body)
		resp.Body.Close()
		is.True(err != nil || string(raw) == "right")
	}
}

// An http.Transport repeats a GET by itself if a connection that has carried a request fails with no
// byte read.
func TestRequestsWithMalformedAnswersAreSentOnce(t *testing.T) {
	is := is.New(t)
	var requests atomic.Int32
	address := broken.Serve(t, func(conn *net.TCPConn, r *http.Request) bool {
		if requests.Add(1) == 1 {
			return broken.AnswerEach(broken.Whole("", "answer"))(conn, r)
		}
		return broken.AnswerEach(broken.WithStatus("000 Status", "", "answer"))(conn, r)
	})
	client := &http.Client{Transport: NewTransport(&http.Transport{})}
	resp, err := client.Get("http://" + address)
	is.NoErr(err)
	_, err = io.ReadAll(resp.Body)
	is.NoErr(err)
	resp.Body.Close()
	_, err = client.Get("http://" + address)
	is.True(errors.Is(err, ErrMalformed))
	is.Equal(requests.Load(), int32(2))
}
