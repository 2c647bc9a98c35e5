package gateway

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"baywall.example/core/clock"
	"baywall.example/core/source"
	"baywall.example/entry/balance"
	"baywall.example/entry/catalog"
	"baywall.example/entry/quarantine"
)

// These tests guard against a request that crashes every backend server that runs it. A
// caller repeated such a request every few seconds, at any gateway. Each gateway tried it
// at as many servers as the route allows, answered, and forgot it, so that one request
// ended ten servers in 20 s, most of them after a third one had ended:
//
//	attempt ended: attempt 1, verdict lost, cause "unexpected EOF", liveness ended
//
// Seven other requests on the same server lost their connections in the same millisecond,
// and the server's group stalled for 1.5 s each time.

// crashableServer is a backend server that a request can crash. It restarts at its address
// after restartTime.
type crashableServer struct {
	t       *testing.T
	address string
	answer  http.Handler

	mu      sync.Mutex
	server  *http.Server
	crashes atomic.Int32
	wg      sync.WaitGroup
}

const restartTime = 150 * time.Millisecond

func (m *crashableServer) start() {
	ln, err := net.Listen("tcp4", m.address)
	if err != nil {
		m.t.Error(err)
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.server = &http.Server{Handler: m.answer, ReadHeaderTimeout: time.Second}
	server := m.server
	m.wg.Go(func() { _ = server.Serve(ln) }) // returns when the server is closed
}

// crash stops the server and closes all its connections.
func (m *crashableServer) crash() {
	m.mu.Lock()
	server := m.server
	m.server = nil
	m.mu.Unlock()
	if server == nil {
		return // it has crashed already
	}
	m.crashes.Add(1)
	_ = server.Close() // closes all connections, as the end of the process does
	m.wg.Go(func() {
		time.Sleep(restartTime)
		m.start()
	})
}

// crashFleet is a set of gateways that know each other, in front of backend servers that
// requests can crash.
type crashFleet struct {
	servers  []*crashableServer
	gateways []*testGateway
	store    fixedStore
	runs     atomic.Int32 // runs of requests that crash their server
	arrivals atomic.Int32 // arrivals of these requests at any server
}

// lethalPath is the path of requests that crash the server that runs them.
const lethalPath = "/many/lethal"

// crashed returns the number of servers that have crashed at least once. A server that
// restarts under its id counts as the same one, as its entry gives no start time.
func (w *crashFleet) crashed() (n int) {
	for _, m := range w.servers {
		if m.crashes.Load() > 0 {
			n++
		}
	}
	return n
}

// serverOf returns the server that got a request.
func (w *crashFleet) serverOf(r *http.Request) *crashableServer {
	local := r.Context().Value(http.LocalAddrContextKey).(net.Addr)
	for _, m := range w.servers {
		if m.address == local.String() {
			return m
		}
	}
	return nil
}

func startCrashFleet(t *testing.T, servers, gateways int, answer http.HandlerFunc) *crashFleet {
	t.Helper()
	w := &crashFleet{store: fixedStore{item(t, "catalog", catalog.Content{
		Version: 1, Routes: routes(), Teams: []catalog.Team{{Name: "team", Keys: []string{"key"}}},
	})}}
	for i := range servers {
		id := fmt.Sprintf("b%d", i)
		m := &crashableServer{t: t, address: freeAddress(t)}
		m.answer = identified(id, func(rw http.ResponseWriter, r *http.Request) {
			body, _ := io.ReadAll(r.Body) // a closed connection is only detected after the body was read
			r.Body = io.NopCloser(bytes.NewReader(body))
			rw.Header().Set("T-Id", r.Header.Get("T-Id"))
			if r.URL.Path == lethalPath {
				w.arrivals.Add(1)
				time.Sleep(20 * time.Millisecond)
				w.runs.Add(1)
				m.crash()
				return
			}
			answer(rw, r)
		})
		m.start()
		w.servers = append(w.servers, m)
		w.store = append(w.store, item(t, "backends/"+id, balance.Info{ID: id, Service: "s", Address: m.address, Slots: 8}))
	}
	t.Cleanup(func() {
		time.Sleep(restartTime)
		for _, m := range w.servers {
			m.mu.Lock()
			if m.server != nil {
				_ = m.server.Close()
			}
			m.mu.Unlock()
			m.wg.Wait()
		}
	})
	for range gateways {
		w.addGateway(t)
	}
	return w
}

// addGateway starts another gateway and waits until it is ready and has met the others.
func (w *crashFleet) addGateway(t *testing.T) *testGateway {
	t.Helper()
	next := &testGateway{}
	next.launch(t, source.Store(w.store), func(s *Settings) {
		s.VM = fmt.Sprintf("vm%d", len(w.gateways))
		for _, g := range w.gateways {
			s.Seeds = append(s.Seeds, g.gateway.settings.Listen.Peers)
		}
	})
	w.gateways = append(w.gateways, next)
	met := func() bool { return next.gateway.Ready() && len(next.gateway.node.Live()) == len(w.gateways)-1 }
	for until := time.Now().Add(3 * time.Second); !met() && time.Now().Before(until); {
		time.Sleep(time.Millisecond)
	}
	return next
}

// exchange posts a request through a gateway, and returns the answer and whether its body was
// whole.
func (w *crashFleet) exchange(t *testing.T, gateway int, path, body string, prompt ...string) (resp *http.Response, whole bool) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, w.gateways[gateway].url+path, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	req.Host = "h"
	req.Header.Set("T-Id", fmt.Sprintf("%s-%d", path, gateway))
	req.Header.Set("T-Key", "key")
	req.Header.Set("T-Deadline", "3000")
	req.Header.Set("T-Prompt", strings.Join(prompt, " "))
	resp, err = http.DefaultClient.Do(req)
	if err != nil {
		return &http.Response{}, false
	}
	defer resp.Body.Close()
	_, err = io.Copy(io.Discard, resp.Body)
	return resp, err == nil
}

