package gateway

import (
	"io"
	"net/http"
	"testing"

	"github.com/matryer/is"
)

// Callers of a route that runs at most once may rely on a status which says that nothing
// has run: it is passed on if it is the backend server's own answer, and is otherwise only
// sent if it is true.
func TestNotRunStatuses(t *testing.T) {
	answer := func(status int, notRun bool) func(int, http.ResponseWriter, *http.Request) {
		return func(_ int, w http.ResponseWriter, _ *http.Request) {
			if notRun {
				w.Header().Set("T-Not-Run", "1")
			}
			w.WriteHeader(status)
			_, _ = io.WriteString(w, "the server's")
		}
	}
	first := func(then func(int, http.ResponseWriter, *http.Request)) func(int, http.ResponseWriter, *http.Request) {
		return func(n int, w http.ResponseWriter, r *http.Request) {
			if n == 1 {
				then(n, w, r)
				return
			}
			ok(n, w, r)
		}
	}
	runs := func(_ int, w http.ResponseWriter, _ *http.Request) { resetConnection(w) } // resets the connection before it answers
	const own, notRun, unknown = "", "not-run", "unknown"
	cases := []struct {
		name    string
		answer  func(int, http.ResponseWriter, *http.Request)
		status  int
		outcome string
		reached int32
	}{
		{"421 once", first(answer(421, false)), 200, own, 2},
		{"421 from all", answer(421, false), 503, notRun, 3},
		{"429, not run, once", first(answer(429, true)), 200, own, 2},
		{"429, not run, from all", answer(429, true), 503, notRun, 3},
		{"429 of a run", answer(429, false), 429, own, 1},
		{"408 of a run", answer(408, false), 408, own, 1},
		{"408, not run", answer(408, true), 408, own, 1},
		{"503 of a run", answer(503, false), 503, own, 1},
		{"421, then lost", func(n int, w http.ResponseWriter, r *http.Request) {
			if n == 1 {
				answer(421, false)(n, w, r)
				return
			}
			runs(n, w, r)
		}, 502, unknown, 2},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			w := start(t, 3, c.answer)
			resp, body, err := w.get(t, t.Context(), "/once/x", nil)
			is.NoErr(err)
			is.Equal(resp.StatusCode, c.status)
			is.Equal(resp.Header.Get(headerOutcome), c.outcome)
			is.Equal(w.runs.Load(), c.reached)
			if c.outcome == own && c.status != http.StatusOK {
				is.Equal(body, "the server's")
			}
		})
	}
}
