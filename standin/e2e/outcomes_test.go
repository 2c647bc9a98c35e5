package e2e

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/sourcegraph/conc"

	"baywall.example/core/contract"
	"baywall.example/core/vm"
	"baywall.example/entry/api"
	"baywall.example/standin/chaos"
	"baywall.example/standin/fleet"
	"baywall.example/standin/history"
	"baywall.example/standin/load"
)

func ticketVM(t *testing.T, key string) vm.ID {
	t.Helper()
	parsed, err := contract.ParseTicket(key)
	if err != nil {
		t.Fatal(err)
	}
	return parsed.VM
}

func TestRequestsAreServedAndRefusalsGiveReasons(t *testing.T) {
	is := is.New(t)
	f := start(t, site())
	report := load.Run(t.Context(), caller(f), f.Ledger, load.Options{
		Seed: 1, Duration: time.Second,
		Workloads: []load.Workload{
			{Service: "chat", Stream: true, Teams: []string{"red", "blue"}, Rate: 40, Prefixes: 4, Prompt: 32, Tokens: 10},
			{Service: "archive", NonIdempotent: true, Teams: []string{"red"}, Rate: 60},
		},
	})
	is.Equal(report.Answered, report.Requests)
	is.Equal(report.Violations(), 0)

	entry := f.Entries()[0]
	resp, _ := post(t, entry, "nowhere", "w", "")
	is.Equal(resp.StatusCode, http.StatusNotFound)
	is.Equal(resp.Header.Get(api.HeaderOutcome), "not-run")

	resp, _ = post(t, entry, "archive", "w", "a key of my own")
	is.Equal(resp.StatusCode, http.StatusPreconditionRequired)
	is.Equal(resp.Header.Get(api.HeaderOutcome), "not-run")
	offered := resp.Header.Get(api.HeaderTicket)
	resp, body := post(t, f.Entries()[1], "archive", "w", offered)
	is.Equal(resp.StatusCode, http.StatusOK)
	is.Equal(body, "document w\n")
	is.Equal(f.Ledger.Runs("w"), 1)
}

// The same ticket presented through every entry VM at once runs the work once, and all
// callers get the answer.
func TestATicketSentThroughEveryEntryVMRunsOnce(t *testing.T) {
	is := is.New(t)
	f := start(t, site())
	key, _ := ticket(t, f)
	answers := make([]string, len(f.Entries()))
	var wg conc.WaitGroup
	for i, address := range f.Entries() {
		wg.Go(func() { _, answers[i] = post(t, address, "archive", "certificate", key) })
	}
	wg.Wait()
	for _, a := range answers {
		is.Equal(a, "document certificate\n")
	}
	is.Equal(f.Ledger.Runs("certificate"), 1)
}

func TestATicketOfAReplacedAgentIsUnknown(t *testing.T) {
	is := is.New(t)
	f := start(t, site())
	key, agentVM := ticket(t, f)
	_, body := post(t, f.Entries()[0], "archive", "certificate", key)
	is.Equal(body, "document certificate\n")
	f.Process(agentVM).Kill()
	is.NoErr(f.Process(agentVM).Restart())
	await(t, "the new agent answers for the old ticket", func() bool {
		resp, _ := post(t, f.Entries()[1], "archive", "certificate", key)
		is.Equal(resp.Header.Get(api.HeaderOutcome), "unknown") // whether the agent is reached or not
		return resp.Header.Get(api.HeaderReason) == "agent-replaced"
	})
	is.Equal(f.Ledger.Runs("certificate"), 1)
}

