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

// restFleet is a fleet with a plain service.
func restFleet(t *testing.T, servers int) *fleet.Fleet {
	t.Helper()
	s := site()
	s.Services = []fleet.ServiceSite{{Name: "status", Runners: servers, Spec: resource.Service{}, Delay: time.Millisecond}}
	return start(t, s)
}

// ask posts through all entry VMs in turn, one request after the other for a time, and returns the
// answers by status and reason.
func ask(t *testing.T, f *fleet.Fleet, d time.Duration) map[string]int {
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

const answered, atRest = "OK  ", "Service Unavailable rest not-run"

// The agent hands nothing over while its backend server rests, and the others take the work.
func TestAgentsKeepTheRestsOfTheirBackendServers(t *testing.T) {
	is := is.New(t)
	f := restFleet(t, 3)
	resting := f.Plain["status"][0]
	is.Equal(len(ask(t, f, time.Second)), 1)
	before := resting.Reached()
	resting.Rest(30 * time.Second)
	ends := ask(t, f, 3*time.Second)
	t.Logf("ended as %v", ends)
	is.Equal(resting.Reached()-before, int64(1)) // which asks for rest
	is.Equal(ends[answered]+ends["Service Unavailable  "], sum(ends))
}

// While all backend servers rest, requests are refused as not run and asked back.
func TestWhileAllBackendServersOfAgentsRest(t *testing.T) {
	is := is.New(t)
	f := restFleet(t, 2)
	is.Equal(len(ask(t, f, time.Second)), 1)
	for _, s := range f.Plain["status"] {
		s.Rest(2 * time.Second)
	}
	for ask(t, f, 100*time.Millisecond)[atRest] == 0 {
	}
	for _, s := range f.Plain["status"] {
		s.Rest(0)
	}
	before := f.Plain["status"][0].Reached() + f.Plain["status"][1].Reached()
	ends := ask(t, f, time.Second)
	is.Equal(ends[atRest], sum(ends))
	is.Equal(f.Plain["status"][0].Reached()+f.Plain["status"][1].Reached(), before)
	time.Sleep(2 * time.Second)
	is.Equal(ask(t, f, time.Second)[atRest], 0)
}

// A backend server that says that it leaves gets nothing new from its agent.
func TestAgentsHeedThatTheirBackendServerLeaves(t *testing.T) {
	is := is.New(t)
	f := restFleet(t, 2)
	is.Equal(len(ask(t, f, time.Second)), 1)
	leaving := f.Plain["status"][0]
	before := leaving.Reached()
	leaving.Leave()
	ends := ask(t, f, 2*time.Second)
	is.Equal(leaving.Reached()-before, int64(1)) // whose answer says so
	is.Equal(ends[answered], sum(ends))
}

// Another process at the address of a backend server that rested and left owes nothing to it.
func TestABackendServerThatStartsAgainOwesNoRest(t *testing.T) {
	is := is.New(t)
	f := restFleet(t, 1)
	is.Equal(len(ask(t, f, time.Second)), 1)
	ended := f.Plain["status"][0]
	ended.Rest(time.Hour)
	for ask(t, f, 100*time.Millisecond)[atRest] == 0 {
	}
	ended.Leave() // nobody hears it any more
	ended.Close()
	time.Sleep(time.Second) // it is looked for each half a second
	next, err := plain.Serve(ended.Address(), f.Ledger, time.Millisecond)
	is.NoErr(err)
	defer next.Close()
	is.True(ask(t, f, time.Second)[answered] > 0)
}

func sum(ends map[string]int) (n int) {
	for _, count := range ends {
		n += count
	}
	return n
}
