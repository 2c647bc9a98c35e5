package e2e

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"baywall.example/core/resource"
	"baywall.example/core/vm"
	"baywall.example/entry/api"
	"baywall.example/entry/retry"
	"baywall.example/standin/engine"
	"baywall.example/standin/fleet"
	"baywall.example/standin/load"
	"baywall.example/standin/plain"
)

var binaries fleet.Binaries

func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "baywall-e2e-")
	if err != nil {
		panic(err)
	}
	binaries, err = fleet.Build(dir)
	if err != nil {
		panic(err)
	}
	code := m.Run()
	_ = os.RemoveAll(dir)
	os.Exit(code)
}

// networks counts the fleets, so that each one gets its own network.
var networks atomic.Int64

// retryWindow is the window of the retry budget. It is short, as entry VMs grant no retries in
// the first window after their start.
const retryWindow = time.Second

// site returns a small site: 4 entry VMs, a group of 4 ranks and 3 plain servers.
func site() fleet.Site {
	return fleet.Site{
		Name: "test", Network: fmt.Sprintf("127.%d", 40+networks.Add(1)),
		Zones: []string{"north", "south"}, ZoneDelay: time.Millisecond, EntryVMs: 4,
		AddressTTL: 500 * time.Millisecond, DrainLinger: time.Second,
		Retry: retry.Settings{Slack: 100, Window: retryWindow},
		Services: []fleet.ServiceSite{
			{
				Name: "chat", Runners: 4, Spec: resource.Service{Engine: true}, Step: 5 * time.Millisecond,
				Intent: resource.Intent{MoveCost: 0.001, PeriodMS: 1000},
				Group:  &fleet.GroupSite{Layers: 2, Experts: 16, Slots: 6, Exponent: 1},
			},
			{Name: "archive", Runners: 3, Spec: resource.Service{NonIdempotent: true}, Delay: time.Millisecond},
		},
		Teams: map[string]resource.Team{"red": {Concurrency: 500}, "blue": {Concurrency: 500}},
	}
}

func start(t *testing.T, s fleet.Site) *fleet.Fleet {
	t.Helper()
	dir := t.TempDir()
	f, err := fleet.Start(s, fleet.Options{Binaries: binaries, Dir: dir})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(f.Stop)
	t.Cleanup(func() {
		if t.Failed() {
			logEvents(t, dir)
		}
	})
	return f
}

// maxLoggedEvents bounds the events of each process that a failed test prints.
const maxLoggedEvents = 60

// logEvents prints the latest events of each process of a fleet.
func logEvents(t *testing.T, dir string) {
	paths, err := filepath.Glob(filepath.Join(dir, "*.log"))
	if err != nil {
		t.Fatal(err)
	}
	for _, path := range paths {
		raw, err := os.ReadFile(path)
		if err != nil {
			t.Log(err)
			continue
		}
		lines := strings.Split(strings.TrimSpace(string(raw)), "\n")
		for _, line := range lines[max(0, len(lines)-maxLoggedEvents):] {
			t.Log(filepath.Base(path), line)
		}
	}
}

// waitLimit bounds every wait; it is far above the time that any condition takes.
const waitLimit = 40 * time.Second

func await(t *testing.T, what string, condition func() bool) {
	t.Helper()
	deadline := time.Now().Add(waitLimit)
	for !condition() {
		if time.Now().After(deadline) {
			t.Fatalf("timed out waiting: %s", what)
		}
		time.Sleep(10 * time.Millisecond)
	}
}

func caller(f *fleet.Fleet) *load.Caller { return load.NewCaller(f.CallerIP(), f.Entries()) }

func stream(work string, tokens int) load.Request {
	return load.Request{Work: work, Service: "chat", Team: "red", Stream: true, Prefix: "p", Prompt: 16, Tokens: tokens}
}

// post sends one request to one entry VM and returns the response.
func post(t *testing.T, address, service, work, key string) (*http.Response, string) {
	t.Helper()
	req, err := http.NewRequest(http.MethodPost, "http://"+address+"/v1/services/"+service+"/documents", nil)
	if err != nil {
		t.Fatal(err)
	}
	req.Header.Set(api.HeaderTeam, "red")
	req.Header.Set(plain.HeaderWork, work)
	if key != "" {
		req.Header.Set(api.HeaderIdempotencyKey, key)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	body, _ := io.ReadAll(resp.Body)
	return resp, string(body)
}

// openStream starts a streamed answer through one entry VM and returns the response and the
// first bytes of its body.
func openStream(t *testing.T, address, work string, tokens int) (*http.Response, string) {
	t.Helper()
	raw, err := json.Marshal(engine.Prompt{Work: work, Prefix: "p", Prompt: 16, Tokens: tokens})
	if err != nil {
		t.Fatal(err)
	}
	req, err := http.NewRequest(http.MethodPost, "http://"+address+"/v1/services/chat/generate", strings.NewReader(string(raw)))
	if err != nil {
		t.Fatal(err)
	}
	req.Header.Set(api.HeaderTeam, "red")
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { resp.Body.Close() })
	first := make([]byte, 64)
	n, err := io.ReadAtLeast(resp.Body, first, 10)
	if err != nil {
		t.Fatalf("%s: %v", resp.Status, err)
	}
	return resp, string(first[:n])
}

// wholeStream returns the complete answer that belongs to a work id.
func wholeStream(work string, tokens int) string {
	var b strings.Builder
	for n := range tokens {
		fmt.Fprintf(&b, "id: %d\ndata: %s %d\n\n", n, work, n)
	}
	fmt.Fprintf(&b, "data: [DONE %s]\n\n", work)
	return b.String()
}

func ticket(t *testing.T, f *fleet.Fleet) (key string, agentVM vm.ID) {
	t.Helper()
	answer, err := caller(f).Entries(context.Background(), "archive", 1)
	if err != nil {
		t.Fatal(err)
	}
	return answer.Tickets[0], ticketVM(t, answer.Tickets[0])
}

// runs returns the number of executions on one backend server.
func runs(f *fleet.Fleet, id vm.ID) int {
	n := 0
	for _, e := range f.Ledger.Executions() {
		if e.Server == f.Server(id) {
			n++
		}
	}
	return n
}

func getResource(t *testing.T, address, path string) (v api.ResourceView, status int) {
	t.Helper()
	resp, err := http.Get("http://" + address + path)
	if err != nil {
		return v, 0
	}
	defer resp.Body.Close()
	_ = json.NewDecoder(resp.Body).Decode(&v)
	return v, resp.StatusCode
}
