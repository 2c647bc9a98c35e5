package gateway

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"baywall.example/core/cluster"
	"baywall.example/core/contract"
	"baywall.example/core/rendezvous"
	"baywall.example/core/vm"
	"baywall.example/core/wire"
	"baywall.example/entry/balance"
	"baywall.example/entry/catalog"
)

const queueTestSlots = 4

// startQueue runs a gateway with the queue in front of one server. The routes /p0/ and /p2/
// have that priority and the objective.
func startQueue(t *testing.T, objective time.Duration, answer http.HandlerFunc) *testGateway {
	t.Helper()
	server := httptest.NewServer(http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		rw.Header().Set("T-Id", r.Header.Get("T-Id"))
		answer(rw, r)
	}))
	t.Cleanup(server.Close)
	var routes []catalog.Route
	for priority, name := range []string{"p0", "p1", "p2"} {
		routes = append(routes, catalog.Route{
			Name: name, Host: "h", Prefix: "/" + name + "/", Kind: catalog.KindIdempotent, Timeout: 5 * time.Second, MaxAttempts: 2,
			Objective: objective, Priority: priority, Targets: []catalog.Target{{Service: "s", Weight: 1}},
		})
	}
	w := &testGateway{}
	w.launch(t, fixedStore{
		item(t, "catalog", catalog.Content{Version: 1, Routes: routes}),
		item(t, "backends/b", balance.Info{ID: "b", Service: "s", Address: strings.TrimPrefix(server.URL, "http://"), Slots: queueTestSlots}),
	}, func(s *Settings) { s.Scheduling.Queue = true })
	waitUntil(t, w.gateway.Ready)
	return w
}

func waitUntil(t *testing.T, done func() bool) {
	t.Helper()
	for until := time.Now().Add(2 * time.Second); !done(); time.Sleep(time.Millisecond) {
		if time.Now().After(until) {
			t.Fatal("condition not met in time")
		}
	}
}

func (w *testGateway) queued() int { return int(w.gateway.serviceStateOf("s").slots.length()) }

// Guards against urgent requests that wait behind less urgent ones, and against requests
// that overtake those with an earlier deadline.
func TestQueuedRequestsGetSlotsInOrder(t *testing.T) {
	is := is.New(t)
	began, end := make(chan string, 16), make(chan bool)
	w := startQueue(t, 2*time.Second, func(_ http.ResponseWriter, r *http.Request) {
		began <- r.URL.Path
		<-end
	})
	var callers sync.WaitGroup
	send := func(path string) { callers.Go(func() { _, _, _ = w.get(t, t.Context(), path, nil) }) }
	for range queueTestSlots {
		send("/p2/running")
		is.Equal(<-began, "/p2/running")
	}
	for i, path := range []string{"/p2/first", "/p2/second", "/p0/urgent", "/p1/between"} {
		send(path)
		waitUntil(t, func() bool { return w.queued() == i+1 })
	}
	for _, path := range []string{"/p0/urgent", "/p1/between", "/p2/first", "/p2/second"} {
		end <- true
		is.Equal(<-began, path)
	}
	close(end)
	callers.Wait()
	is.Equal(w.queued(), 0)
}

// Guards against callers that learn only at their objective that they cannot be served.
func TestRequestThatCannotBeOnTimeIsRefusedAtOnce(t *testing.T) {
	is := is.New(t)
	began, end := make(chan bool, 64), make(chan bool)
	w := startQueue(t, 800*time.Millisecond, func(http.ResponseWriter, *http.Request) {
		began <- true
		<-end
	})
	var callers sync.WaitGroup
	for range queueTestSlots {
		callers.Go(func() { _, _, _ = w.get(t, t.Context(), "/p2/running", nil) })
		<-began
	}
	for i := range queueTestSlots { // a slot is expected every 200 ms until one was released
		callers.Go(func() { _, _, _ = w.get(t, t.Context(), "/p2/waits", nil) })
		waitUntil(t, func() bool { return w.queued() == i+1 })
	}
	sent := time.Now()
	resp, _, err := w.get(t, t.Context(), "/p2/refused", nil)
	is.NoErr(err)
	is.True(time.Since(sent) < 200*time.Millisecond)
	is.Equal(resp.StatusCode, http.StatusServiceUnavailable)
	is.Equal(resp.Header.Get(headerOutcome), string(contract.NotRun))
	is.Equal(resp.Header.Get(headerReason), string(contract.ReasonOverload))
	is.True(resp.Header.Get("Retry-After") != "")
	close(end)
	callers.Wait()
}

// Guards against a dead gateway whose urgent requests hold slots back for good.
func TestWaitingCountsOfADeadGatewayExpire(t *testing.T) {
	is := is.New(t)
	w := startQueue(t, 2*time.Second, func(http.ResponseWriter, *http.Request) {})
	_, _, err := w.get(t, t.Context(), "/p2/x", nil) // the service time is known then
	is.NoErr(err)
	address := freeAddress(t)
	waitUntil(t, w.gateway.activity.isActive) // standbys are not told what waits
	waiting := []*wire.Waiting{{Service: uint32(rendezvous.Hash("s")), Level: 0, Requests: 20}}
	peer, err := cluster.NewNode(address, []string{w.gateway.settings.Listen.Peers}, 0, func() cluster.Self {
		return cluster.Self{
			VM: vm.ID("peer"), Incarnation: 1, Zone: "z", Address: address, Activity: cluster.Activity{Active: true},
			Demand: func(time.Time) *wire.Demand { return &wire.Demand{Waiting: waiting} },
		}
	}, zerolog.Nop())
	is.NoErr(err)
	ctx, kill := context.WithCancel(t.Context())
	defer kill()
	go peer.Run(ctx)
	slots := w.gateway.serviceStateOf("s").slots
	waitUntil(t, func() bool { return slots.others(time.Now())[0] == 20 })
	answered := make(chan int, 1)
	go func() {
		resp, _, err := w.get(t, t.Context(), "/p2/x", nil)
		if err == nil {
			answered <- resp.StatusCode
		}
	}()
	select {
	case <-answered:
		t.Fatal("a request took a slot that more urgent ones at another gateway wait for")
	case <-time.After(300 * time.Millisecond):
	}
	kill()
	select {
	case status := <-answered:
		is.Equal(status, http.StatusOK)
	case <-time.After(time.Second):
		t.Fatal("counts of the dead gateway did not expire")
	}
}