// While an agent is paused, its ticket's outcome is unknown. After the agent resumes, the same
// ticket returns the answer of the only execution, or not-run, which means that the work has
// not run and never will. Later uses of the ticket return the same.
func TestAPausedAgentThatWakesLate(t *testing.T) {
	is := is.New(t)
	f := start(t, site())
	key, agentVM := ticket(t, f)
	f.Process(agentVM).Pause()
	resp, _ := post(t, f.Entries()[0], "archive", "note", key)
	is.Equal(resp.Header.Get(api.HeaderOutcome), "unknown")
	is.True(resp.Header.Get("Retry-After") != "")
	f.Process(agentVM).Continue()
	answered, latest := false, ""
	await(t, "the ticket returns its answer or not-run", func() bool {
		resp, body := post(t, f.Entries()[1], "archive", "note", key)
		if end := fmt.Sprint(resp.StatusCode, " ", resp.Header.Get(api.HeaderOutcome), " ", resp.Header.Get(api.HeaderReason)); end != latest {
			t.Log(end)
			latest = end
		}
		answered = body == "document note\n"
		return answered || resp.Header.Get(api.HeaderOutcome) == "not-run"
	})
	resp, body := post(t, f.Entries()[2], "archive", "note", key)
	if answered {
		is.Equal(body, "document note\n")
		is.Equal(f.Ledger.Runs("note"), 1)
		return
	}
	is.Equal(resp.Header.Get(api.HeaderOutcome), "not-run")
	is.Equal(f.Ledger.Runs("note"), 0)
}

// A request without a ticket that was refused as not-run while its agent was paused must never
// run, even if the agent resumes with the request in its buffers.
func TestRequestRefusedAsNotRunNeverRuns(t *testing.T) {
	is := is.New(t)
	s := site()
	s.Services[1].Runners = 1
	f := start(t, s)
	f.Process("archive-1").Pause()
	resp, _ := post(t, f.Entries()[0], "archive", "late", "")
	f.Process("archive-1").Continue()
	await(t, "the agent serves again", func() bool {
		_, body := post(t, f.Entries()[1], "archive", "next", "")
		return body == "document next\n"
	})
	if resp.Header.Get(api.HeaderOutcome) == "not-run" {
		is.Equal(f.Ledger.Runs("late"), 0)
	}
	is.True(f.Ledger.Runs("late") <= 1)
}

func TestAnswerIsResumedAfterEntryVMCrash(t *testing.T) {
	is := is.New(t)
	f := start(t, site())
	const tokens = 200
	resp, got := openStream(t, f.Entries()[0], "summary", tokens)
	attemptID := resp.Header.Get(api.HeaderAttempt)
	f.Process("entry-1").Kill()
	rest, _ := io.ReadAll(resp.Body)
	got += string(rest)
	is.True(!strings.Contains(got, "[DONE"))

	req, err := http.NewRequest(http.MethodGet, "http://"+f.Entries()[1]+"/v1/resume", nil)
	is.NoErr(err)
	req.Header.Set(api.HeaderAttempt, attemptID)
	whole := got[:strings.LastIndex(got, "\n\n")+2] // up to the end of the last complete event
	lines := strings.Split(strings.TrimSpace(whole), "\n")
	last := strings.TrimPrefix(lines[len(lines)-2], "id: ")
	req.Header.Set("Last-Event-ID", last)
	resumed, err := http.DefaultClient.Do(req)
	is.NoErr(err)
	defer resumed.Body.Close()
	more, err := io.ReadAll(resumed.Body)
	is.NoErr(err)
	is.Equal(whole+string(more), wholeStream("summary", tokens))
	is.Equal(f.Ledger.Runs("summary"), 1)
}

// When both programs stop gracefully with streams in flight, no answer is truncated.
func TestGracefulStopTruncatesNoAnswer(t *testing.T) {
	is := is.New(t)
	f := start(t, site())
	const tokens = 300
	var bodies [8]string
	var wg conc.WaitGroup
	for i := range bodies {
		resp, first := openStream(t, f.Entries()[i%2], "stream", tokens)
		wg.Go(func() {
			rest, err := io.ReadAll(resp.Body)
			if err == nil {
				bodies[i] = first + string(rest)
			}
		})
	}
	for _, id := range []vm.ID{"entry-1", "entry-2", "chat-1", "chat-2", "chat-3", "chat-4"} {
		f.Process(id).Terminate()
	}
	wg.Wait()
	for _, body := range bodies {
		is.Equal(body, wholeStream("stream", tokens))
	}
	for _, id := range []vm.ID{"entry-1", "entry-2", "chat-1", "chat-4"} {
		is.NoErr(f.Process(id).Err())
	}
}

