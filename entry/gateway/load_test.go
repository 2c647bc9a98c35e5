package gateway

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"
)

// These tests guard against gateways that do not decide which requests get the slots of a
// service that is short of them. The loads and the bounds are those of the table of baseline
// measurements in docs/design/demand.md, where the gateways kept between 0.37 and 0.58 of the
// requests on time, whatever their priority and team. The surge is shorter than in the table.

const (
	// callerTimeout is how long callers wait, from their first attempt.
	callerTimeout = 1500 * time.Millisecond
	// retryAfterDivisor: callers honor Retry-After up to this part of their time left.
	retryAfterDivisor = 3
	// settleTime is the time before the counted requests, in which the gateways observe
	// service times and demand.
	settleTime = time.Second
	// leastPerSecond bounds the requests on time per second in an overload. The servers can
	// serve 240.
	leastPerSecond = 200
)

// flow is a sequence of requests of a team and a priority with random arrivals.
type flow struct {
	team      string
	priority  int
	perSecond float64
	surge     bool    // it starts only after the settle time
	single    bool    // all of its requests go through the first gateway
	bound     float64 // least part of the counted requests on time, 0 = none
}

// flowResult counts the requests of a flow that arrived after the settle time.
type flowResult struct{ sent, onTime, late, refused, other int }

// loadCall is one request: when it arrives, and what its caller draws.
type loadCall struct {
	flow  int
	at    time.Duration // since the start of the load
	draws [2]float64    // of the gateways of both attempts, uniform in [0, 1)
}

// arrivals returns the requests of all flows until the end, in the order of their arrival.
func arrivals(flows []flow, end time.Duration, seed uint64) (calls []loadCall) {
	for i, w := range flows {
		random := rand.New(rand.NewPCG(seed, uint64(i)))
		at := time.Duration(0)
		if w.surge {
			at = settleTime
		}
		gap := func() time.Duration { return time.Duration(random.ExpFloat64() / w.perSecond * float64(time.Second)) }
		for at += gap(); at < end; at += gap() {
			calls = append(calls, loadCall{flow: i, at: at, draws: [2]float64{random.Float64(), random.Float64()}})
		}
	}
	slices.SortFunc(calls, func(a, b loadCall) int { return cmp.Compare(a.at, b.at) })
	return calls
}

// loadEvent is called at a time since the start of a load.
type loadEvent struct {
	at   time.Duration
	call func()
}

// play sends the requests of the flows until the end and waits for their results.
func (f *loadFleet) play(end time.Duration, seed uint64, events ...loadEvent) {
	began := time.Now()
	for _, c := range arrivals(f.flows, end, seed) {
		for len(events) > 0 && events[0].at <= c.at {
			events[0].call()
			events = events[1:]
		}
		time.Sleep(time.Until(began.Add(c.at)))
		f.wg.Go(func() { f.call(c) })
	}
	f.wg.Wait()
}

// call sends one request, once more if its refusal says when, and counts its result.
func (f *loadFleet) call(c loadCall) {
	ctx, cancel := context.WithTimeout(context.Background(), callerTimeout)
	defer cancel()
	began := time.Now()
	w, status, after := f.attempt(ctx, f.pooled, c, 0, began)
	if status != http.StatusOK && after > 0 {
		time.Sleep(min(after, (callerTimeout-time.Since(began))/retryAfterDivisor))
		w, status, _ = f.attempt(ctx, f.fresh, c, 1, began)
	}
	took := time.Since(began)
	f.mu.Lock()
	defer f.mu.Unlock()
	result := &f.results[c.flow]
	switch {
	case !slices.Contains(f.live, w):
		f.abandoned++
		return
	case c.at < settleTime:
		return
	case status == http.StatusOK && took <= loadObjective:
		result.onTime++
	case status == http.StatusOK:
		result.late++
	case status == http.StatusServiceUnavailable:
		result.refused++
	default:
		result.other++
	}
	result.sent++
}

