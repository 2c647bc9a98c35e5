package retry

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// demands are the retries that callers want.
var demands = []scene{
	{"calm, one of 63 servers is lost", func(f *simFleet) {
		f.breakStreams(f.traffic / 63)
		f.failing = 1.0 / 63
		f.run(3 * time.Second)
	}},
	{"a group of servers is lost", func(f *simFleet) { f.breakStreams(f.traffic) }},
	{"a tenth of the requests fails", func(f *simFleet) {
		f.failing = 0.1
		f.run(12 * time.Second)
	}},
	{"a third fails", func(f *simFleet) {
		f.failing = 0.3
		f.run(12 * time.Second)
	}},
	{"a third fails, active gateways restart", func(f *simFleet) {
		f.failing = 0.3
		for range 4 {
			for _, g := range f.gateways {
				if g.active {
					g.restart(2 * time.Second)
				}
			}
			f.run(3 * time.Second)
		}
	}},
}

// breakStreams makes the active gateways retry n requests at once.
func (f *simFleet) breakStreams(n float64) {
	f.requests, f.retries = append(f.requests, 0), append(f.retries, 0)
	for done := 0; done < int(n); {
		if g := f.gateways[f.rnd.IntN(len(f.gateways))]; g.active {
			g.retry()
			done++
		}
	}
}

// Ways to divide the slack, by the worst sum over all scenes and by what callers are refused
// though the limit has room. RETRY_FLEETS lists the numbers of gateways, default 28.
func TestWaysToDivideTheSlackCompared(t *testing.T) {
	holds := map[way]bool{byGrantors: true, byKnownMembers: false, byElectedMember: false, earnedOnly: true}
	for w, holds := range holds {
		t.Run(w.String(), func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			for _, n := range fleetSizes(t) {
				worst := worstSum(n, w)
				t.Logf("%d gateways: worst sum %.2f of the limit", n, worst)
				is.Equal(worst <= mostUsed, holds)
				for _, s := range demands {
					f := newSimFleet(n, 256, usersLimit, w, 2)
					f.run(settled)
					f.messages = 0
					s.play(f)
					t.Logf("%d gateways, %s: %d of %d refused though there was room; %d messages", n, s.name, f.refused, f.wanted, f.messages)
				}
			}
		})
	}
}

// worstSum returns the largest part of the limit that a fleet uses in any scene.
func worstSum(n int, w way) float64 {
	worst := 0.0
	for _, s := range scenes {
		f := newSimFleet(n, 20, usersLimit, w, 2)
		f.run(settled)
		f.greedy = true
		s.play(f)
		f.run(usersLimit.Window / 2)
		worst = max(worst, f.most())
	}
	return worst
}

// fleetSizes returns the numbers of gateways to simulate.
func fleetSizes(t *testing.T) []int {
	list := os.Getenv("RETRY_FLEETS")
	if list == "" {
		return []int{28}
	}
	var out []int
	for _, s := range strings.Split(list, ",") {
		n, err := strconv.Atoi(s)
		if err != nil {
			t.Fatal(fmt.Errorf("RETRY_FLEETS: %w", err))
		}
		out = append(out, n)
	}
	return out
}
