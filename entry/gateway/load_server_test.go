package gateway

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"baywall.example/entry/balance"
	"baywall.example/entry/catalog"
	"baywall.example/entry/retry"
)

const (
	// serverSlots and serverQueue are the requests that a backend server of a loadFleet runs
	// and queues. It rejects those beyond.
	serverSlots, serverQueue = 8, 4
	// usualTime is the service time of most servers.
	usualTime = 100 * time.Millisecond
	// loadObjective is the objective of the routes of a loadFleet.
	loadObjective = 400 * time.Millisecond
	// loadPriorities is the number of routes, one for each priority from 0.
	loadPriorities = 3
	// loadGateways is the number of gateways, loadSeeds of which are seeds of all others.
	loadGateways, loadSeeds = 7, 3
	// meetTimeout bounds the time in which started gateways get ready and meet each other.
	meetTimeout = 5 * time.Second
)

// queueingServer is a backend server with serverSlots slots and a bounded queue.
type queueingServer struct {
	serviceTime time.Duration
	slots       chan struct{}
	inFlight    atomic.Int32 // running or queued
}

func (s *queueingServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body) // a closed connection is only detected after the body was read
	w.Header().Set("T-Id", r.Header.Get("T-Id"))
	if r.URL.Path == "/probe" {
		return
	}
	defer s.inFlight.Add(-1)
	if s.inFlight.Add(1) > serverSlots+serverQueue {
		rejectAll(w, r)
		return
	}
	select {
	case s.slots <- struct{}{}:
	case <-r.Context().Done():
		return
	}
	defer func() { <-s.slots }()
	time.Sleep(s.serviceTime)
	_, _ = io.WriteString(w, "answer")
}

// loadFleet is a set of gateways with all scheduling settings on, in front of the queueing
// servers of one service, with the callers of some flows.
type loadFleet struct {
	t             *testing.T
	flows         []flow
	store         fixedStore
	seeds         []string
	started       int          // gateways
	pooled, fresh *http.Client // for first and second attempts; the latter use a new connection each
	wg            sync.WaitGroup

	mu        sync.Mutex
	live      []*testGateway // those that callers connect to
	results   []flowResult
	abandoned int // requests that were at a gateway that stopped; they are not counted in results
}

// startLoadFleet starts the gateways, and a server for each service time. The teams have
// their names as keys.
func startLoadFleet(t *testing.T, serviceTimes []time.Duration, flows []flow) *loadFleet {
	t.Helper()
	pooled := &http.Transport{MaxIdleConnsPerHost: 256}
	t.Cleanup(pooled.CloseIdleConnections)
	f := &loadFleet{
		t: t, flows: flows, results: make([]flowResult, len(flows)),
		pooled: &http.Client{Transport: pooled}, fresh: &http.Client{Transport: &http.Transport{DisableKeepAlives: true}},
	}
	content := catalog.Content{Version: 1, Services: []catalog.Service{{Name: "s"}}}
	for priority := range loadPriorities {
		content.Routes = append(content.Routes, catalog.Route{
			Name: fmt.Sprint(priority), Host: "h", Prefix: fmt.Sprintf("/p%d/", priority), Kind: catalog.KindIdempotent, MaxAttempts: 2,
			Objective: loadObjective, Priority: priority, Targets: []catalog.Target{{Service: "s", Weight: 1}},
		})
	}
	for _, w := range flows {
		content.Teams = append(content.Teams, catalog.Team{Name: w.team, Keys: []string{w.team}})
	}
	f.store = fixedStore{item(t, "catalog", content)}
	for i, serviceTime := range serviceTimes {
		server := httptest.NewServer(&queueingServer{serviceTime: serviceTime, slots: make(chan struct{}, serverSlots)})
		t.Cleanup(server.Close)
		id := fmt.Sprintf("b%d", i)
		f.store = append(f.store, item(t, "backends/"+id, balance.Info{
			ID: id, Service: "s", Address: strings.TrimPrefix(server.URL, "http://"), Zone: "z", Slots: serverSlots,
		}))
	}
	for range loadSeeds {
		f.seeds = append(f.seeds, freeAddress(t))
	}
	for range loadGateways {
		f.live = append(f.live, f.add())
	}
	until := time.Now().Add(meetTimeout)
	for _, w := range f.live {
		for !w.gateway.Ready() || len(w.gateway.node.Live()) < loadGateways-1 {
			if time.Now().After(until) {
				t.Fatal("the gateways have not met")
			}
			time.Sleep(time.Millisecond)
		}
	}
	return f
}

// add starts another gateway. It is not live yet.
func (f *loadFleet) add() *testGateway {
	f.t.Helper()
	w := &testGateway{}
	// Log lines for each request and attempt would take much of the processor.
	w.launchWithLog(f.t, f.store, zerolog.New(io.Discard), func(s *Settings) {
		s.VM, s.Seeds = fmt.Sprintf("vm%d", f.started), f.seeds
		if f.started < loadSeeds {
			s.Listen.Peers = f.seeds[f.started]
		}
		s.Retry = retry.Settings{Slack: 2, Window: time.Second} // there are no retries in the first window
		s.Scheduling = SchedulingSettings{Queue: true, ConcurrencyLimit: true, FairShare: true, ServerSpeed: true}
		s.Provision()
	})
	f.started++
	return w
}

// addLate starts another gateway, which is live as soon as it is ready.
func (f *loadFleet) addLate() {
	w := f.add()
	f.wg.Go(func() {
		for until := time.Now().Add(meetTimeout); !w.gateway.Ready() && time.Now().Before(until); {
			time.Sleep(time.Millisecond)
		}
		f.mu.Lock()
		defer f.mu.Unlock()
		f.live = append(f.live, w)
	})
}

// kill stops the last gateway like the end of its process.
func (f *loadFleet) kill() {
	f.mu.Lock()
	last := len(f.live) - 1
	g := f.live[last].gateway
	f.live = f.live[:last]
	f.mu.Unlock()
	g.cancel()
	for _, l := range g.listeners.Listeners() {
		_ = l.Abort() // closes all connections, as the end of the process does
	}
}
