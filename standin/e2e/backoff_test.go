package e2e

import (
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"baywall.example/core/resource"
	"baywall.example/entry/api"
	"baywall.example/standin/fleet"
	"baywall.example/standin/plain"
)

// plainFleet starts a fleet with one plain service.
func plainFleet(t *testing.T, servers int) *fleet.Fleet {
	t.Helper()
	s := site()
	s.Services = []fleet.ServiceSite{{Name: "status", Runners: servers, Spec: resource.Service{}, Delay: time.Millisecond}}
	return start(t, s)
}

// postFor sends one request after another for the given time, round-robin through all entry VMs,
// and returns the number of responses by status, reason and outcome.
func postFor(t *testing.T, f *fleet.Fleet, d time.Duration) map[string]int {
	t.Helper()
	out := make(map[string]int)
	entries := f.Entries()
	for i, began := 0, time.Now(); time.Since(began) < d; i++ {
		resp, _ := post(t, entries[i%len(entries)], "status", "resting", "")
		out[http.StatusText(resp.StatusCode)+" "+resp.Header.Get(api.HeaderReason)+" "+resp.Header.Get(api.HeaderOutcome)]++
		time.Sleep(5 * time.Millisecond)
	}
	return out
}

const answered, refusedForBackoff = "OK  ", "Service Unavailable rest not-run"

// An agent sends no requests to its backend server during the backoff that the server asked for;
// the other backend servers get them.
func TestAgentsHonorBackendServerBackoff(t *testing.T) {
	is := is.New(t)
	f := plainFleet(t, 3)
	backingOff := f.Plain["status"][0]
	is.Equal(len(postFor(t, f, time.Second)), 1)
	before := backingOff.RequestCount()
	backingOff.AskForBackoff(30 * time.Second)
	ends := postFor(t, f, 3*time.Second)
	t.Logf("ended as %v", ends)
	is.Equal(backingOff.RequestCount()-before, int64(1)) // the one whose response asks for the backoff
	is.Equal(ends[answered]+ends["Service Unavailable  "], sum(ends))
}

// While all backend servers are in backoff, requests are refused as not run, and no request
// reaches a backend server.
func TestRequestsAreRefusedWhileAllBackendServersBackOff(t *testing.T) {
	is := is.New(t)
	f := plainFleet(t, 2)
	is.Equal(len(postFor(t, f, time.Second)), 1)
	for _, s := range f.Plain["status"] {
		s.AskForBackoff(2 * time.Second)
	}
	for postFor(t, f, 100*time.Millisecond)[refusedForBackoff] == 0 {
	}
	for _, s := range f.Plain["status"] {
		s.AskForBackoff(0)
	}
	before := f.Plain["status"][0].RequestCount() + f.Plain["status"][1].RequestCount()
	ends := postFor(t, f, time.Second)
	is.Equal(ends[refusedForBackoff], sum(ends))
	is.Equal(f.Plain["status"][0].RequestCount()+f.Plain["status"][1].RequestCount(), before)
	time.Sleep(2 * time.Second)
	is.Equal(postFor(t, f, time.Second)[refusedForBackoff], 0)
}

// A backend server that reports that it is leaving gets no new requests from its agent.
func TestAgentSendsNothingNewToLeavingBackendServer(t *testing.T) {
	is := is.New(t)
	f := plainFleet(t, 2)
	is.Equal(len(postFor(t, f, time.Second)), 1)
	leaving := f.Plain["status"][0]
	before := leaving.RequestCount()
	leaving.AnnounceLeaving()
	ends := postFor(t, f, 2*time.Second)
	is.Equal(leaving.RequestCount()-before, int64(1)) // the one whose response reports it
	is.Equal(ends[answered], sum(ends))
}

// The backoff and the leaving state of a backend server do not apply to a new process at the same
// address.
func TestBackendServerRestartClearsBackoff(t *testing.T) {
	is := is.New(t)
	f := plainFleet(t, 1)
	is.Equal(len(postFor(t, f, time.Second)), 1)
	ended := f.Plain["status"][0]
	ended.AskForBackoff(time.Hour)
	for postFor(t, f, 100*time.Millisecond)[refusedForBackoff] == 0 {
	}
	ended.AnnounceLeaving() // not reported, as no request reaches the server
	ended.Close()
	time.Sleep(time.Second) // the agent checks the address every half second
	next, err := plain.Serve(ended.Address(), f.Ledger, time.Millisecond)
	is.NoErr(err)
	defer next.Close()
	is.True(postFor(t, f, time.Second)[answered] > 0)
}

func sum(ends map[string]int) (n int) {
	for _, count := range ends {
		n += count
	}
	return n
}
