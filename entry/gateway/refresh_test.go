package gateway

import (
	"context"
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"baywall.example/core/source"
	"baywall.example/entry/balance"
	"baywall.example/entry/catalog"
)

// applyConfiguration offers a configuration to the gateway and waits until it is in force.
func (w *testGateway) applyConfiguration(t *testing.T, content catalog.Content) {
	t.Helper()
	k := w.gateway.applied().at
	next := item(t, "catalog", content)
	next.Position = at(k.Revision + 1)
	w.gateway.follower.Offer(source.State{Events: []source.Event{{Item: next}}, After: k, Position: next.Position, Changed: next.Position})
	for until := time.Now().Add(2 * time.Second); w.gateway.catalog.Version() < content.Version && time.Now().Before(until); {
		time.Sleep(time.Millisecond)
	}
}

// Guards against using the decision made on arrival for all attempts of a request. A
// request that a backend server rejected after its key had been revoked was sent to the
// next server, and one whose route had moved was sent to the old service.
func TestRetryUsesCurrentConfiguration(t *testing.T) {
	keyless := []catalog.Team{{Name: "team", Keys: []string{"other"}}}
	keyed := []catalog.Team{{Name: "team", Keys: []string{"key"}}}
	renamed := []catalog.Team{{Name: "renamed", Keys: []string{"key"}}}
	for _, c := range []struct {
		name   string
		next   catalog.Content
		status int
		team   string
		runs   int32
	}{
		{"the key is revoked", catalog.Content{Version: 2, Routes: routes(), Teams: keyless}, http.StatusUnauthorized, "", 1},
		{"the route is dropped", catalog.Content{Version: 2, Routes: routes()[:1], Teams: keyed}, http.StatusNotFound, "", 1},
		{"the key moves to another team", catalog.Content{Version: 2, Routes: routes(), Teams: renamed}, http.StatusOK, "renamed", 2},
		{"no relevant change", catalog.Content{Version: 2, Routes: routes(), Teams: keyed}, http.StatusOK, "team", 2},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			var w *testGateway
			w = start(t, 2, func(n int, rw http.ResponseWriter, r *http.Request) {
				if n > 1 {
					_, _ = io.WriteString(rw, r.Header.Get("T-Team"))
					return
				}
				w.applyConfiguration(t, c.next)
				rw.Header().Set("T-Not-Run", "1")
				rw.WriteHeader(http.StatusServiceUnavailable)
			})
			resp, body, err := w.get(t, context.Background(), "/many/x", nil)
			is.NoErr(err)
			is.Equal(resp.StatusCode, c.status)
			is.Equal(w.runs.Load(), c.runs)
			if c.status == http.StatusOK {
				is.Equal(body, c.team)
			}
		})
	}
}

// A request whose first attempt may have run is not refused as not run, and is not sent
// again once its route says that it must not run twice.
func TestDenialAfterPossibleRunIsUnknown(t *testing.T) {
	changed := routes()
	for i := range changed {
		changed[i].Kind = catalog.KindNonIdempotent
	}
	for _, c := range []struct {
		name   string
		routes []catalog.Route
		key    string
	}{
		{"the key is revoked", routes(), "other"},
		{"the route is no longer idempotent", changed, "key"},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			var w *testGateway
			w = start(t, 2, func(_ int, rw http.ResponseWriter, _ *http.Request) {
				w.applyConfiguration(t, catalog.Content{Version: 2, Routes: c.routes, Teams: []catalog.Team{{Name: "team", Keys: []string{c.key}}}})
				resetConnection(rw)
			})
			resp, _, err := w.get(t, context.Background(), "/many/x", nil)
			is.NoErr(err)
			is.Equal(resp.StatusCode, http.StatusBadGateway)
			is.Equal(resp.Header.Get(headerOutcome), "unknown")
			is.Equal(w.runs.Load(), int32(1))
		})
	}
}

// Connecting to a picked backend server may take as long as the dial timeout. A server that
// starts to leave in the meantime gets nothing.
func TestNoSendToServerThatLeavesAfterPick(t *testing.T) {
	is := is.New(t)
	w := start(t, 1, ok)
	choice, _ := w.gateway.registry.Pick(balance.Demand{Service: "s"}, time.Now())
	defer choice.Release()
	server := choice.Server
	q := &request{g: w.gateway, snapshot: w.gateway.catalog.Current()}
	is.NoErr(q.checkSend(server))
	k := w.gateway.applied().at
	gone := source.Event{Item: source.Item{Key: "backends/" + server.ID, Position: at(k.Revision + 1)}, Removed: true}
	w.gateway.follower.Offer(source.State{Events: []source.Event{gone}, After: k, Position: gone.Position, Changed: gone.Position})
	for until := time.Now().Add(2 * time.Second); q.checkSend(server) == nil && time.Now().Before(until); {
		time.Sleep(time.Millisecond)
	}
	is.Equal(q.checkSend(server), errOutdated)
}
