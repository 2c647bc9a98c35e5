package e2e

import (
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"baywall.example/entry/api"
	"baywall.example/standin/engine"
)

// A request that crashes the engine that runs it must be quarantined on all entry VMs. Without
// the quarantine, every entry VM that gets the request retries it on one agent after another
// until the attempts are used up, and again each time the caller repeats it: the agents report
// engine-failed, but no entry VM remembers it.
func TestRequestThatCrashesEnginesIsRefusedByAllEntryVMs(t *testing.T) {
	is := is.New(t)
	f := start(t, site())
	time.Sleep(retryWindow / 2) // a window after their start, entry VMs grant retries
	send := func(entry int) *http.Response {
		resp, _ := openStream(t, f.Entries()[entry], engine.CrashWork, 4)
		resp.Body.Close()
		return resp
	}
	for i := 0; f.Ledger.Runs(engine.CrashWork) < 3; i++ {
		is.True(i < 6)
		send(i % len(f.Entries()))
		time.Sleep(300 * time.Millisecond) // until the engines have restarted
	}
	time.Sleep(2 * time.Second) // until all entry VMs have received the report
	before := f.Ledger.Runs(engine.CrashWork)
	for entry := range f.Entries() {
		resp := send(entry)
		is.Equal(resp.StatusCode, http.StatusServiceUnavailable)
		is.Equal(resp.Header.Get(api.HeaderReason), "quarantined")
		is.Equal(resp.Header.Get(api.HeaderOutcome), "not-run")
		other, _ := openStream(t, f.Entries()[entry], "other", 4)
		is.Equal(other.StatusCode, http.StatusOK)
		other.Body.Close()
	}
	is.Equal(f.Ledger.Runs(engine.CrashWork), before)
}
