package ratelimit

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// fault disturbs a fleet that has enforced a limit for some seconds.
type fault struct {
	name string
	run  func(f *simFleet)
}

var faults = []fault{
	{"none", func(*simFleet) {}},
	{"grantor freezes", func(f *simFleet) {
		for range 3 {
			f.grantor(f.servers[0]).freeze(1500 * time.Millisecond)
			time.Sleep(time.Second)
		}
	}},
	{"grantor dies", func(f *simFleet) {
		for range 3 {
			f.grantor(f.servers[0]).restart(400 * time.Millisecond)
			time.Sleep(1500 * time.Millisecond)
		}
	}},
	{"grantor is cut off", func(f *simFleet) {
		f.cut(4*time.Second, []*simGateway{f.grantor(f.servers[0])}, true)
	}},
	{"partition in two, no gateway excluded", func(f *simFleet) {
		f.cut(5*time.Second, f.gateways[:len(f.gateways)/2], false)
	}},
	{"datagrams are lost", func(f *simFleet) {
		f.mu.Lock()
		defer f.mu.Unlock()
		for _, g := range f.gateways {
			g.lossRate = 0.4
		}
	}},
	{"all restart in turn", func(f *simFleet) {
		for _, g := range f.gateways[:min(8, len(f.gateways))] {
			g.restart(300 * time.Millisecond)
			time.Sleep(400 * time.Millisecond)
		}
	}},
	{"gateways join", func(f *simFleet) {
		for range 5 {
			f.add(true)
			time.Sleep(700 * time.Millisecond)
		}
	}},
	{"the limit goes up and down", func(f *simFleet) {
		limit := f.servers[0].limit
		for range 3 {
			f.setLimit(f.servers[0], 0)
			time.Sleep(1200 * time.Millisecond)
			f.setLimit(f.servers[0], limit)
			time.Sleep(1500 * time.Millisecond)
		}
	}},
}

// outcome is the result of one run.
type outcome struct {
	// counted is the most requests at the first server in a window, from gateways that
	// were not disturbed.
	counted           int
	all               int     // the same from all gateways
	requestsPerPermit float64 // permit requests for each permit, of all gateways
	// used is the fraction of the first server's limit that was used in the time without
	// a fault.
	used float64
}

// scenario is a fleet and its servers, which report limits after a while.
type scenario struct {
	gateways  int
	strategy  strategy
	limits    []float64 // reported in the end, 0 = none
	perSecond float64
	steady    time.Duration // between the first report and the fault
	seed      uint64
}

const (
	startUp   = 2500 * time.Millisecond
	faultTime = 5 * time.Second
)

func (s scenario) run(t *testing.T, fl fault) (out outcome) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		f := newFleet(ctx, s.gateways, s.strategy, make([]float64, len(s.limits)), s.perSecond, s.seed)
		time.Sleep(startUp)
		for i, limit := range s.limits {
			f.setLimit(f.servers[i], limit)
		}
		time.Sleep(s.steady)
		first := f.servers[0]
		from := time.Now().Add(f.convergence - s.steady)
		out.used = float64(f.between(first, from, time.Now())) / (s.limits[0] * (s.steady - f.convergence).Seconds())
		fl.run(f)
		time.Sleep(faultTime)
		out.counted, out.all = f.worst(first)
		out.requestsPerPermit = f.requestsPerPermit()
		cancel()
		time.Sleep(time.Second) // pending permit requests end
	})
	return out
}

// margin is the fraction of the allowed requests that must stay unused in the worst
// window.
const margin = 0.1

// The requests of all gateways together must stay within a limit for each fleet size and
// fault. Requests of a gateway that is disturbed are excluded, except in the partition of
// the fleet in two.
func TestFleetKeepsLimitUnderFaults(t *testing.T) {
	limits := []float64{0.25, 1, 20}
	for _, n := range []int{3, 8, 30, 149} {
		for i, fl := range faults {
			for j, limit := range limits {
				if n == 149 && i%len(limits) != j {
					continue // each takes seconds
				}
				t.Run(fmt.Sprintf("%d gateways, limit %g, %s", n, limit, fl.name), func(t *testing.T) {
					t.Parallel()
					s := scenario{
						gateways: n, limits: []float64{limit, 0, 0}, perSecond: max(40, 8*limit), steady: 4 * time.Second,
						seed: uint64(100*n + 10*i + j),
					}
					out := s.run(t, fl)
					t.Logf("at most %d in %v, %d with those that were disturbed, %g allowed", out.counted, window, out.all, allowed(limit))
					if float64(out.counted) > (1-margin)*allowed(limit) {
						t.Errorf("%d requests of %g", out.counted, allowed(limit))
					}
				})
			}
		}
	}
}

// extremes are the worst results of a strategy over several scenarios.
type extremes struct {
	mu       sync.Mutex
	exceeded float64 // most requests in a window, as a fraction of the allowed number
	used     float64 // least fraction of a limit that was used
}

func (e *extremes) record(out outcome, limit float64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.exceeded = max(e.exceeded, float64(out.counted)/allowed(limit))
	e.used = min(e.used, out.used)
}

// Shows why gateways request permits. With one sender for each server, or with even
// shares, a large fleet uses little of what servers accept, or exceeds it. Which scenario
// shows that depends on the random seed.
func TestLimitStrategiesCompared(t *testing.T) {
	scenes := []struct {
		name      string
		limits    []float64
		perSecond float64
	}{
		{"one of three", []float64{1, 0, 0}, 40},
		{"far below one a second", []float64{0.25, 0, 0}, 40},
		{"all, many a second", []float64{20, 20}, 60},
		{"all, few a second", []float64{1, 1, 1}, 10},
	}
	const large = 30
	worst := make(map[strategy]*extremes)
	t.Run("scenes", func(t *testing.T) {
		for _, w := range []strategy{byPermit, oneSender, evenShares} {
			worst[w] = &extremes{used: 1}
			for _, n := range []int{3, 8, large} {
				for _, c := range scenes {
					t.Run(fmt.Sprintf("%d gateways, %s, %s", n, c.name, w), func(t *testing.T) {
						t.Parallel()
						s := scenario{gateways: n, strategy: w, limits: c.limits, perSecond: c.perSecond, steady: 11 * time.Second, seed: 1}
						out := s.run(t, faults[0])
						t.Logf("at most %d in %v of %g, %.2f of the limit used, %.1f requests for a permit",
							out.counted, window, allowed(c.limits[0]), out.used, out.requestsPerPermit)
						if n == large || w == byPermit {
							worst[w].record(out, c.limits[0])
						}
					})
				}
			}
		}
	})
	is := is.New(t)
	is.True(worst[byPermit].exceeded <= 1-margin)
	is.True(worst[byPermit].used >= 0.6)
	is.True(worst[oneSender].used < 0.6)
	is.True(worst[evenShares].exceeded > 1)
}
