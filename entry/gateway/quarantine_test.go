package gateway

import (
	"context"
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

	"baywall.example/core/source"
	"baywall.example/entry/balance"
	"baywall.example/entry/catalog"
)

// A caller repeated one request every few seconds, at any gateway. It ended each backend
// server that began to run it. A gateway tried it at as many servers as its route allows,
// answered, and forgot it, so ten servers ended in 20 s under one request, most of them
// after a third one had ended:
//
//	attempt ended: attempt 1, verdict lost, cause "unexpected EOF", liveness ended
//
// and seven other requests on the same server lost their connection in the same
// millisecond. The group of the server stood for 1.5 s each time.

// mortal is a backend server that a request can end. It starts again at its address after
// restartTime.
type mortal struct {
	t       *testing.T
	address string
	answer  http.Handler

	mu     sync.Mutex
	server *http.Server
	ends   atomic.Int32
	wg     sync.WaitGroup
}

const restartTime = 150 * time.Millisecond

func (m *mortal) start() {
	ln, err := net.Listen("tcp4", m.address)
	if err != nil {
		m.t.Error(err)
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.server = &http.Server{Handler: m.answer, ReadHeaderTimeout: time.Second}
	server := m.server
	m.wg.Go(func() { _ = server.Serve(ln) }) // until it ends
}

// end ends the server with all its connections.
func (m *mortal) end() {
	m.mu.Lock()
	server := m.server
	m.server = nil
	m.mu.Unlock()
	if server == nil {
		return // it has ended already
	}
	m.ends.Add(1)
	_ = server.Close() // as its process does
	m.wg.Go(func() {
		time.Sleep(restartTime)
		m.start()
	})
}

// mortals are gateways that know each other before backend servers that requests can end.
type mortals struct {
	servers  []*mortal
	gateways []*world
	store    fixedStore
	runs     atomic.Int32 // of requests that end their server
	arrivals atomic.Int32 // of these at any server
}

// lethalPath is the path of requests that end the server which runs them.
const lethalPath = "/many/lethal"

// ended returns how many servers have ended at least once. One that starts again under its
// id is the same as before, as its entry tells no start.
func (w *mortals) ended() (n int) {
	for _, m := range w.servers {
		if m.ends.Load() > 0 {
			n++
		}
	}
	return n
}

func startMortals(t *testing.T, servers, gateways int, answer http.HandlerFunc) *mortals {
	t.Helper()
	w := &mortals{store: fixedStore{item(t, "catalog", catalog.Content{
		Version: 1, Routes: routes(), Teams: []catalog.Team{{Name: "team", Keys: []string{"key"}}},
	})}}
	for i := range servers {
		m := &mortal{t: t, address: freeAddress(t)}
		m.answer = http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
			_, _ = io.Copy(io.Discard, r.Body) // only then a closed connection shows
			rw.Header().Set("T-Id", r.Header.Get("T-Id"))
			if r.URL.Path == lethalPath {
				w.arrivals.Add(1)
				time.Sleep(20 * time.Millisecond)
				w.runs.Add(1)
				m.end()
				return
			}
			answer(rw, r)
		})
		m.start()
		w.servers = append(w.servers, m)
		id := fmt.Sprintf("b%d", i)
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

// addGateway starts another gateway that meets the others.
func (w *mortals) addGateway(t *testing.T) *world {
	t.Helper()
	next := &world{}
	next.begin(t, source.Store(w.store), func(s *Settings) {
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

// send sends a request with a body through a gateway.
func (w *mortals) send(t *testing.T, gateway int, path, body string) *http.Response {
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
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Error(err)
		return &http.Response{}
	}
	defer resp.Body.Close()
	_, _ = io.Copy(io.Discard, resp.Body) // what counts is the status
	return resp
}

// spreadTime is in which all gateways know what one of them saw.
const spreadTime = 600 * time.Millisecond

func TestARequestThatEndsItsServersIsRefusedEverywhere(t *testing.T) {
	is := is.New(t)
	w := startMortals(t, 8, 3, func(rw http.ResponseWriter, r *http.Request) { ok(0, rw, r) })
	for i := 0; w.ended() < 3; i++ {
		is.True(i < 9) // its first arrivals are tried
		w.send(t, i%3, lethalPath, "lethal")
		time.Sleep(restartTime)
	}
	time.Sleep(spreadTime)
	before := w.arrivals.Load()
	w.addGateway(t) // as one that was started again
	time.Sleep(spreadTime)
	for i := range 8 {
		began := time.Now()
		resp := w.send(t, i%4, lethalPath, "lethal")
		is.Equal(resp.StatusCode, http.StatusServiceUnavailable)
		is.Equal(resp.Header.Get(headerOutcome), "not-run")
		is.True(time.Since(began) < 100*time.Millisecond) // what is known to fail is not held
		is.Equal(w.send(t, i%4, "/many/x", "other").StatusCode, http.StatusOK)
	}
	is.Equal(w.arrivals.Load(), before) // none reached a server
}

// Requests that were on a server that ended are tried on and served, also many equal ones
// and also if everything fails several times.
func TestOtherRequestsAreServedOn(t *testing.T) {
	is := is.New(t)
	slow := func(rw http.ResponseWriter, r *http.Request) {
		time.Sleep(30 * time.Millisecond)
		ok(0, rw, r)
	}
	w := startMortals(t, 6, 2, slow)
	ctx, cancel := context.WithCancel(t.Context())
	var run sync.WaitGroup
	for i := range 24 {
		body := "equal" // half of them are
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
	for range 4 { // everything fails, as fast as it is back
		for _, m := range w.servers {
			m.end()
		}
		time.Sleep(2 * restartTime)
	}
	for i := range 6 {
		w.send(t, i%2, lethalPath, "lethal")
		time.Sleep(restartTime)
	}
	cancel()
	run.Wait()
	time.Sleep(1200 * time.Millisecond) // the longest first ejection
	for i := range 24 {
		is.Equal(w.send(t, i%2, "/many/x", fmt.Sprint("body ", i)).StatusCode, http.StatusOK)
	}
	is.Equal(w.send(t, 0, "/many/x", "equal").StatusCode, http.StatusOK)
	is.Equal(w.send(t, 0, lethalPath, "lethal").Header.Get(headerReason), "quarantined")
}