// attempt sends the request and returns its gateway, the status, 0 if there was no answer, and
// the time after which the caller may retry.
func (f *loadFleet) attempt(ctx context.Context, client *http.Client, c loadCall, number int, began time.Time) (*testGateway, int, time.Duration) {
	flow, draw := f.flows[c.flow], c.draws[number]
	if flow.single {
		draw = 0
	}
	f.mu.Lock()
	w := f.live[int(draw*float64(len(f.live)))]
	f.mu.Unlock()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, fmt.Sprintf("%s/p%d/x", w.url, flow.priority), strings.NewReader(fmt.Sprintf("%s-%v", flow.team, c.at)))
	if err != nil {
		f.t.Error(err)
		return w, 0, 0
	}
	req.Host = "h"
	req.Header.Set("T-Id", fmt.Sprintf("%s-%v-%d", flow.team, c.at, number))
	req.Header.Set("T-Key", flow.team)
	req.Header.Set("T-Deadline", strconv.FormatInt((callerTimeout-time.Since(began)).Milliseconds(), 10))
	resp, err := client.Do(req)
	if err != nil {
		return w, 0, 0
	}
	defer resp.Body.Close()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return w, 0, 0
	}
	seconds, _ := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64) // 0 if the field is absent
	return w, resp.StatusCode, time.Duration(seconds * float64(time.Second))
}

// check logs the results and checks them against the bounds of the flows and the bound of the
// requests on time per second.
func (f *loadFleet) check(length time.Duration, perSecond float64) {
	f.t.Helper()
	onTime := 0
	for i, result := range f.results {
		onTime += result.onTime
		f.checkAtLeast(float64(result.onTime)/float64(result.sent), f.flows[i].bound,
			fmt.Sprintf("part of %q, priority %d, on time, %+v", f.flows[i].team, f.flows[i].priority, result))
	}
	f.checkAtLeast(float64(onTime)/length.Seconds(), perSecond, "on time per second")
}

func (f *loadFleet) checkAtLeast(value, bound float64, what string) {
	f.t.Helper()
	f.t.Logf("%.3f, bound %.2f: %s", value, bound, what)
	if value < bound {
		f.t.Errorf("%.3f is below %.2f: %s", value, bound, what)
	}
}

// smallTeams returns the flows of eight teams with ten requests per second each, and of a
// large team.
func smallTeams(large flow) []flow {
	flows := []flow{large}
	for i := range 8 {
		flows = append(flows, flow{team: fmt.Sprint("small-", i), perSecond: 10, bound: 0.93})
	}
	return flows
}

var (
	equalServers = []time.Duration{usualTime, usualTime, usualTime}
	surgeFlows   = []flow{{team: "urgent", perSecond: 120, bound: 0.95}, {team: "other", priority: 2, perSecond: 360, surge: true}}
)

func TestScarceSlots(t *testing.T) {
	for _, c := range []struct {
		name         string
		serviceTimes []time.Duration
		length       time.Duration // of the counted part
		perSecond    float64       // bound
		flows        []flow
	}{
		{"surge-of-low-priority", equalServers, 3 * time.Second, leastPerSecond, surgeFlows},
		{"much-of-high-priority", equalServers, 3 * time.Second, leastPerSecond, []flow{
			{team: "urgent", perSecond: 190, bound: 0.95}, {team: "other", priority: 2, perSecond: 120},
		}},
		{"large-team", equalServers, 5 * time.Second, leastPerSecond, smallTeams(flow{team: "large", perSecond: 400})},
		{"large-team-at-one-gateway", equalServers, 5 * time.Second, leastPerSecond, smallTeams(flow{team: "large", perSecond: 400, single: true})},
		{"overload", equalServers, 3 * time.Second, leastPerSecond, []flow{{team: "all", perSecond: 480}}},
		{"slow-server", []time.Duration{usualTime, usualTime, 4 * usualTime}, 3 * time.Second, 0, []flow{{team: "all", perSecond: 140, bound: 0.95}}},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := startLoadFleet(t, c.serviceTimes, c.flows)
			f.play(settleTime+c.length, 1)
			f.check(c.length, c.perSecond)
		})
	}
}

// A gateway that stops while requests wait at it must not hold slots back for them at the other
// gateways, and one that starts in an overload must know what waits at the others.
func TestScarceSlotsWhileGatewaysStopAndStart(t *testing.T) {
	const length = 3 * time.Second
	f := startLoadFleet(t, equalServers, surgeFlows)
	f.play(settleTime+length, 2, loadEvent{settleTime + length/3, f.kill}, loadEvent{settleTime + length/2, f.addLate})
	t.Logf("%d requests at the gateway that stopped", f.abandoned)
	if f.abandoned == 0 {
		t.Error("no request was at the gateway that stopped")
	}
	f.check(length, 0)
}
