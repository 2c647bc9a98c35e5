package e2e

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"baywall.example/core/resource"
	"baywall.example/core/vm"
	"baywall.example/entry/retry"
	"baywall.example/standin/fleet"
)

// Each entry VM had a retry budget of its own, which began with 20 retries at each start: the
// retries of all entry VMs together exceeded any limit, the more so if they restarted.
func TestRetriesOfAllEntryVMsStayWithinTheLimit(t *testing.T) {
	is := is.New(t)
	s := site()
	s.Services = []fleet.ServiceSite{{Name: "status", Runners: 3, Spec: resource.Service{}}}
	s.Retry = retry.Settings{Ratio: 0.2, Slack: 20, Window: 10 * time.Second}
	f := start(t, s)
	began := time.Now()
	for _, server := range f.Plain["status"] {
		server.BreakConnections()
	}
	entries := f.Entries()
	requests := 0
	for restarts := range 3 {
		if restarts > 0 {
			for _, v := range f.VMs() {
				if v.Role == vm.RoleEntry {
					f.Process(v.ID).Kill()
					is.NoErr(f.Process(v.ID).Restart())
				}
			}
			for _, address := range entries {
				await(t, "restarted entry VM", func() bool { _, ok := fleet.Revision(address); return ok })
			}
		}
		for i := range 40 {
			post(t, entries[i%len(entries)], "status", "broken", "")
			requests++
			time.Sleep(5 * time.Millisecond)
		}
	}
	arrivals := 0
	for _, server := range f.Plain["status"] {
		arrivals += int(server.RequestCount())
	}
	t.Logf("%d requests, %d arrivals in %v", requests, arrivals, time.Since(began))
	is.True(time.Since(began) < s.Retry.Window)
	is.True(float64(arrivals-requests) <= s.Retry.Ratio*float64(requests)+s.Retry.Slack)
}
