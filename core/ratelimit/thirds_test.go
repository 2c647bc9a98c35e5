package ratelimit

import (
	"fmt"
	"testing"
	"time"
)

// All gateways restart while the fleet is partitioned into three, so no part knows of the
// others: each has a grantor of its own.
var restartInThirds = fault{"all restart, each sees a third", func(f *simFleet) {
	f.mu.Lock()
	for i, g := range f.gateways {
		g.side = i % 3
	}
	gateways := f.gateways
	f.mu.Unlock()
	for _, g := range gateways {
		g.start()
	}
	time.Sleep(6 * time.Second)
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, g := range gateways {
		g.side = 0
	}
}}

func TestFleetKeepsLimitIfPartsDoNotKnowOfEachOther(t *testing.T) {
	for _, n := range []int{9, 30} {
		for _, limit := range []float64{0.25, 1, 20} {
			t.Run(fmt.Sprintf("%d gateways, limit %g", n, limit), func(t *testing.T) {
				t.Parallel()
				s := scenario{gateways: n, limits: []float64{limit, 0, 0}, perSecond: max(40, 8*limit), steady: 4 * time.Second, seed: 1}
				out := s.run(t, restartInThirds)
				t.Logf("at most %d in %v of %g allowed", out.all, window, allowed(limit))
				if float64(out.all) > (1-margin)*allowed(limit) {
					t.Errorf("%d requests of %g", out.all, allowed(limit))
				}
			})
		}
	}
}
