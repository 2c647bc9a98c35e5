package upstream

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"baywall.example/standin/broken"
)

// upload is a body that no connection takes if its server does not read it.
var upload = make([]byte, 8<<20)

// fields are those of an answer to request("1").
const fields = idHeader + ": 1\r\n"

// If the writer of a long upload got the error of a reset, the reader took the part of an answer without
// a length that had come for the whole.
func TestPartBeforeAResetUnderAnUploadIsNotWhole(t *testing.T) {
	for name, part := range map[string]string{
		"no length":        "HTTP/1.1 200 OK\r\n" + fields + "\r\npart",
		"no length, empty": "HTTP/1.1 200 OK\r\n" + fields + "\r\n",
		"no length, long":  "HTTP/1.1 200 OK\r\n" + fields + "\r\n" + strings.Repeat("x", 9000),
		"HTTP/1.0":         "HTTP/1.0 200 OK\r\n" + fields + "\r\npart",
		"length":           "HTTP/1.1 200 OK\r\n" + fields + "Content-Length: 9\r\n\r\npart",
		"chunks":           "HTTP/1.1 200 OK\r\n" + fields + "Transfer-Encoding: chunked\r\n\r\n4\r\npart\r\n",
		"head":             "HTTP/1.1 200 OK\r\n" + fields,
	} {
		for _, toWriter := range []bool{true, false} {
			t.Run(fmt.Sprintf("%s/reset reported to the writer=%t", name, toWriter), func(t *testing.T) {
				is := is.New(t)
				address := broken.Serve(t, func(conn *net.TCPConn, _ *http.Request) bool {
					broken.ResetUpload(conn, broken.StallTime, part)
					return false
				})
				raw, err := net.Dial("tcp4", address)
				is.NoErr(err)
				c := newConn(broken.ReportReset(raw, toWriter))
				c.expires = time.Now().Add(time.Minute)
				p := NewPool(address, time.Second)
				p.put(c)
				r := request("1")
				r.Body = upload
				body, reused, err := do(p, r)
				t.Logf("%d bytes, %v", len(body), err)
				is.True(errors.Is(err, ErrLost))
				is.True(err != nil && len(err.Error()) < 1000)
				is.True(reused || body == "")
			})
		}
	}
}

// Answers that come while the upload is still being written.
func TestEarlyAnswers(t *testing.T) {
	unframed := "HTTP/1.1 200 OK\r\n" + fields + "\r\nanswer"
	cases := []struct {
		name   string
		answer broken.Handler
		whole  bool
	}{
		{"length, nothing read", func(conn *net.TCPConn, _ *http.Request) bool {
			_, _ = io.WriteString(conn, broken.Whole(fields, "answer"))
			time.Sleep(time.Second)
			return false
		}, true},
		{"chunks, nothing read", func(conn *net.TCPConn, _ *http.Request) bool {
			_, _ = io.WriteString(conn, broken.Chunked(fields, "answer", ""))
			time.Sleep(time.Second)
			return false
		}, true},
		{"no length, all read", broken.AnswerOnce(unframed), true},
		{"no length, all read after the end of the answer", func(conn *net.TCPConn, r *http.Request) bool {
			_, _ = io.WriteString(conn, unframed)
			_ = conn.CloseWrite()
			_, _ = io.Copy(io.Discard, r.Body)
			return false
		}, true},
		{"no length, nothing read after the end of the answer", func(conn *net.TCPConn, _ *http.Request) bool {
			_, _ = io.WriteString(conn, unframed)
			_ = conn.CloseWrite()
			time.Sleep(2 * time.Second)
			return false
		}, false},
	}
	for _, c := range cases {
		for _, size := range []int{4, inlineBody + 1, 100 << 10, len(upload)} {
			if !c.whole && size < len(upload) {
				continue // the connection takes the whole request
			}
			t.Run(fmt.Sprintf("%s/%d bytes", c.name, size), func(t *testing.T) {
				t.Parallel()
				is := is.New(t)
				r := request("1")
				r.Body = upload[:size]
				body, _, err := do(NewPool(broken.Serve(t, c.answer), time.Second), r)
				is.Equal(err == nil, c.whole)
				is.True(err == nil || errors.Is(err, ErrLost))
				is.Equal(body, "answer")
			})
		}
	}
}

