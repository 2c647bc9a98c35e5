package gateway

import (
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"baywall.example/core/clock"
	"baywall.example/entry/balance"
	"baywall.example/entry/catalog"
	"baywall.example/entry/upstream"
)

// A backend server's report about itself counts in any of its own answers, to requests,
// probes and orders alike.
func TestNoticesInAnswers(t *testing.T) {
	backoff := func(h http.Header) { h.Set("T-Rest", "60") }
	leave := func(h http.Header) { h.Set("T-Leaving", "1") }
	cases := []struct {
		name   string
		status int
		notRun bool
		says   func(http.Header)
		found  balance.Availability
	}{
		{"backoff, rejected", 503, true, backoff, balance.InBackoff},
		{"backoff, ran", 503, false, backoff, balance.InBackoff},
		{"leaving, answered", 200, false, leave, balance.Leaving},
		{"leaving, rejected", 503, true, leave, balance.Leaving},
		{"leaving, failed", 500, false, leave, balance.Leaving},
		{"nothing", 200, false, func(http.Header) {}, balance.Available},
	}
	for _, c := range cases {
		for _, via := range []string{viaRequest, viaProbe, viaOrder} {
			t.Run(c.name+", "+via, func(t *testing.T) {
				is := is.New(t)
				w := startProbed(t, []catalog.Service{{Name: "s"}}, 1, func(_ int, rw http.ResponseWriter, _ *http.Request) {
					c.says(rw.Header())
					if c.notRun {
						rw.Header().Set("T-Not-Run", "1")
					}
					rw.WriteHeader(c.status)
				})
				choice, _ := w.gateway.registry.Pick(balance.Demand{Service: "s"}, clock.Now())
				choice.Release()
				switch via {
				case viaRequest:
					_, _, err := w.get(t, t.Context(), "/once/x", nil)
					is.NoErr(err)
				case viaProbe:
					_, err := w.gateway.probeServer(t.Context(), choice.Server)
					is.NoErr(err)
				default:
					_ = w.gateway.sendOrder(t.Context(), choice.Server, Order{Target: "/x", Header: http.Header{}}) // refused or not, the notice counts
				}
				choice, found := w.gateway.registry.Pick(balance.Demand{Service: "s"}, clock.Now())
				is.Equal(found, c.found)
				if found == balance.Available {
					choice.Release()
				}
			})
		}
	}
}

// A request whose server requested a backoff or started to leave after it was picked goes
// elsewhere: the check runs once the connection is established.
func TestSendCheckRunsAtSendTime(t *testing.T) {
	cases := []struct {
		name string
		note func(*Gateway, *balance.Server)
		want error
	}{
		{"backoff", func(g *Gateway, s *balance.Server) { g.registry.StartBackoff(s, time.Minute, clock.Now()) }, balance.ErrInBackoff},
		{"leaving", func(g *Gateway, s *balance.Server) { g.registry.RecordDraining(s) }, errOutdated},
		{"nothing", func(*Gateway, *balance.Server) {}, nil},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			w := start(t, 1, ok)
			choice, _ := w.gateway.registry.Pick(balance.Demand{Service: "s"}, clock.Now())
			defer choice.Release()
			c.note(w.gateway, choice.Server)
			answer, err := choice.Server.Pool.Do(t.Context(), &upstream.Request{
				Method: http.MethodGet, Target: "/x", Host: "h", Header: http.Header{},
				Check: func() error { return w.gateway.admitSend(t.Context(), choice.Server, w.gateway.maySend) },
			})
			is.Equal(err, c.want)
			is.Equal(w.runs.Load() > 0, c.want == nil)
			if err == nil {
				answer.Close()
			}
		})
	}
}

// A stream in progress at a server that requests a backoff and leaves runs to its end.
func TestStreamContinuesOnLeavingServerInBackoff(t *testing.T) {
	is := is.New(t)
	began, goOn := make(chan struct{}), make(chan struct{})
	w := start(t, 1, func(_ int, rw http.ResponseWriter, r *http.Request) {
		if !strings.HasPrefix(r.URL.Path, "/stream/") {
			return
		}
		rw.Header().Set("Content-Type", "text/event-stream")
		_, _ = io.WriteString(rw, "id: 1\ndata: a\n\n")
		_ = http.NewResponseController(rw).Flush()
		close(began)
		<-goOn
		_, _ = io.WriteString(rw, "id: 2\ndata: b\n\n")
	})
	go func() {
		<-began
		choice, _ := w.gateway.registry.Pick(balance.Demand{Service: "s"}, clock.Now())
		choice.Release()
		w.gateway.registry.StartBackoff(choice.Server, time.Minute, clock.Now())
		w.gateway.registry.RecordDraining(choice.Server)
		close(goOn)
	}()
	resp, body, err := w.get(t, t.Context(), "/stream/x", nil)
	is.NoErr(err)
	is.Equal(resp.StatusCode, http.StatusOK)
	is.True(strings.Contains(body, "data: b"))
}
