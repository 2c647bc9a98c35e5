package gateway

import (
	"context"
	"errors"
	"net/http"
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"

	"baywall.example/core/contract"
	"baywall.example/core/source"
	"baywall.example/entry/admission"
	"baywall.example/entry/balance"
	"baywall.example/entry/catalog"
	"baywall.example/entry/retry"
)

// Callers choose their deadlines freely: a deadline neither tells whether a request is a
// first attempt nor decides how urgent it is.
func TestCallerDeadlineDoesNotChangeUrgency(t *testing.T) {
	stream := &catalog.Route{Name: "r", Kind: catalog.KindStream, Objective: 400 * time.Millisecond, Timeout: 8 * time.Second, GapTarget: 120 * time.Millisecond}
	plain := &catalog.Route{Name: "p", Objective: 300 * time.Millisecond, Timeout: 4 * time.Second}
	for _, route := range []*catalog.Route{stream, plain} {
		for part := 0.85; part <= 1; part += 0.01 {
			q := request{route: route, state: &serviceState{}, began: time.Unix(0, 0)}
			limit := time.Duration(part * float64(route.Timeout))
			q.deadline = q.began.Add(limit)
			if got := q.admissionRequest(q.began).Urgency(); got != admission.OnTime {
				t.Fatalf("%s: a request with a deadline of %s has urgency %s", route.Name, limit, got)
			}
			if q.demand(q.began).Late {
				t.Fatalf("%s: a request with a deadline of %s is treated as late", route.Name, limit)
			}
		}
	}
}

// Without a server a request is refused at once, as its caller can retry. One that resumes
// a stream waits for a server to be listed until its caller gives up.
func TestOnlyInterruptedRequestsWaitForAServer(t *testing.T) {
	is := is.New(t)
	w := start(t, 0, ok)
	began := time.Now()
	resp, _, err := w.get(t, t.Context(), "/many/x", nil)
	is.NoErr(err)
	is.Equal(resp.StatusCode, 503)
	is.True(time.Since(began) < 500*time.Millisecond)
	began = time.Now()
	resp, _, err = w.get(t, t.Context(), "/stream/x", func(h http.Header) { h.Set("Last-Event-Id", "7") })
	is.NoErr(err)
	is.Equal(resp.StatusCode, 503)
	is.True(time.Since(began) > time.Second)
	is.True(time.Since(began) < 2*time.Second) // its caller gives up then, not at its deadline
}

// While a service serves nobody, a request whose caller can retry is refused in time for that:
// before half of the time until its deadline has passed.
func TestRequestIsRefusedInTimeForARetryWhileServiceServesNobody(t *testing.T) {
	is := is.New(t)
	const deadline = 4 * time.Second
	q := waitingInOutage(deadline)
	now := q.began
	for q.mayKeepWaiting(true, balance.Unavailable, q.admissionRequest(now), now) && now.Before(q.deadline) {
		now = now.Add(waitPollInterval)
	}
	is.True(now.Sub(q.began) < deadline/2)
	is.True(now.Sub(q.began) > deadline/4)
	is.True(q.mayKeepWaiting(true, balance.AllBusy, q.admissionRequest(now), now)) // servers serve: it waits for a slot
	q.state.serviceDown(now)
	is.True(!q.mayKeepWaiting(true, balance.AllBusy, q.admissionRequest(now), now)) // interrupted requests go first
	q.sequence.Abandon()
	is.True(q.mayKeepWaiting(true, balance.Unavailable, q.admissionRequest(now), now)) // no definite outcome yet
}

// The same through the gateway: the only server refuses connections.
func TestRequestForAServiceWhoseServersAreGoneIsRefusedInTime(t *testing.T) {
	is := is.New(t)
	const deadline = 5 * time.Second
	w := &testGateway{}
	w.run(t, fixedStore{
		item(t, "catalog", catalog.Content{Version: 1, Routes: routes(), Teams: []catalog.Team{{Name: "team", Keys: []string{"key"}}}}),
		item(t, "backends/b", balance.Info{ID: "b", Service: "s", Address: freeAddress(t), Slots: 40}),
	})
	began := time.Now()
	resp, _, err := w.get(t, t.Context(), "/many/x", func(h http.Header) { h.Set("T-Deadline", strconv.Itoa(int(deadline.Milliseconds()))) })
	is.NoErr(err)
	is.Equal(resp.StatusCode, 503)
	is.Equal(resp.Header.Get(headerOutcome), "not-run")
	t.Logf("refused after %v", time.Since(began))
	is.True(time.Since(began) < deadline/2)
}

// waitingInOutage returns a request that waits for a service.
func waitingInOutage(deadline time.Duration) *request {
	began := time.Unix(1_700_000_000, 0)
	return &request{
		route: &catalog.Route{Name: "r", Kind: catalog.KindIdempotent, Objective: 200 * time.Millisecond},
		state: &serviceState{}, began: began, deadline: began.Add(deadline), sequence: retry.Sequence{Idempotent: true},
	}
}

// delayedStore answers every List call after a delay.
type delayedStore struct {
	fixedStore
	after time.Duration
}

