package gateway

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"baywall.example/entry/balance"
	"baywall.example/entry/catalog"
)

const (
	// vmMemory is the memory of a small entry VM, in bytes, and endless as much as a server sends
	// on one connection that sends without end.
	vmMemory = 284 << 20
	endless  = vmMemory
	// gatewayMemory is how much the heap of a gateway may grow: the rest of the VM is for the
	// system, the garbage between two collections and the requests that are answered.
	gatewayMemory = vmMemory / 4
	// timelyAnswer is how soon a caller has to get an answer, so that it can make use of it.
	timelyAnswer = 2 * time.Second
)

// endlessGateway is a gateway in front of a sound server and one that sends bytes without end, both
// of one service, and of a sound server of another service.
type endlessGateway struct {
	testGateway
	begun atomic.Int32 // answers without end that were begun
}

func startEndless(t *testing.T, start, part string) *endlessGateway {
	t.Helper()
	w := &endlessGateway{}
	other := routes()[0]
	other.Name, other.Prefix, other.Targets = "other", "/other/", []catalog.Target{{Service: "o", Weight: 1}}
	store := fixedStore{item(t, "catalog", catalog.Content{
		Version: 1, Routes: append(routes(), other), Teams: []catalog.Team{{Name: "team", Keys: []string{"key"}}},
	})}
	sound := func(rw http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		rw.Header().Set("T-Id", r.Header.Get("T-Id"))
		if strings.HasPrefix(r.URL.Path, "/stream/") {
			events(rw, 1, 3)
			return
		}
		ok(0, rw, r)
	}
	block := bytes.Repeat([]byte(part), 1+32<<10/len(part))
	faulty := func(rw http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		w.begun.Add(1)
		conn, _, err := rw.(http.Hijacker).Hijack()
		if err != nil {
			return
		}
		defer conn.Close()
		_, err = io.WriteString(conn, strings.ReplaceAll(start, "ID", r.Header.Get("T-Id")))
		for sent := 0; err == nil && sent < endless; sent += len(block) {
			_, err = conn.Write(block)
		}
	}
	for _, s := range []struct {
		id, service string
		answer      http.HandlerFunc
	}{{"faulty", "s", faulty}, {"sound", "s", sound}, {"other", "o", sound}} {
		server := httptest.NewServer(identified(s.id, s.answer))
		t.Cleanup(server.Close)
		store = append(store, item(t, "backends/"+s.id, balance.Info{
			ID: s.id, Service: s.service, Address: strings.TrimPrefix(server.URL, "http://"), Slots: 4,
		}))
	}
	w.run(t, store)
	return w
}

// watchMemory samples the heap until stop is called, which returns by how much it grew at most.
func watchMemory() (stop func() uint64) {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	before, most := m.HeapInuse, m.HeapInuse
	done, ended := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(ended)
		for {
			select {
			case <-done:
				return
			case <-time.After(2 * time.Millisecond):
				runtime.ReadMemStats(&m)
				most = max(most, m.HeapInuse)
			}
		}
	}()
	return func() uint64 {
		close(done)
		<-ended
		return most - before
	}
}

// serveOthers sends requests to another service one after another until stop is called, which
// returns their number, how many failed, and the longest time that one took.
func (w *endlessGateway) serveOthers(t *testing.T) (stop func() (n, failed int, slowest time.Duration)) {
	var n, failed int
	var slowest time.Duration
	done, ended := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(ended)
		for {
			select {
			case <-done:
				return
			default:
			}
			began := time.Now()
			resp, _, err := w.get(t, t.Context(), "/other/x", nil)
			n++
			if err != nil || resp.StatusCode != http.StatusOK {
				failed++
			}
			slowest = max(slowest, time.Since(began))
		}
	}()
	return func() (int, int, time.Duration) {
		close(done)
		<-ended
		return n, failed, slowest
	}
}

