package gateway

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"baywall.example/entry/balance"
	"baywall.example/entry/catalog"
)

// identityPath is the path at which the servers of the tests give their ids.
const identityPath = "/identity"

// identified is a server that rejects queries for its identity, giving its id.
func identified(id string, answer http.HandlerFunc) http.Handler {
	return http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		if r.URL.Path != identityPath {
			answer(rw, r)
			return
		}
		rw.Header().Set("T-Server-Id", id)
		rw.WriteHeader(http.StatusMisdirectedRequest)
	})
}

// restartableServer is a backend server that ends under the requests that it answers, and is
// followed by another process at its address.
type restartableServer struct {
	t       *testing.T
	address string
	mu      sync.Mutex
	server  *http.Server
	ln      net.Listener
}

// serve starts a process that listens at the server's address; with a nil answer it never
// accepts a connection.
func (s *restartableServer) serve(answer http.Handler) {
	ln, err := net.Listen("tcp4", s.address)
	if err != nil {
		s.t.Error(err)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ln = ln
	if answer == nil {
		return
	}
	s.server = &http.Server{Handler: answer, ReadHeaderTimeout: time.Second}
	go func(server *http.Server) { _ = server.Serve(ln) }(s.server) // returns when it is closed
}

// end ends the process that listens, but for the connections that requests have taken over.
func (s *restartableServer) end() {
	s.mu.Lock()
	defer s.mu.Unlock()
	_ = s.ln.Close()
	if s.server != nil {
		_ = s.server.Close()
	}
}

// startRestartable runs a gateway in front of one server, whose processes get the server's state.
func startRestartable(t *testing.T, answer func(s *restartableServer) http.Handler) *testGateway {
	t.Helper()
	s := &restartableServer{t: t, address: freeAddress(t)}
	s.serve(answer(s))
	t.Cleanup(s.end)
	w := &testGateway{}
	w.run(t, fixedStore{
		item(t, "catalog", catalog.Content{Version: 1, Routes: routes(), Teams: []catalog.Team{{Name: "team", Keys: []string{"key"}}}}),
		item(t, "backends/b0", balance.Info{ID: "b0", Service: "s", Address: s.address, Slots: 4}),
	})
	return w
}

// unframedPaths are paths of all kinds of routes, with the part of an answer that is sent before
// the server ends.
var unframedPaths = []struct{ name, path, part string }{
	{"at most once", "/once/x", "part of the answer"},
	{"idempotent", "/many/x", "part of the answer"},
	{"larger than the buffer", "/once/y", strings.Repeat("x", maxBuffered+1)},
	{"stream between events", "/stream/x", "id: 1\ndata: piece\n\n"},
	{"empty", "/once/z", ""},
}

// A part of an answer with neither a length nor chunks was delivered as the whole one, since
// another process listened at the address when its end was read.
func TestPartOfAnAnswerIsNotWholeAfterARestart(t *testing.T) {
	successors := []struct {
		name    string
		process http.Handler
	}{
		{"next incarnation", identified("b0-next", func(rw http.ResponseWriter, r *http.Request) { ok(0, rw, r) })},
		{"gives no id", http.HandlerFunc(func(rw http.ResponseWriter, _ *http.Request) {
			rw.WriteHeader(http.StatusMisdirectedRequest)
		})},
		{"server of another kind", http.NotFoundHandler()},
		{"accepts no connection", nil},
	}
	for _, successor := range successors {
		for _, c := range unframedPaths {
			t.Run(successor.name+"/"+c.name, func(t *testing.T) {
				is := is.New(t)
				w := startRestartable(t, func(s *restartableServer) http.Handler {
					return identified("b0", func(rw http.ResponseWriter, r *http.Request) {
						end := beginUnframed(rw, r, c.part)
						s.end()
						s.serve(successor.process)
						end()
					})
				})
				resp, _, err := w.get(t, t.Context(), c.path, func(h http.Header) { h.Set("T-Deadline", "400") })
				is.True(err != nil || resp.StatusCode != http.StatusOK) // it must not look whole
			})
		}
	}
}

// An answer with neither a length nor chunks is delivered if the server that gave it lives, even
// if all its slots are in use, and if it gives its id in answers to health checks only.
func TestUnframedAnswersOfAFullServerAreDelivered(t *testing.T) {
	rejecting := map[string]func(id string, next http.HandlerFunc) http.Handler{
		"gives its id": identified,
		"gives no id with a rejection": func(id string, next http.HandlerFunc) http.Handler {
			return http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
				switch {
				case r.URL.Path != identityPath:
					next(rw, r)
				case r.Header.Get("T-Server") != id:
					rw.WriteHeader(http.StatusMisdirectedRequest)
				default:
					rw.Header().Set("T-Not-Run", "1")
					rw.WriteHeader(http.StatusServiceUnavailable)
				}
			})
		},
	}
	for name, identified := range rejecting {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			w := startRestartable(t, func(*restartableServer) http.Handler {
				return identified("b0", func(rw http.ResponseWriter, r *http.Request) {
					time.Sleep(20 * time.Millisecond)
					beginUnframed(rw, r, "id: 1\ndata: whole\n\n")()
				})
			})
			var callers sync.WaitGroup
			for i := range 16 { // four times the slots
				callers.Go(func() {
					for _, path := range []string{"/many/x", "/once/x", "/stream/x"} {
						resp, body, err := w.get(t, context.Background(), path, func(h http.Header) { h.Set("T-Id", fmt.Sprint(path, i)) })
						if err != nil || resp.StatusCode != http.StatusOK || body != "id: 1\ndata: whole\n\n" {
							t.Errorf("%s: %v %v %q", path, resp, err, body)
						}
					}
				})
			}
			callers.Wait()
			is.Equal(w.gateway.inst.set.GetOrCreateCounter(`baywall_answers_unproven_total{service="s",liveness="unknown"}`).Get(), uint64(0))
		})
	}
}

// A request that ended its servers was never quarantined, since each of them was back at once and
// its connection counted as one that only broke.
func TestRequestThatEndsServersThatAreBackAtOnceIsQuarantined(t *testing.T) {
	is := is.New(t)
	w := &testGateway{}
	store := fixedStore{item(t, "catalog", catalog.Content{Version: 1, Routes: routes(), Teams: []catalog.Team{{Name: "team", Keys: []string{"key"}}}})}
	for i := range 6 {
		id := fmt.Sprint("b", i)
		s := &restartableServer{t: t, address: freeAddress(t)}
		s.serve(identified(id, func(rw http.ResponseWriter, r *http.Request) {
			w.runs.Add(1)
			conn, _, _ := rw.(http.Hijacker).Hijack()
			s.end()
			s.serve(identified(id+"-next", func(rw http.ResponseWriter, r *http.Request) { ok(0, rw, r) }))
			conn.Close()
		}))
		t.Cleanup(s.end)
		store = append(store, item(t, "backends/"+id, balance.Info{ID: id, Service: "s", Address: s.address, Slots: 4}))
	}
	w.run(t, store)
	for range 5 {
		_, _, err := w.get(t, t.Context(), "/once/lethal", nil)
		is.NoErr(err)
	}
	is.Equal(w.runs.Load(), int32(3))
	resp, _, err := w.get(t, t.Context(), "/once/lethal", nil)
	is.NoErr(err)
	is.Equal(resp.Header.Get(headerReason), "quarantined")
}
