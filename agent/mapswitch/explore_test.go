package mapswitch

import (
	"fmt"
	"math/rand/v2"
	"runtime"
	"sync/atomic"
	"testing"

	"github.com/matryer/is"
	"github.com/sourcegraph/conc"
	"github.com/sourcegraph/conc/pool"
)

const (
	// schedules is the number of random schedules that one test run explores.
	schedules = 100_000
	// scheduleLength is the number of choices in one schedule.
	scheduleLength = 60
	// faultOneIn is the inverse probability of choosing a fault.
	faultOneIn = 6
)

// randomSchedule runs one schedule and returns a description of the violation, or "".
func randomSchedule(seed uint64, b bugs) string {
	rnd := rand.New(rand.NewPCG(seed, 0))
	w := newWorld(2+rnd.IntN(3), rnd.IntN(2) == 0, b, rnd.IntN)
	for range rnd.IntN(longestPrefix) {
		w.stepWithoutFault()
	}
	for range scheduleLength {
		list := w.actions()
		if rnd.IntN(faultOneIn) == 0 {
			list = w.faults()
		}
		list[rnd.IntN(len(list))]()
		if w.mixed {
			return "ranks used different maps in one step"
		}
	}
	if !w.settle() {
		return fmt.Sprintf("did not become idle: stage %s", w.coords[0].Stage())
	}
	if w.mixed {
		return "ranks used different maps in one step while settling"
	}
	return ""
}

// ExploreSchedules runs schedules on all cores until one violates a property. The
// simulations of both test packages use it.
func ExploreSchedules(n uint64, schedule func(seed uint64) (problem string)) (seed uint64, problem string) {
	var next, badSeed atomic.Uint64
	var bad atomic.Pointer[string]
	var wg conc.WaitGroup
	for range runtime.GOMAXPROCS(0) {
		wg.Go(func() {
			for bad.Load() == nil {
				seed := next.Add(1)
				if seed > n {
					return
				}
				if p := schedule(seed); p != "" && bad.CompareAndSwap(nil, &p) {
					badSeed.Store(seed)
				}
			}
		})
	}
	wg.Wait()
	if p := bad.Load(); p != nil {
		return badSeed.Load(), *p
	}
	return 0, ""
}

func explore(n uint64, b bugs) (seed uint64, problem string) {
	return ExploreSchedules(n, func(seed uint64) string { return randomSchedule(seed, b) })
}

func TestRandomSchedules(t *testing.T) {
	if seed, problem := explore(schedules, bugs{}); problem != "" {
		t.Fatalf("seed %d: %s", seed, problem)
	}
}

func TestInjectedBugsAreFound(t *testing.T) {
	cases := []struct {
		name string
		bugs bugs
	}{
		{"release before all are armed", bugs{releaseBeforeAllArmed: true}},
		{"held steps released by a new coordinator", bugs{releaseOnRecover: true}},
		{"fence skipped", bugs{skipFence: true}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			seed, problem := explore(schedules, c.bugs)
			if problem == "" {
				t.Fatal("not found")
			}
			t.Logf("seed %d: %s", seed, problem)
		})
	}
}

// exhaustiveDepth is the number of choices that are enumerated in full, for a group of 3
// ranks; a run without faults follows.
const (
	exhaustiveDepth = 4
	longestPrefix   = 60
)

// TestAllShortSchedules explores every schedule of 3 ranks whose first choices, faults
// included, are arbitrary, starting from each stage of a switch.
func TestAllShortSchedules(t *testing.T) {
	is := is.New(t)
	var total atomic.Int64
	tasks := pool.New().WithMaxGoroutines(runtime.GOMAXPROCS(0)).WithErrors()
	for prefix := 0; prefix <= longestPrefix; prefix += 3 {
		tasks.Go(func() error {
			n, err := allSchedules(prefix)
			total.Add(n)
			return err
		})
	}
	is.NoErr(tasks.Wait())
	t.Logf("%d schedules", total.Load())
	is.True(total.Load() > 100_000)
}

func allSchedules(prefix int) (n int64, err error) {
	script := make([]int, exhaustiveDepth)
	for {
		sizes, problem := scriptedSchedule(prefix, script)
		if problem != "" {
			return n, fmt.Errorf("prefix %d, choices %v: %s", prefix, script, problem)
		}
		n++
		if !nextScript(script, sizes) {
			return n, nil
		}
	}
}

// scriptedSchedule runs without faults for a prefix, then makes the scripted choices,
// then settles. It returns how many options there were at each choice.
func scriptedSchedule(prefix int, script []int) (sizes []int, problem string) {
	w := newWorld(3, false, bugs{}, func(int) int { return 0 })
	for range prefix {
		w.stepWithoutFault()
	}
	for _, choice := range script {
		list := append(w.actions(), w.faults()...)
		sizes = append(sizes, len(list))
		list[choice]()
		if w.mixed {
			return sizes, "ranks used different maps in one step"
		}
	}
	if !w.settle() {
		return sizes, "did not become idle"
	}
	if w.mixed {
		return sizes, "ranks used different maps in one step while settling"
	}
	return sizes, ""
}

// stepWithoutFault performs the next action of a run without faults.
func (w *world) stepWithoutFault() {
	switch {
	case len(w.orders) > 0:
		w.deliverOrder(0, false)
	case len(w.replies) > 0:
		w.deliverReply(0)
	default:
		w.tick()
		w.advance()
	}
}

// nextScript increments the script as a number whose digits have the sizes as bases.
func nextScript(script, sizes []int) bool {
	for i := len(script) - 1; i >= 0; i-- {
		script[i]++
		if script[i] < sizes[i] {
			return true
		}
		script[i] = 0
	}
	return false
}