// A backend server that sent bytes without end took all the memory of its gateway.
func TestGatewayOutlivesBytesWithoutEnd(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nT-Id: ID\r\n"
	cases := []struct{ name, path, start, part string }{
		{"head of lines", "/many/x", head, "X-Line: " + strings.Repeat("x", 1000) + "\r\n"},
		{"head of one line", "/many/x", head + "X: ", "x"},
		{"status line", "/many/x", "HTTP/1.1 200 ", "x"},
		{"no HTTP", "/many/x", "", "x"},
		{"no HTTP, not idempotent", "/once/x", "", "\x00"},
		{"interim answer", "/stream/x", "HTTP/1.1 103 Early Hints\r\n", "X: x\r\n"},
		{"stream of one line", "/stream/x", head + "\r\n", "x"},
		{"stream of lines", "/stream/x", head + "\r\n", "xxxx\n\n"},
		{"stream of blank lines", "/stream/x", head + "\r\n", "\n"},
		{"chunk sizes", "/stream/x", head + "Transfer-Encoding: chunked\r\n\r\n", "0"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			w := startEndless(t, c.start, c.part)
			grown, others := watchMemory(), w.serveOthers(t)
			var results []string
			var began time.Time
			for round := 0; round < 10 && w.begun.Load() == 0; round++ { // until one is sent to the faulty server
				began = time.Now()
				results = w.sendTogether(t, c.path, 8)
			}
			took, memory := time.Since(began), grown()
			n, failed, slowest := others()
			t.Logf("%d begun, %v, heap grown by %d kB; others: %d, slowest %v; %q", w.begun.Load(), took, memory>>10, n, slowest, results)
			is.True(w.begun.Load() > 0)
			is.True(memory < gatewayMemory)
			is.True(took < timelyAnswer)
			is.Equal(failed, 0)
			is.True(slowest < timelyAnswer)
			for _, result := range results {
				// A request that must not run twice has an unknown outcome.
				is.True(result == "200" || strings.HasPrefix(c.path, "/once/") && result == "502 unknown")
			}
		})
	}
}

// sendTogether sends n requests at once and returns their results.
func (w *endlessGateway) sendTogether(t *testing.T, path string, n int) []string {
	var callers sync.WaitGroup
	results := make([]string, n)
	for i := range results {
		callers.Go(func() { results[i] = w.result(t, fmt.Sprint("r", i), path) })
	}
	callers.Wait()
	return results
}

// result sends a request and returns the status with the outcome, or the error.
func (w *endlessGateway) result(t *testing.T, id, path string) string {
	resp, body, err := w.get(t, t.Context(), path, func(h http.Header) { h.Set("T-Id", id) })
	switch {
	case err != nil:
		return err.Error()
	case resp.StatusCode == http.StatusOK && body != "answer" && strings.Count(body, "data: e") != 3:
		return fmt.Sprintf("another answer, of %d bytes", len(body))
	default:
		return strings.TrimSpace(fmt.Sprintf("%d %s", resp.StatusCode, resp.Header.Get(headerOutcome)))
	}
}

// An answer of which a part was passed on ends with its caller's connection, within the bound.
func TestBodyWithoutEndIsAborted(t *testing.T) {
	for _, start := range []string{"", "Transfer-Encoding: chunked\r\n", "Content-Length: 9000000000\r\n"} {
		t.Run(strings.TrimSpace(start), func(t *testing.T) {
			is := is.New(t)
			part := "x"
			if strings.Contains(start, "chunked") {
				part = "1000\r\n" + strings.Repeat("x", 0x1000) + "\r\n"
			}
			w := startEndless(t, "HTTP/1.1 200 OK\r\nT-Id: ID\r\n"+start+"\r\n", part)
			grown, others := watchMemory(), w.serveOthers(t)
			for began := time.Now(); w.begun.Load() == 0 && time.Since(began) < timelyAnswer; {
				conn, err := net.Dial("tcp4", strings.TrimPrefix(w.url, "http://"))
				is.NoErr(err)
				fmt.Fprint(conn, "GET /many/x HTTP/1.1\r\nHost: h\r\nT-Id: r\r\nT-Key: key\r\nT-Deadline: 4000\r\nConnection: close\r\n\r\n")
				n, _ := io.Copy(io.Discard, conn)
				conn.Close()
				t.Logf("%d kB after %v", n>>10, time.Since(began))
				is.True(n < endless)
			}
			memory := grown()
			_, failed, slowest := others()
			t.Logf("heap grown by %d kB, slowest other %v", memory>>10, slowest)
			is.True(w.begun.Load() > 0)
			is.True(memory < gatewayMemory)
			is.Equal(failed, 0)
			is.True(slowest < timelyAnswer)
			metrics := httptest.NewRecorder()
			w.gateway.inst.ServeHTTP(metrics, nil)
			is.True(strings.Contains(metrics.Body.String(), `result="cut"`) || strings.Contains(metrics.Body.String(), `result="lost"`))
		})
	}
}