// expectLost sends a request to a server that answers with the bytes, on a new connection and on one
// that has carried a request. It is the sender that has to give the connection up.
func expectLost(t *testing.T, bytes string) {
	t.Helper()
	for _, used := range []bool{false, true} {
		is := is.New(t)
		var requests atomic.Int32
		address := broken.Serve(t, func(conn *net.TCPConn, r *http.Request) bool {
			if requests.Add(1) == 1 && used {
				return broken.AnswerEach(broken.Whole(fields, "answer"))(conn, r)
			}
			return broken.AnswerEach(bytes)(conn, r)
		})
		p := NewPool(address, time.Second)
		defer p.Close()
		if used {
			_, _, err := do(p, request("1"))
			is.NoErr(err)
			is.Equal(len(p.idle), 1)
		}
		began := time.Now()
		_, _, err := do(p, request("1"))
		t.Log(err)
		is.True(errors.Is(err, ErrLost))
		is.True(time.Since(began) < earlyAnswer)
		is.True(err != nil && len(err.Error()) < 1000)
		is.Equal(len(p.idle), 0) // the connection is not used again
	}
}

// An answer whose status was 000 was skipped as an interim one, and its body taken for the answer.
func TestAnswersWithoutAValidStatusAreLost(t *testing.T) {
	for _, a := range broken.Statuses(fields, "answer") {
		t.Run(a.Name, func(t *testing.T) { expectLost(t, a.Bytes) })
	}
}

// An answer with a blank in the name of a field was accepted, though it may have decided where the
// answer ends.
func TestAnswersWithMalformedNamesAreLost(t *testing.T) {
	for _, a := range broken.Names(fields, "answer") {
		t.Run(a.Name, func(t *testing.T) { expectLost(t, a.Bytes) })
	}
}

func TestUnusualAnswersAreAccepted(t *testing.T) {
	for _, a := range broken.Sound(fields, "answer") {
		t.Run(a.Name, func(t *testing.T) {
			is := is.New(t)
			p := NewPool(broken.Serve(t, broken.AnswerEach(a.Bytes)), time.Second)
			defer p.Close()
			for i := range 3 {
				body, reused, err := do(p, request("1"))
				is.NoErr(err)
				is.Equal(body, "answer")
				is.Equal(reused, i > 0)
			}
		})
	}
}

// A head that is cut after any of its bytes is no answer, however it is cut.
func TestCutHeadsAreNoAnswers(t *testing.T) {
	stop := make(chan struct{})
	defer close(stop)
	ends := map[string]func(*net.TCPConn){
		"closed": func(conn *net.TCPConn) { _ = conn.Close() }, "reset": broken.Reset, "stopped": func(*net.TCPConn) { <-stop },
	}
	head := "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\nHTTP/1.1 200 OK\r\n" + fields + "Content-Length: 10\r\nX: y\r\n\r\n"
	for name, end := range ends {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var whole atomic.Int32
			var exchanges sync.WaitGroup
			for cut := 1; cut < len(head); cut++ {
				var requests atomic.Int32
				address := broken.Serve(t, func(conn *net.TCPConn, r *http.Request) bool {
					if r.ContentLength <= inlineBody && requests.Add(1) == 1 {
						return broken.AnswerEach(broken.Whole(fields, "answer"))(conn, r)
					}
					_, _ = io.WriteString(conn, head[:cut])
					end(conn)
					return false
				})
				exchanges.Go(func() {
					p := NewPool(address, time.Second)
					defer p.Close()
					_, _, first := do(p, request("1"))
					idle := len(p.idle)
					_, _, second := do(p, request("1"))
					r := request("1")
					r.Body = upload
					_, _, third := do(p, r)
					if first != nil || idle != 1 || !errors.Is(second, ErrLost) || !errors.Is(third, ErrLost) {
						whole.Add(1)
						t.Logf("cut after %q: %v; on the same connection: %v; long upload: %v", head[:cut], first, second, third)
					}
				})
			}
			exchanges.Wait()
			is.Equal(whole.Load(), int32(0))
		})
	}
}

// A malformed answer says nothing about which server gave it.
func TestMalformedAnswersShowNoIdentity(t *testing.T) {
	for _, a := range append(broken.Statuses("Server-Id: other\r\n", "answer"), broken.Names("Server-Id: other\r\n", "")...) {
		if strings.HasPrefix(a.Name, "trailer") {
			continue // the head alone is the answer
		}
		t.Run(a.Name, func(t *testing.T) {
			p := NewPool(broken.Serve(t, broken.AnswerOnce(a.Bytes)), time.Second)
			l := p.Liveness(t.Context(), IdentityQuery{Target: "/", ServerID: "own", ExpectHeader: "Expect-Server", IDHeader: "Server-Id"})
			is.New(t).Equal(l.State, Unknown)
		})
	}
}
