package gateway

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"baywall.example/entry/balance"
	"baywall.example/entry/catalog"
	"baywall.example/entry/retry"
)

// backends are the backend servers of one service, which all give the same answer.
type backends struct {
	store fixedStore
	runs  atomic.Int32
}

func startBackends(t *testing.T, n int, answer http.HandlerFunc) *backends {
	t.Helper()
	b := &backends{store: fixedStore{item(t, "catalog", catalog.Content{
		Version: 1, Routes: routes(), Teams: []catalog.Team{{Name: "team", Keys: []string{"key"}}},
	})}}
	for i := range n {
		id := fmt.Sprintf("b%d", i)
		server := httptest.NewServer(identified(id, func(rw http.ResponseWriter, r *http.Request) {
			b.runs.Add(1)
			rw.Header().Set("T-Id", r.Header.Get("T-Id"))
			answer(rw, r)
		}))
		t.Cleanup(server.Close)
		b.list(t, id, strings.TrimPrefix(server.URL, "http://"))
	}
	return b
}

// list adds a backend server at the address.
func (b *backends) list(t *testing.T, id, address string) {
	t.Helper()
	b.store = append(b.store, item(t, "backends/"+id, balance.Info{ID: id, Service: "s", Address: address, Slots: 4}))
}

// gateway starts a gateway of which the retry budget has nothing until a window has passed.
func (b *backends) gateway(t *testing.T, window time.Duration, seeds ...string) *testGateway {
	t.Helper()
	w := &testGateway{}
	w.launch(t, b.store, func(s *Settings) {
		s.VM, s.Seeds = fmt.Sprintf("vm%d", len(seeds)), seeds
		s.Retry = retry.Settings{Ratio: 0.2, Slack: 30, Window: window}
	})
	for until := time.Now().Add(2 * time.Second); !w.gateway.Ready() && time.Now().Before(until); {
		time.Sleep(time.Millisecond)
	}
	return w
}

func rejectAll(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("T-Not-Run", "1")
	w.WriteHeader(http.StatusServiceUnavailable)
}

func resetAll(w http.ResponseWriter, _ *http.Request) { resetConnection(w) }

// A request that is not retried for lack of budget ends at once, with the server's own answer
// or with a refusal that says whether it ran.
func TestRetryWithoutBudgetIsRefusedAtOnce(t *testing.T) {
	cases := []struct {
		name    string
		answer  http.HandlerFunc
		status  int
		outcome string
		reason  string
	}{
		{"rejected", rejectAll, http.StatusServiceUnavailable, "not-run", "retry-budget"},
		{"lost", resetAll, http.StatusBadGateway, "unknown", "retry-budget"},
		{"failed", func(w http.ResponseWriter, _ *http.Request) { http.Error(w, "broken", 500) }, http.StatusInternalServerError, "", ""},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			servers := startBackends(t, 3, c.answer)
			w := servers.gateway(t, time.Minute)
			began := time.Now()
			resp, _, err := w.get(t, t.Context(), "/many/x", nil)
			is.NoErr(err)
			is.True(time.Since(began) < 300*time.Millisecond)
			is.Equal(resp.StatusCode, c.status)
			is.Equal(resp.Header.Get(headerOutcome), c.outcome)
			is.Equal(resp.Header.Get(headerReason), c.reason)
			is.Equal(resp.Header.Get("Retry-After") != "", c.status == http.StatusServiceUnavailable)
			is.Equal(servers.runs.Load(), int32(1))
		})
	}
}

// The budget counts what servers receive. An attempt that was not sent costs nothing.
func TestRetryAfterAnAttemptThatWasNotSentIsFree(t *testing.T) {
	is := is.New(t)
	servers := startBackends(t, 1, func(http.ResponseWriter, *http.Request) {})
	servers.list(t, "dead", freeAddress(t))
	w := servers.gateway(t, time.Minute)
	for range 4 {
		resp, _, err := w.get(t, t.Context(), "/many/x", nil)
		is.NoErr(err)
		is.Equal(resp.StatusCode, http.StatusOK)
	}
	is.Equal(w.gateway.retries.Of("s").State().Retries, 0)
}

// The gateways at the addresses of the seeds grant retries to all gateways, and only they.
func TestSeedGrantsRetriesToOtherGateways(t *testing.T) {
	is := is.New(t)
	servers := startBackends(t, 3, resetAll)
	seed := servers.gateway(t, 2*time.Second)
	other := servers.gateway(t, 2*time.Second, seed.gateway.settings.Listen.Peers)
	granting, budget := seed.gateway.retries.Of("s"), other.gateway.retries.Of("s")
	send := func() {
		resp, _, err := other.get(t, t.Context(), "/many/x", nil)
		is.NoErr(err)
		is.Equal(resp.StatusCode, http.StatusBadGateway)
	}
	send()
	is.Equal(servers.runs.Load(), int32(1)) // the seed has just started
	for until := time.Now().Add(5 * time.Second); time.Now().Before(until) && (granting.State().Part == 0 || budget.State().Open == 0); {
		time.Sleep(5 * time.Millisecond)
	}
	is.Equal(granting.State().Part, 24.0)
	is.Equal(budget.State().Part, 0.0)
	send()
	is.Equal(servers.runs.Load(), int32(3))
	is.Equal(granting.State().Granted, 1)
	is.Equal(budget.State().Retries, 1)
}

// A retry that turns out to be denied when it is to be sent is refused, and the next one is
// refused without asking.
func TestRetryDeniedAtSendingIsRefused(t *testing.T) {
	is := is.New(t)
	servers := startBackends(t, 3, rejectAll)
	seed := servers.gateway(t, time.Minute)
	w := servers.gateway(t, time.Minute, seed.gateway.settings.Listen.Peers)
	budget := w.gateway.retries.Of("s")
	for until := time.Now().Add(5 * time.Second); time.Now().Before(until) && budget.State().Open == 0; {
		time.Sleep(time.Millisecond)
	}
	is.True(budget.Has()) // the seed may have a retry
	for range 2 {
		resp, _, err := w.get(t, t.Context(), "/many/x", nil)
		is.NoErr(err)
		is.Equal(resp.StatusCode, http.StatusServiceUnavailable)
		is.Equal(resp.Header.Get(headerReason), "retry-budget")
		is.Equal(budget.State().Open, 0)
	}
	is.Equal(servers.runs.Load(), int32(2))
	is.Equal(budget.State().Retries, 0)
	is.Equal(budget.Take(t.Context()), retry.SourceNone)
}
