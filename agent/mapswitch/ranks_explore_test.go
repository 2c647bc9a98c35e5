package mapswitch_test

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"baywall.example/agent/mapswitch"
)

const (
	// rankSchedules is the number of random schedules that one test run explores.
	rankSchedules = 100_000
	// rankScheduleLength is the number of choices in one schedule.
	rankScheduleLength = 80
	// rankFaultOneIn is the inverse probability of choosing a fault.
	rankFaultOneIn = 6
	// longestRankPrefix bounds the number of fault-free actions before the first fault.
	longestRankPrefix = 60
)

// rankSchedule runs one schedule and returns a description of the violation, or "".
func rankSchedule(seed uint64, b rankBugs, allow conditions, trace func(string, ...any)) string {
	rnd := rand.New(rand.NewPCG(seed, 0))
	w := newRankWorld(2+rnd.IntN(3), b, allow, rnd.IntN)
	w.trace = trace
	for range rnd.IntN(longestRankPrefix) {
		w.stepWithoutFault()
	}
	for range rankScheduleLength {
		w.act()
		if w.mixed {
			return "ranks used different maps in one step"
		}
	}
	w.note("faults end")
	w.trace = nil
	if !w.settle() {
		return fmt.Sprintf("did not become idle: stage %s", w.coords[0].Stage())
	}
	if w.mixed {
		return "ranks used different maps in one step while settling"
	}
	return ""
}

// stepWithoutFault performs the next action of a run without faults.
func (w *rankWorld) stepWithoutFault() {
	switch {
	case len(w.orders) > 0:
		w.deliverOrder(0, false)
	case len(w.replies) > 0:
		w.deliverReply(0)
	default:
		for _, r := range w.ranks {
			if r.copying.version != 0 {
				r.copied()
			}
		}
		w.tick()
		w.advance()
	}
}

func exploreRanks(n uint64, b rankBugs, allow conditions) (seed uint64, problem string) {
	return mapswitch.ExploreSchedules(n, func(seed uint64) string { return rankSchedule(seed, b, allow, nil) })
}

// A run without faults switches maps. Otherwise the schedules would not test any switch.
func TestRunWithoutFaultsSwitchesMaps(t *testing.T) {
	w := newRankWorld(4, rankBugs{}, conditions{}, func(int) int { return 0 })
	for range 400 {
		w.stepWithoutFault()
	}
	if w.plans != rankPlans || w.ranks[0].inUse.expert != rankPlans || !w.noneHeld() {
		t.Fatalf("after %d plans rank 0 uses %+v", w.plans, w.ranks[0].inUse)
	}
}

func TestRandomSchedulesOfUnfencedRanks(t *testing.T) {
	if seed, problem := exploreRanks(rankSchedules, rankBugs{}, conditions{}); problem != "" {
		t.Fatalf("seed %d: %s", seed, problem)
	}
}

// everything allows all conditions at once.
var everything = conditions{slowCopies: true, equalStarts: true, clocksApart: true, idle: true, lateOrders: true, restarts: true, twoHolds: true}

// Each condition runs alone, so that a failure names the one that breaks the rule, and together
// with those that break it only in combination.
func TestRandomSchedulesUnderFurtherConditions(t *testing.T) {
	cases := []struct {
		name      string
		schedules uint64
		allow     conditions
	}{
		{"slow copies", rankSchedules / 4, conditions{slowCopies: true}},
		{"equal starts", rankSchedules / 4, conditions{equalStarts: true}},
		{"clocks apart", rankSchedules / 4, conditions{clocksApart: true}},
		{"idle group", rankSchedules / 4, conditions{idle: true}},
		{"late orders", rankSchedules / 4, conditions{lateOrders: true}},
		{"restarts of all agents", rankSchedules / 4, conditions{restarts: true}},
		{"two holds", rankSchedules, conditions{twoHolds: true}},
		{"slow copies with clocks apart and restarts", rankSchedules, conditions{slowCopies: true, clocksApart: true, restarts: true}},
		{"late orders and two holds in an idle group", rankSchedules, conditions{idle: true, lateOrders: true, twoHolds: true}},
		{"everything", rankSchedules, everything},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			if seed, problem := exploreRanks(c.schedules, rankBugs{}, c.allow); problem != "" {
				rankSchedule(seed, rankBugs{}, c.allow, t.Logf)
				t.Fatalf("seed %d: %s", seed, problem)
			}
		})
	}
}

func TestInjectedBugsOfUnfencedRanksAreFound(t *testing.T) {
	cases := []struct {
		name string
		bugs rankBugs
	}{
		{"orders without an answer count as done", rankBugs{lostIsDone: true}},
		{"fence skipped", rankBugs{skipFence: true}},
		{"release before all are armed", rankBugs{releaseUnarmed: true}},
		{"commit before any rank holds the step", rankBugs{commitUnheld: true}},
		{"held steps released by a new coordinator", rankBugs{releaseOnRecover: true}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			seed, problem := exploreRanks(rankSchedules, c.bugs, conditions{})
			if problem == "" {
				t.Fatal("not found")
			}
			t.Logf("seed %d: %s", seed, problem)
		})
	}
}
