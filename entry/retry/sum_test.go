package retry

import (
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"
)

// mostUsed is the part of the limit that the retries of all gateways together may use in any
// window.
const mostUsed = 0.8

// usersLimit is the limit of a deployment with 28 gateways.
var usersLimit = Limit{Ratio: 0.2, Slack: 220, Window: 10 * time.Second}

// scene is what happens to a simulated fleet.
type scene struct {
	name string
	play func(f *simFleet)
}

func restartAll(f *simFleet, gateways []*simGateway, after time.Duration) {
	for _, g := range gateways {
		g.restart(after)
	}
}

// partition divides the fleet into n sides for a time.
func partition(f *simFleet, n int, d time.Duration) {
	for i, g := range f.gateways {
		g.side = i % n
	}
	f.run(d)
	for _, g := range f.gateways {
		g.side = 0
	}
}

var scenes = []scene{
	{"calm", func(f *simFleet) {}},
	{"all restart at once", func(f *simFleet) { restartAll(f, f.gateways, time.Second) }},
	{"all restart three times", func(f *simFleet) {
		for range 3 {
			restartAll(f, f.gateways, time.Second/2)
			f.run(1500 * time.Millisecond)
		}
	}},
	{"half restart and see only themselves", func(f *simFleet) {
		for i, g := range f.gateways[:len(f.gateways)/2] {
			g.side = i + 1
			g.restart(time.Second / 2)
		}
		f.run(5500 * time.Millisecond)
		for _, g := range f.gateways {
			g.side = 0
		}
	}},
	{"all restart, each sees a third", func(f *simFleet) {
		restartAll(f, f.gateways, time.Second/2)
		partition(f, 3, 5500*time.Millisecond)
	}},
	{"a long partition into thirds, all restart in it", func(f *simFleet) {
		restartAll(f, f.gateways, time.Second/2)
		partition(f, 3, 30*time.Second)
	}},
	{"six gateways a second restart in turn, twice", func(f *simFleet) {
		for range 2 {
			for i := 0; i < len(f.gateways); i += 6 {
				restartAll(f, f.gateways[i:min(i+6, len(f.gateways))], 2500*time.Millisecond)
				f.run(time.Second)
			}
		}
	}},
	{"the active gateways restart every three seconds", func(f *simFleet) {
		for range 5 {
			for _, g := range f.gateways {
				if g.active {
					g.restart(2 * time.Second)
				}
			}
			f.run(3 * time.Second)
		}
	}},
	{"more requests make more gateways active", func(f *simFleet) {
		before := f.traffic
		f.traffic *= 4
		f.run(6 * time.Second)
		f.traffic = before
	}},
	{"half freeze for four seconds", func(f *simFleet) {
		for i, g := range f.gateways {
			if i%2 == 0 {
				g.frozenUntil = f.now.Add(4 * time.Second)
			}
		}
	}},
	{"datagrams are lost while a third restarts", func(f *simFleet) {
		f.loss = 0.4
		restartAll(f, f.gateways[:len(f.gateways)/3], time.Second)
		f.run(10 * time.Second)
		f.loss = 0
	}},
}

// Gateways restart, stand by, freeze and are cut off from each other, so they know neither
// how many others there are nor what a process before them used: their retries of a service
// still stay within the limit together.
func TestRetriesOfTheFleetStayWithinTheLimit(t *testing.T) {
	for _, traffic := range []float64{20, 256} {
		for _, s := range scenes {
			t.Run(fmt.Sprintf("%s, %v requests a second", s.name, traffic), func(t *testing.T) {
				t.Parallel()
				is := is.New(t)
				f := newSimFleet(28, traffic, usersLimit, byGrantors, 1)
				f.run(settled)
				f.greedy = true
				s.play(f)
				f.run(usersLimit.Window)
				most := f.most()
				t.Logf("%.2f of the limit", most)
				is.True(most <= mostUsed)
			})
		}
	}
}

// Whatever happens to a fleet, its retries stay within the limit. RETRY_SEEDS is the number
// of scenes to draw, default 16.
func TestRetriesStayWithinTheLimitInDrawnScenes(t *testing.T) {
	for seed := range uint64(scenesToDraw(t)) {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			rnd := rand.New(rand.NewPCG(seed, 11))
			limit := Limit{Ratio: 0.4 * rnd.Float64(), Slack: 400 * rnd.Float64(), Window: 10 * time.Second}
			f := newSimFleet(3+rnd.IntN(28), 400*rnd.Float64(), limit, byGrantors, seed)
			f.run(time.Duration(rnd.IntN(int(settled))))
			for range 10 {
				f.greedy = rnd.IntN(3) > 0
				f.disturb(rnd)
				f.run(time.Duration(rnd.IntN(int(5 * time.Second))))
			}
			is.True(f.most() <= mostUsed)
		})
	}
}

// disturb lets something happen to the fleet.
func (f *simFleet) disturb(rnd *rand.Rand) {
	var some []*simGateway
	share := rnd.Float64()
	for _, g := range f.gateways {
		if rnd.Float64() < share {
			some = append(some, g)
		}
	}
	lasts := time.Duration(rnd.IntN(int(6 * time.Second)))
	switch rnd.IntN(7) {
	case 0:
		restartAll(f, some, lasts)
	case 1:
		restartAll(f, f.gateways, lasts/10)
	case 2: // the grantors
		restartAll(f, f.gateways[:3], lasts/4)
	case 3:
		for _, g := range some {
			g.frozenUntil = f.now.Add(lasts)
		}
	case 4:
		partition(f, 2+rnd.IntN(3), 2*lasts)
	case 5:
		f.loss = 0.5 * rnd.Float64()
	case 6:
		f.traffic = 400 * rnd.Float64()
	}
}

// scenesToDraw returns the number of scenes to draw.
func scenesToDraw(t *testing.T) int {
	n := os.Getenv("RETRY_SEEDS")
	if n == "" {
		return 16
	}
	out, err := strconv.Atoi(n)
	if err != nil {
		t.Fatal(fmt.Errorf("RETRY_SEEDS: %w", err))
	}
	return out
}