func (s delayedStore) List(ctx context.Context, prefix string, f source.Freshness) ([]source.Item, source.Position, error) {
	select {
	case <-time.After(s.after):
		return s.fixedStore.List(ctx, prefix, f)
	case <-ctx.Done():
		return nil, source.Position{}, ctx.Err()
	}
}

// A request that arrives at a process which has just started waits briefly for the
// configuration.
func TestStartingGatewayHoldsRequestsBriefly(t *testing.T) {
	is := is.New(t)
	items := fixedStore{item(t, "catalog", catalog.Content{Version: 1, Routes: routes(), Teams: []catalog.Team{{Name: "team", Keys: []string{"key"}}}})}
	w := &testGateway{}
	w.run(t, delayedStore{fixedStore: items, after: 20 * time.Millisecond})
	resp, _, err := w.get(t, t.Context(), "/none/x", nil)
	is.NoErr(err)
	is.Equal(resp.StatusCode, 404)
}

// A caller that disconnects while its request waits is not answered.
func TestWaitingRequestEndsWhenCallerLeaves(t *testing.T) {
	is := is.New(t)
	w := start(t, 0, ok)
	ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
	defer cancel()
	_, _, err := w.get(t, ctx, "/stream/x", func(h http.Header) { h.Set("Last-Event-Id", "7") })
	is.True(errors.Is(err, context.DeadlineExceeded))
	for until := time.Now().Add(time.Second); w.gateway.inFlight.Load() > 0 && time.Now().Before(until); {
		time.Sleep(time.Millisecond)
	}
	is.Equal(w.gateway.inFlight.Load(), int64(0))
	is.Equal(w.gateway.inst.callerLeft.Get(), uint64(1))
}

// A process that still has no configuration after its wait cannot reach the store: callers
// with one attempt left must not retry during the outage.
func TestRetryAfterOutlastsOutage(t *testing.T) {
	is := is.New(t)
	q := request{}
	after := q.retryAfter(contract.Refusal{Reason: contract.ReasonStarting})
	is.True(after >= outageRetryAfter && after <= outageRetryAfter*6/5)
}

// Only a stream that has not started, of a caller that can still be served on time, waits
// for shorter passes.
func TestStreamHoldThreshold(t *testing.T) {
	stream := &catalog.Route{Name: "r", Kind: catalog.KindStream, Objective: 500 * time.Millisecond, GapTarget: 120 * time.Millisecond}
	began := time.Unix(0, 0)
	cases := []struct {
		name string
		q    request
		at   time.Duration
		want time.Duration
	}{
		{"first attempt", request{route: stream}, 0, 90 * time.Millisecond},
		{"first event due soon", request{route: stream}, 200 * time.Millisecond, 0},
		{"interrupted stream", request{route: stream, interrupted: true}, 0, 0},
		{"no stream", request{route: &catalog.Route{Objective: 500 * time.Millisecond}}, 0, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			c.q.began = began
			is.New(t).Equal(c.q.holdThreshold(began.Add(c.at)), c.want)
		})
	}
}

// A request that can still be on time does not queue behind requests that cannot.
func TestMaxQueueWait(t *testing.T) {
	stream := &catalog.Route{Kind: catalog.KindStream, Objective: 500 * time.Millisecond}
	began := time.Unix(0, 0)
	cases := []struct {
		name string
		q    request
		at   time.Duration
		want time.Duration
	}{
		{"just arrived", request{route: stream}, 0, 350 * time.Millisecond},
		{"held back before", request{route: stream}, 200 * time.Millisecond, 150 * time.Millisecond},
		{"too late", request{route: stream}, 400 * time.Millisecond, freeSlotWait},
		{"interrupted stream", request{route: stream, interrupted: true}, 0, freeSlotWait},
		{"no objective", request{route: &catalog.Route{Kind: catalog.KindStream}}, time.Second, 0},
		{"no stream", request{route: &catalog.Route{Objective: 200 * time.Millisecond}}, 0, 100 * time.Millisecond},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			c.q.began, c.q.deadline = began, began.Add(8*time.Second)
			c.q.state = &serviceState{first: 150 * time.Millisecond}
			is.New(t).Equal(c.q.maxQueueWait(c.q.admissionRequest(began.Add(c.at))), c.want)
		})
	}
}

func TestTimeliness(t *testing.T) {
	stream := &catalog.Route{Kind: catalog.KindStream, Objective: 500 * time.Millisecond, GapTarget: 120 * time.Millisecond}
	cases := []struct {
		name       string
		first, gap time.Duration
		want       string
	}{
		{"on time", 400 * time.Millisecond, 110 * time.Millisecond, "on-time"},
		{"first event late", 600 * time.Millisecond, 300 * time.Millisecond, "late-first"},
		{"a gap too long", 400 * time.Millisecond, 130 * time.Millisecond, "late-gap"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			q := request{route: stream, firstAnswer: c.first, longestGap: c.gap}
			is.New(t).Equal(q.timeliness(), c.want)
		})
	}
}
