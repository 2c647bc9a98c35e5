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

// fault disturbs a fleet that has kept a limit for some seconds.
type fault struct {
	name string
	play func(f *simFleet)
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
	{"cut in two, nobody excused", func(f *simFleet) {
		f.cut(5*time.Second, f.gateways[:len(f.gateways)/2], false)
	}},
	{"datagrams are lost", func(f *simFleet) {
		f.mu.Lock()
		defer f.mu.Unlock()
		for _, g := range f.gateways {
			g.lossy = 0.4
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
			f.names(f.servers[0], 0)
			time.Sleep(1200 * time.Millisecond)
			f.names(f.servers[0], limit)
			time.Sleep(1500 * time.Millisecond)
		}
	}},
}

// outcome is what one run showed.
type outcome struct {
	counted int     // most requests at the first server in a window, from gateways not disturbed
	all     int     // from all gateways
	asks    float64 // for each permit, of all gateways
	used    float64 // part of what the first server's limit allows, in the time without a fault
}

// scene is a fleet before servers of which the first named a limit some time ago.
type scene struct {
	gateways  int
	way       way
	limits    []float64 // that they name in the end, 0 = none
	perSecond float64
	calm      time.Duration // after the naming, before the fault
	seed      uint64
}

const (
	startUp   = 2500 * time.Millisecond
	faultTime = 5 * time.Second
)

func (s scene) play(t *testing.T, fl fault) (out outcome) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		f := newFleet(ctx, s.gateways, s.way, make([]float64, len(s.limits)), s.perSecond, s.seed)
		time.Sleep(startUp)
		for i, limit := range s.limits {
			f.names(f.servers[i], limit)
		}
		time.Sleep(s.calm)
		first := f.servers[0]
		from := time.Now().Add(f.contact - s.calm)
		out.used = float64(f.between(first, from, time.Now())) / (s.limits[0] * (s.calm - f.contact).Seconds())
		fl.play(f)
		time.Sleep(faultTime)
		out.counted, out.all = f.worst(first)
		out.asks = f.asks()
		cancel()
		time.Sleep(time.Second) // asks under way end
	})
	return out
}

// margin is the part of what is allowed that the worst sum leaves.
const margin = 0.1

// The sum over all gateways keeps a limit in each fleet and under each fault, as seen from
// those that are not disturbed themselves; a gateway that is cut off counts in the last one.
func TestTheSumOverAllGatewaysKeepsALimit(t *testing.T) {
	limits := []float64{0.25, 1, 20}
	for _, n := range []int{3, 8, 30, 149} {
		for i, fl := range faults {
			for j, limit := range limits {
				if n == 149 && i%len(limits) != j {
					continue // seconds of work for each
				}
				t.Run(fmt.Sprintf("%d gateways, limit %g, %s", n, limit, fl.name), func(t *testing.T) {
					t.Parallel()
					s := scene{
						gateways: n, limits: []float64{limit, 0, 0}, perSecond: max(40, 8*limit), calm: 4 * time.Second,
						seed: uint64(100*n + 10*i + j),
					}
					out := s.play(t, fl)
					t.Logf("at most %d in %v, %d with those that were disturbed, %g allowed", out.counted, window, out.all, allowed(limit))
					if float64(out.counted) > (1-margin)*allowed(limit) {
						t.Errorf("%d requests of %g", out.counted, allowed(limit))
					}
				})
			}
		}
	}
}

// extremes are the worst that a way showed over several scenes.
type extremes struct {
	mu       sync.Mutex
	exceeded float64 // most requests in a window, in parts of what is allowed
	used     float64 // least part of a limit that was used
}

func (e *extremes) note(out outcome, limit float64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.exceeded = max(e.exceeded, float64(out.counted)/allowed(limit))
	e.used = min(e.used, out.used)
}

// Why permits are asked for: with a sender for each server, or even parts, a large fleet uses
// little of what servers take, or exceeds it. Which scene shows that is chance.
func TestWaysToKeepALimitCompared(t *testing.T) {
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
	worst := make(map[way]*extremes)
	t.Run("scenes", func(t *testing.T) {
		for _, w := range []way{byPermit, oneSender, evenParts} {
			worst[w] = &extremes{used: 1}
			for _, n := range []int{3, 8, large} {
				for _, c := range scenes {
					t.Run(fmt.Sprintf("%d gateways, %s, %s", n, c.name, w), func(t *testing.T) {
						t.Parallel()
						s := scene{gateways: n, way: w, limits: c.limits, perSecond: c.perSecond, calm: 11 * time.Second, seed: 1}
						out := s.play(t, faults[0])
						t.Logf("at most %d in %v of %g, %.2f of the limit used, %.1f asks a permit",
							out.counted, window, allowed(c.limits[0]), out.used, out.asks)
						if n == large || w == byPermit {
							worst[w].note(out, c.limits[0])
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
	is.True(worst[evenParts].exceeded > 1)
}
