package gateway

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// beginUnframed sends the head of an answer that has neither a length nor chunks, and the
// first part of its body. It returns the function that closes the connection, which ends
// the answer.
func beginUnframed(rw http.ResponseWriter, r *http.Request, part string) (end func()) {
	conn, _, err := rw.(http.Hijacker).Hijack()
	if err != nil {
		return func() {}
	}
	fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nT-Id: %s\r\n\r\n%s", r.Header.Get("T-Id"), part)
	return func() { conn.Close() }
}

// The end of a server under an answer that ends with its connection was taken for the end
// of the answer: the caller got a whole answer, and the request was never quarantined.
func TestCrashUnderAnUnframedAnswerIsNoSuccess(t *testing.T) {
	for _, c := range []struct{ path, part string }{
		{"/many/x", "part of the answer"},
		{"/once/x", ""},
		{"/stream/x", "id: 1\ndata: piece\n\n"},
		{"/stream/y", ""},
	} {
		t.Run(strings.TrimPrefix(c.path, "/"), func(t *testing.T) {
			is := is.New(t)
			var w *crashFleet
			w = startCrashFleet(t, 8, 3, func(rw http.ResponseWriter, r *http.Request) {
				w.arrivals.Add(1)
				end := beginUnframed(rw, r, c.part)
				w.serverOf(r).crash()
				end()
			})
			for i := 0; w.crashed() < 3 && i < 9; i++ {
				status, whole := w.post(t, i%3, c.path, "lethal")
				is.True(status != http.StatusOK || !whole) // the answer must not look whole
				time.Sleep(restartTime)
			}
			time.Sleep(propagationTime)
			before := w.arrivals.Load()
			for i := range 6 {
				status, _ := w.post(t, i%3, c.path, "lethal")
				is.Equal(status, http.StatusServiceUnavailable)
			}
			is.Equal(w.arrivals.Load(), before)
		})
	}
}

// Answers without a length or chunks are delivered whole if their server still runs.
func TestUnframedAnswersAreDelivered(t *testing.T) {
	is := is.New(t)
	w := start(t, 2, func(_ int, rw http.ResponseWriter, r *http.Request) {
		beginUnframed(rw, r, "id: 1\ndata: piece\n\n")()
	})
	for _, path := range []string{"/many/x", "/once/x", "/stream/x"} {
		resp, body, err := w.get(t, t.Context(), path, nil)
		is.NoErr(err)
		is.Equal(resp.StatusCode, http.StatusOK)
		is.Equal(body, "id: 1\ndata: piece\n\n")
	}
	is.Equal(w.runs.Load(), int32(3))
}