// post is like exchange, and returns the status of the answer, 0 = none.
func (w *crashFleet) post(t *testing.T, gateway int, path, body string, prompt ...string) (status int, whole bool) {
	t.Helper()
	resp, whole := w.exchange(t, gateway, path, body, prompt...)
	return resp.StatusCode, whole
}

// send is like exchange for a request that must get an answer.
func (w *crashFleet) send(t *testing.T, gateway int, path, body string) *http.Response {
	t.Helper()
	resp, _ := w.exchange(t, gateway, path, body)
	if resp.StatusCode == 0 {
		t.Errorf("%s through gateway %d: no answer", path, gateway)
	}
	return resp
}

// propagationTime is the time within which all gateways learn what one of them saw.
const propagationTime = 600 * time.Millisecond

func TestLethalRequestIsQuarantinedEverywhere(t *testing.T) {
	is := is.New(t)
	w := startCrashFleet(t, 8, 3, func(rw http.ResponseWriter, r *http.Request) { ok(0, rw, r) })
	for i := 0; w.crashed() < 3; i++ {
		is.True(i < 9) // the first arrivals are attempted
		w.send(t, i%3, lethalPath, "lethal")
		time.Sleep(restartTime)
	}
	time.Sleep(propagationTime)
	before := w.arrivals.Load()
	w.addGateway(t) // like a gateway that was restarted
	time.Sleep(propagationTime)
	for i := range 8 {
		began := time.Now()
		resp := w.send(t, i%4, lethalPath, "lethal")
		is.Equal(resp.StatusCode, http.StatusServiceUnavailable)
		is.Equal(resp.Header.Get(headerOutcome), "not-run")
		is.True(time.Since(began) < 100*time.Millisecond) // a request that is known to fail does not wait
		is.Equal(w.send(t, i%4, "/many/x", "other").StatusCode, http.StatusOK)
	}
	is.Equal(w.arrivals.Load(), before) // none reached a server
}

