package gateway

import (
	"io"
	"net/http"
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"

	"baywall.example/core/clock"
)

// suspendedFirst simulates a suspension of the gateway's machine and resets the connection
// on the first attempt, and answers every later attempt.
func suspendedFirst(t *testing.T, suspended time.Duration, left *int) func(n int, w http.ResponseWriter, r *http.Request) {
	t.Cleanup(func() { clock.SimulateSuspension(-suspended) }) // undoes the suspension for other tests
	return func(n int, w http.ResponseWriter, r *http.Request) {
		*left, _ = strconv.Atoi(r.Header.Get("T-Deadline"))
		if n == 1 {
			clock.SimulateSuspension(suspended)
			resetConnection(w)
			return
		}
		_, _ = io.WriteString(w, "answer")
	}
}

// Guards against ignoring the time spent suspended. The gateway's machine was suspended
// while a backend server had a request. The next server was given the three seconds that
// the caller had allowed at first, as the monotonic clock stood still during the
// suspension, and it got the request even if no time was left.
func TestRequestsAfterASuspension(t *testing.T) {
	cases := []struct {
		name      string
		suspended time.Duration
		status    int
		runs      int32
		left      int // largest deadline, in ms, that the latest server may be given
	}{
		{"time is left", 2 * time.Second, http.StatusOK, 2, 1000},
		{"none is left", 4 * time.Second, http.StatusBadGateway, 1, 3000},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			var left int
			w := start(t, 2, suspendedFirst(t, c.suspended, &left))
			resp, _, err := w.get(t, t.Context(), "/many/x", nil)
			is.NoErr(err)
			is.Equal(resp.StatusCode, c.status)
			is.Equal(w.runs.Load(), c.runs)
			is.True(left <= c.left)
		})
	}
}
