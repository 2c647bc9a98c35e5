package e2e

import (
	"fmt"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/sourcegraph/conc"

	"baywall.example/core/resource"
	"baywall.example/entry/api"
	"baywall.example/standin/fleet"
)

// postAtRate sends requests at a constant rate, round-robin through all entry VMs. It returns
// how many were answered, and how many were refused because of the rate limits that the
// backend servers report.
func postAtRate(t *testing.T, f *fleet.Fleet, perSecond int, d time.Duration) (answered, limited int64) {
	t.Helper()
	var ok, refused atomic.Int64
	var wg conc.WaitGroup
	ticker := time.NewTicker(time.Second / time.Duration(perSecond))
	defer ticker.Stop()
	entries := f.Entries()
	for i, began := 0, time.Now(); time.Since(began) < d; i++ {
		<-ticker.C
		wg.Go(func() {
			resp, _ := post(t, entries[i%len(entries)], "status", fmt.Sprintf("limited-%d-%d", began.UnixNano(), i), "")
			switch {
			case resp.StatusCode == http.StatusOK:
				ok.Add(1)
			case resp.Header.Get(api.HeaderReason) == "rate-limit" && resp.Header.Get(api.HeaderOutcome) == "not-run" && resp.Header.Get("Retry-After") != "":
				refused.Add(1)
			default:
				t.Errorf("status %d, outcome %q, reason %q, Retry-After %q", resp.StatusCode, resp.Header.Get(api.HeaderOutcome),
					resp.Header.Get(api.HeaderReason), resp.Header.Get("Retry-After"))
			}
		})
	}
	wg.Wait()
	return ok.Load(), refused.Load()
}

// All requests to a backend server pass through its agent, which enforces the rate limit that
// the server reports. Other backend servers get the requests above it, and requests above all
// limits are refused as not run.
func TestAgentsEnforceBackendServerRateLimits(t *testing.T) {
	is := is.New(t)
	s := site()
	s.Services = []fleet.ServiceSite{{Name: "status", Runners: 3, Spec: resource.Service{}, Delay: time.Millisecond}}
	f := start(t, s)
	f.Plain["status"][0].AnnounceLimit(1)
	postAtRate(t, f, 40, 2*time.Second) // until the limit is known
	from := time.Now()
	_, refused := postAtRate(t, f, 40, 5*time.Second)
	is.Equal(refused, int64(0))
	got := 0
	for _, e := range f.Ledger.Executions() {
		if e.At.After(from) && e.Server == f.Plain["status"][0].Address() {
			got++
		}
	}
	t.Logf("%d requests in 5 s at the server with a limit of 1", got)
	is.True(got >= 2)
	is.True(got <= 5+2+1)
	for _, server := range f.Plain["status"] {
		server.AnnounceLimit(2)
	}
	postAtRate(t, f, 40, 3*time.Second)
	answered, refused := postAtRate(t, f, 40, 5*time.Second)
	t.Logf("%d answered, %d refused in 5 s with limits of 6 a second together", answered, refused)
	is.True(answered >= 18)
	is.True(answered <= 30+6+1)
	is.True(refused > 0)
	for _, server := range f.Plain["status"] {
		server.AnnounceLimit(0)
	}
	postAtRate(t, f, 40, 4*time.Second) // every backend server is tried within three seconds
	_, refused = postAtRate(t, f, 40, 2*time.Second)
	is.Equal(refused, int64(0))
}