// A caller sent the same content to several targets, and it ended three servers for each of
// them. The content is the own part of the prompt or, without one, the body.
func TestLethalContentIsQuarantinedOnEveryTarget(t *testing.T) {
	const lethal, sound = "lethal", "sound"
	cases := []struct {
		name    string
		request func(target, content string) (body string, prompt []string)
	}{
		{"body", func(_, content string) (string, []string) { return content, nil }},
		{"prompt", func(target, content string) (string, []string) {
			return "body of " + target, []string{"first part of " + target, content}
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			var w *crashFleet
			w = startCrashFleet(t, 8, 3, func(rw http.ResponseWriter, r *http.Request) {
				body, _ := io.ReadAll(r.Body)
				if string(body) != lethal && !strings.HasSuffix(r.Header.Get("T-Prompt"), lethal) {
					_, _ = io.WriteString(rw, "data: one event\n\n")
					return
				}
				w.arrivals.Add(1)
				w.serverOf(r).crash()
				panic(http.ErrAbortHandler)
			})
			post := func(gateway int, target, content string) *http.Response {
				body, prompt := c.request(target, content)
				resp, _ := w.exchange(t, gateway, target, body, prompt...)
				return resp
			}
			targets := []string{"/many/a", "/once/b", "/stream/c", "/many/d"}
			for i := 0; w.crashed() < 3 && i < 9; i++ {
				post(i%3, targets[i%4], lethal)
				time.Sleep(restartTime)
			}
			time.Sleep(propagationTime)
			before := w.arrivals.Load()
			for i, target := range targets {
				resp := post(i%3, target, lethal)
				is.Equal(resp.StatusCode, http.StatusServiceUnavailable)
				is.Equal(resp.Header.Get(headerReason), "quarantined")
				is.Equal(post(i%3, target, sound).StatusCode, http.StatusOK)
			}
			is.Equal(w.arrivals.Load(), before)
		})
	}
}

// A request that was admitted and then waited for a permit or a connection was sent although
// it had been quarantined in the meantime.
func TestQuarantinedRequestIsNotSentAfterItWasAdmitted(t *testing.T) {
	is := is.New(t)
	w := startCrashFleet(t, 1, 1, func(rw http.ResponseWriter, r *http.Request) { ok(0, rw, r) })
	g := w.gateways[0].gateway
	r, err := http.NewRequestWithContext(t.Context(), http.MethodPost, w.gateways[0].url+"/many/x", nil)
	is.NoErr(err)
	r.Host = "h"
	q := &request{g: g, r: r, snapshot: g.catalog.Current()}
	is.Equal(q.admit(clock.Now()), quarantine.Granted)
	server := g.registry.At(w.servers[0].address)
	is.NoErr(q.checkSend(server))
	for i := range 3 {
		g.suspects.Ended(q.fingerprints(), &q.quarantineAttempt, quarantine.ServerKey(i), clock.Now())
		q.quarantineAttempt.Release()
		for q.admit(clock.Now()) == quarantine.Wait {
			time.Sleep(waitPollInterval)
		}
	}
	is.True(errors.Is(q.checkSend(server), errOutdated))
}

// Other requests that were on a crashed server are retried and served, even if many of them
// are equal and even if all servers fail several times.
func TestOtherRequestsAreServedOn(t *testing.T) {
	is := is.New(t)
	slow := func(rw http.ResponseWriter, r *http.Request) {
		time.Sleep(30 * time.Millisecond)
		ok(0, rw, r)
	}
	w := startCrashFleet(t, 6, 2, slow)
	ctx, cancel := context.WithCancel(t.Context())
	var run sync.WaitGroup
	for i := range 24 {
		body := "equal" // half of the requests are equal
		if i%2 == 0 {
			body = fmt.Sprint("body ", i)
		}
		run.Go(func() {
			for ctx.Err() == nil {
				resp := w.send(t, i%2, "/many/x", body)
				if reason := resp.Header.Get(headerReason); reason == "quarantined" {
					t.Errorf("%q was refused: %s", body, reason)
				}
				time.Sleep(5 * time.Millisecond)
			}
		})
	}
	for range 4 { // all servers fail again as soon as they are back
		for _, m := range w.servers {
			m.crash()
		}
		time.Sleep(2 * restartTime)
	}
	for i := range 6 {
		w.send(t, i%2, lethalPath, "lethal")
		time.Sleep(restartTime)
	}
	cancel()
	run.Wait()
	time.Sleep(1200 * time.Millisecond) // the longest duration of a first ejection
	for i := range 24 {
		is.Equal(w.send(t, i%2, "/many/x", fmt.Sprint("body ", i)).StatusCode, http.StatusOK)
	}
	is.Equal(w.send(t, 0, "/many/x", "equal").StatusCode, http.StatusOK)
	is.Equal(w.send(t, 0, lethalPath, "lethal").Header.Get(headerReason), "quarantined")
}
