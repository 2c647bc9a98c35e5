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

// What a backend server says of itself counts in any answer that is its own, whatever was asked.
func TestInWhichAnswersANoticeCounts(t *testing.T) {
	rest := func(h http.Header) { h.Set("T-Rest", "60") }
	leave := func(h http.Header) { h.Set("T-Leaving", "1") }
	cases := []struct {
		name   string
		status int
		notRun bool
		says   func(http.Header)
		found  balance.Availability
	}{
		{"rest, turned away", 503, true, rest, balance.Resting},
		{"rest, ran", 503, false, rest, balance.Resting},
		{"leaving, answered", 200, false, leave, balance.Leaving},
		{"leaving, turned away", 503, true, leave, balance.Leaving},
		{"leaving, failed", 500, false, leave, balance.Leaving},
		{"nothing", 200, false, func(http.Header) {}, balance.Available},
	}
	for _, c := range cases {
		for _, asked := range []string{askedRequest, askedProbe, askedOrder} {
			t.Run(c.name+", "+asked, func(t *testing.T) {
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
				switch asked {
				case askedRequest:
					_, _, err := w.get(t, t.Context(), "/once/x", nil)
					is.NoErr(err)
				case askedProbe:
					_, err := w.gateway.takesRequests(t.Context(), choice.Server)
					is.NoErr(err)
				default:
					_ = w.gateway.order(t.Context(), choice.Server, Order{Target: "/x", Header: http.Header{}}) // refused or not
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

// A request that was meant for a server when it asked for rest, or said that it leaves, goes
// elsewhere: the gate is asked when the connection stands.
func TestTheGateIsAskedAtTheMomentOfSending(t *testing.T) {
	cases := []struct {
		name string
		note func(*Gateway, *balance.Server)
		want error
	}{
		{"rest", func(g *Gateway, s *balance.Server) { g.registry.Rested(s, time.Minute, clock.Now()) }, balance.ErrResting},
		{"leaving", func(g *Gateway, s *balance.Server) { g.registry.SaysLeaving(s) }, errOutdated},
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
				Check: func() error { return w.gateway.pass(t.Context(), choice.Server, w.gateway.maySend) },
			})
			is.Equal(err, c.want)
			is.Equal(w.runs.Load() > 0, c.want == nil)
			if err == nil {
				answer.Close()
			}
		})
	}
}

// A stream that is under way at a server which asks for rest and leaves goes on to its end.
func TestAStreamGoesOnAtAServerThatLeavesAndRests(t *testing.T) {
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
		w.gateway.registry.Rested(choice.Server, time.Minute, clock.Now())
		w.gateway.registry.SaysLeaving(choice.Server)
		close(goOn)
	}()
	resp, body, err := w.get(t, t.Context(), "/stream/x", nil)
	is.NoErr(err)
	is.Equal(resp.StatusCode, http.StatusOK)
	is.True(strings.Contains(body, "data: b"))
}
