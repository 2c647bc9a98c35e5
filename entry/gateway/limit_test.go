package gateway

import (
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"baywall.example/core/clock"
	"baywall.example/entry/balance"
	"baywall.example/entry/upstream"
)

// An answer that names no limit lifts a limit only if it certainly is the server's own
// answer to a request that ran.
func TestAnswersThatEndALimit(t *testing.T) {
	cases := []struct {
		name   string
		status int
		header http.Header
		ends   bool
	}{
		{"answer", 200, http.Header{"T-Id": {"a"}}, true},
		{"the caller's error", 400, http.Header{"T-Id": {"a"}}, true},
		{"no echo of the request's id", 200, http.Header{}, false},
		{"server error", 500, http.Header{"T-Id": {"a"}}, false},
		{"rejected", 503, http.Header{"T-Id": {"a"}, "T-Not-Run": {"1"}}, false},
		{"too many requests", 429, http.Header{"T-Id": {"a"}, "T-Not-Run": {"1"}}, false},
		{"replaced server", 421, http.Header{"T-Id": {"a"}, "T-Limit": {"9"}}, false},
		{"unreadable limit", 200, http.Header{"T-Id": {"a"}, "T-Limit": {"many"}}, false},
	}
	w := start(t, 1, ok)
	choice, found := w.gateway.registry.Pick(balance.Demand{Service: "s"}, clock.Now())
	is.New(t).Equal(found, balance.Available)
	choice.Release()
	limits := w.gateway.limits
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			w.gateway.receiveNotice(choice.Server, &upstream.Answer{Status: 503, Header: http.Header{"T-Limit": {"2"}}}, clock.Now(), viaRequest)
			is.Equal(limits.limitOf(choice.Server).Limit, 2.0) // a limit also counts in an answer that rejects a request
			w.gateway.receiveNotice(choice.Server, &upstream.Answer{Status: c.status, Header: c.header}, clock.Now(), viaRequest)
			is.Equal(limits.limitOf(choice.Server) == nil, c.ends)
		})
	}
}

// A limit applies from the first answer that names it, at least at the gateway that
// received it.
func TestSingleGatewayEnforcesLimit(t *testing.T) {
	is := is.New(t)
	w := start(t, 1, func(n int, rw http.ResponseWriter, r *http.Request) {
		rw.Header().Set("T-Limit", "2")
		ok(n, rw, r)
	})
	until := time.Now().Add(4 * time.Second)
	refused := 0
	for time.Now().Before(until) {
		resp, _, err := w.get(t, t.Context(), "/quick/x", nil)
		is.NoErr(err)
		if resp.StatusCode != http.StatusOK {
			is.Equal(resp.StatusCode, http.StatusServiceUnavailable)
			is.Equal(resp.Header.Get(headerReason), "rate-limit")
			is.Equal(resp.Header.Get(headerOutcome), "not-run")
			refused++
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Logf("%d runs, %d refused", w.runs.Load(), refused)
	is.True(w.runs.Load() >= 4)
	is.True(w.runs.Load() <= 2*4+2+1)
	is.True(refused > 0)
}
