package gateway

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"baywall.example/core/clock"
	"baywall.example/core/wire"
	"baywall.example/entry/cost"
)

// fairGateway starts a gateway with fair shares, in front of one backend server.
func fairGateway(t *testing.T, on bool, answer http.HandlerFunc) *testGateway {
	t.Helper()
	b := startBackends(t, 1, answer)
	w := &testGateway{}
	w.launch(t, b.store, func(s *Settings) {
		s.Scheduling = SchedulingSettings{Queue: on, FairShare: on, TeamWeights: map[string]float64{"team": 2}}
	})
	for until := time.Now().Add(2 * time.Second); !w.gateway.Ready() && time.Now().Before(until); {
		time.Sleep(time.Millisecond)
	}
	return w
}

// send sends requests of the team with token counts and a deadline in ms, and returns the
// status of the last.
func (w *testGateway) send(t *testing.T, n int, deadline string) int {
	t.Helper()
	status := 0
	for range n {
		resp, _, err := w.get(t, context.Background(), "/once/x", func(h http.Header) {
			h.Set("T-Tokens", "812,64")
			h.Set("T-Deadline", deadline)
		})
		if err != nil {
			t.Fatal(err)
		}
		status = resp.StatusCode
	}
	return status
}

// teamRequest is a request of the team for which standing is asked.
func (w *testGateway) teamRequest() *request {
	return &request{g: w.gateway, service: "s", team: "team"}
}

// waitAnywhere makes requests of the service wait, or not. It fails the test if the gateway
// asks under the lock of the accounts: heartbeats are built under the lock of the node, which
// the number of slots needs too.
func (w *testGateway) waitAnywhere(t *testing.T, waiting bool) {
	f := w.gateway.fairShares
	unlocked := func() {
		if !f.mu.TryLock() {
			t.Error("called under the lock of the accounts")
			return
		}
		f.mu.Unlock()
	}
	slots := f.slots
	f.slots = func(service string, now time.Time) int { unlocked(); return slots(service, now) }
	f.waiting = func(string, time.Time) bool { unlocked(); return waiting }
	f.maintain(clock.Now().Add(standingsInterval))
}

// What a team uses must be recorded, reported while requests wait, and compared with the
// reports of others.
func TestTeamUseIsReported(t *testing.T) {
	is := is.New(t)
	tokens := make(chan string, 10)
	w := fairGateway(t, true, func(_ http.ResponseWriter, r *http.Request) {
		tokens <- r.Header.Get("T-Tokens")
		time.Sleep(50 * time.Millisecond)
	})
	is.Equal(w.send(t, 5, "3000"), http.StatusOK)
	is.Equal(<-tokens, "812,64") // passed through
	now := clock.Now()
	is.Equal(len(w.gateway.teamUse(now)), 0) // nothing waits
	is.True(!w.teamRequest().standing(now).Over)

	w.gateway.fairShares.mu.Lock()
	learned := w.gateway.fairShares.costs.Estimate("once", cost.Tokens{Prompt: 812, Output: 64}, time.Hour)
	w.gateway.fairShares.mu.Unlock()
	is.True(learned >= 45*time.Millisecond && learned < time.Second)

	w.waitAnywhere(t, true)
	report := w.gateway.teamUse(now)
	is.Equal(len(report), 1)
	is.Equal(report[0].GetTeam(), uint32(teamKey("team")))
	is.True(report[0].GetUse() >= 100 && report[0].GetUse() < 2000) // 5 x 50 ms in about a second

	// Another gateway reports unmet demand of the same team, and a little of another.
	service := report[0].GetService()
	w.gateway.receiveTeamUse("vm2", []*wire.TeamUse{
		{Service: service, Team: report[0].GetTeam(), Use: 3000, Demand: 9000}, {Service: service, Team: 1, Use: 500, Demand: 1000},
	})
	later := clock.Now().Add(2 * standingsInterval)
	w.gateway.fairShares.maintain(later)
	is.True(w.teamRequest().standing(later).Over)
	other := &request{g: w.gateway, service: "s", team: "other"}
	is.True(!other.standing(later).Over)
	later = later.Add(3 * time.Second)
	w.gateway.fairShares.maintain(later)
	is.True(!w.teamRequest().standing(later).Over) // the report has expired
}

// A request that a server refused uses no slot, but its team needs one.
func TestRefusedRequestIsDemandOnly(t *testing.T) {
	is := is.New(t)
	w := fairGateway(t, true, rejectAll)
	is.Equal(w.send(t, 3, "200"), http.StatusServiceUnavailable)
	w.waitAnywhere(t, true)
	report := w.gateway.teamUse(clock.Now())
	is.Equal(len(report), 1)
	is.True(report[0].GetUse() < 20)
	is.True(report[0].GetDemand() >= 100)
}

// With the switch off, reports of gateways that have it on must have no effect.
func TestFairSharesOff(t *testing.T) {
	is := is.New(t)
	w := fairGateway(t, false, func(http.ResponseWriter, *http.Request) {})
	is.Equal(w.send(t, 1, "3000"), http.StatusOK)
	w.gateway.receiveTeamUse("vm2", []*wire.TeamUse{{Service: serviceKey("s"), Team: 1, Use: 500, Demand: 1000}})
	is.Equal(w.gateway.teamUse(clock.Now()), nil)
	is.True(!w.teamRequest().standing(clock.Now()).Over)
}
