package gateway

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"baywall.example/core/clock"
	"baywall.example/core/cluster"
	"baywall.example/entry/balance"
)

// A gateway forwards a hold requested by an agent, but only to backend servers that are
// listed, as anybody may send a datagram. A backend server in backoff gets none.
func TestGatewayHoldsStepForAgent(t *testing.T) {
	is := is.New(t)
	agent, err := cluster.NewNode(freeAddress(t), nil, 0, func() cluster.Self { return cluster.Self{} }, zerolog.Nop())
	is.NoErr(err)
	held := make(chan string, 4)
	w := start(t, 1, func(_ int, rw http.ResponseWriter, r *http.Request) {
		if strings.HasPrefix(r.URL.Path, "/hold/") {
			held <- r.URL.Path
		}
		if r.URL.Path == "/hold/1/8" {
			rw.Header().Set("T-Rest", "60")
			rw.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	unlisted := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		t.Errorf("%s reached a server that is not listed", r.URL.Path)
	}))
	defer unlisted.Close()
	choice, found := w.gateway.registry.Pick(balance.Demand{Service: "s"}, clock.Now())
	is.Equal(found, balance.Available)
	server := choice.Server
	choice.Release()
	to := []string{w.gateway.settings.Listen.Peers}
	agent.RequestHold(to, cluster.Hold{Engine: strings.TrimPrefix(unlisted.URL, "http://"), Epoch: 1, Step: 6})
	for _, step := range []string{"/hold/1/7", "/hold/1/8"} {
		agent.RequestHold(to, cluster.Hold{Engine: server.Address, Epoch: 1, Step: uint64(step[len(step)-1] - '0')})
		select {
		case got := <-held:
			is.Equal(got, step)
		case <-time.After(2 * time.Second):
			t.Fatal("the hold order did not arrive")
		}
	}
	for until := time.Now().Add(2 * time.Second); !server.HasBackoff(clock.Now()) && time.Now().Before(until); {
		time.Sleep(time.Millisecond)
	}
	is.True(server.HasBackoff(clock.Now())) // requested by the answer to the order
	agent.RequestHold(to, cluster.Hold{Engine: server.Address, Epoch: 1, Step: 9})
	select {
	case got := <-held:
		t.Fatalf("%s reached a server in backoff", got)
	case <-time.After(300 * time.Millisecond):
	}
}