// A leaving backend server gets no new requests once every entry VM has the list of VMs, and
// its running requests are finished.
func TestLeavingBackendServerGetsNoNewRequests(t *testing.T) {
	is := is.New(t)
	f := start(t, site())
	resp, first := openStream(t, f.Entries()[0], "held", 300)
	agentVM := vm.ID(strings.Split(resp.Header.Get(api.HeaderAttempt), "/")[0])
	f.SetState(agentVM, vm.StateLeaving)
	await(t, "every entry VM has the list", func() bool {
		for _, address := range f.Entries() {
			if vmsRevision(address) < f.Platform.Revision() {
				return false
			}
		}
		return true
	})
	before := runs(f, agentVM)
	report := load.Run(t.Context(), caller(f), f.Ledger, load.Options{
		Seed: 2, Duration: time.Second,
		Workloads: []load.Workload{{Service: "chat", Stream: true, Teams: []string{"blue"}, Rate: 100, Prefixes: 16, Prompt: 16, Tokens: 4}},
	})
	is.Equal(report.Answered, report.Requests)
	is.Equal(runs(f, agentVM), before)
	rest, err := io.ReadAll(resp.Body)
	is.NoErr(err)
	is.Equal(first+string(rest), wholeStream("held", 300))
}

// Under random faults from a fixed seed, which is logged, the outcomes that callers got must be
// consistent with the executions, and no entry VM may return to an older configuration
// revision.
func TestHistoryUnderFaultsIsLegal(t *testing.T) {
	is := is.New(t)
	const seed = 7
	t.Logf("seed %d", seed)
	f := start(t, site())
	seen := &history.Revisions{}
	stop := make(chan struct{})
	var watchers conc.WaitGroup
	for _, address := range f.Entries() {
		watchers.Go(func() { observe(seen, address, stop) })
	}
	const duration = 10 * time.Second
	var faults conc.WaitGroup
	faults.Go(func() { chaos.New(f, seed, append(chaos.Abrupt(), chaos.Graceful()...), t.Logf).Run(duration) })
	report := load.Run(t.Context(), caller(f), f.Ledger, load.Options{
		Seed: seed, Duration: duration,
		Workloads: []load.Workload{
			{Service: "chat", Stream: true, Teams: []string{"red"}, Rate: 30, Prefixes: 4, Prompt: 32, Tokens: 20},
			{Service: "archive", NonIdempotent: true, Teams: []string{"blue"}, Rate: 60},
		},
	})
	faults.Wait()
	close(stop)
	watchers.Wait()
	t.Logf("requests %d, answered %d, not-run %d, unknown %d, cut %d, revisions seen %d", report.Requests, report.Answered, report.NotRun, report.Unknown, report.Cut, seen.Len())
	is.True(report.Answered > report.Requests/2)
	is.Equal(report.Violations(), 0)
	is.NoErr(history.CheckOutcomes(report.Results, f.Ledger.Executions()))
	is.NoErr(seen.Check())
	for _, g := range f.Groups {
		is.Equal(g.Stats().Mixed, 0)
	}
}

// observe records an entry VM's revision every 20 ms until stop is closed.
func observe(seen *history.Revisions, address string, stop <-chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(20 * time.Millisecond):
		}
		called := time.Now()
		if revision, ok := fleet.Revision(address); ok {
			seen.Observe(address, revision, called, time.Now())
		}
	}
}
