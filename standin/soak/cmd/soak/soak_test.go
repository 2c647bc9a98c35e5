package main

import (
	"testing"
	"time"

	"baywall.example/platform/standin"
	"baywall.example/standin/fleet"
)

// failedSeeds are seeds that once violated a guarantee, with the cause. They run for as
// long as they did then, with the same size and kinds of faults.
var failedSeeds = []struct {
	name   string
	seed   uint64
	length time.Duration
	size   size
	kinds  int // number of kinds that existed then
	focus  string
}{
	// A gateway that had been paused for 3 s sent its first requests to backend servers that
	// had left during the pause.
	{"first requests after a pause", 70236, 10 * time.Second, size{gateways: 4, plain: 3, groups: 2, ranks: 3, rate: 60}, 17, ""},
	// A backend server's entry was removed 0.5 s after the store had become unavailable for
	// 1.6 s. The server received requests until 1.5 s after the store was available again, when
	// gateways treat a missing entry as removed. By the users' rules the server counts as
	// leaving from when the store is available again.
	{"entry removed while the store is unavailable", 281024, 8 * time.Second, size{gateways: 4, plain: 3, groups: 2, ranks: 3, rate: 60}, 18, ""},
	// The store was restored from an older copy and assigned revisions a second time. Five
	// requests reached a backend server that had left, through all gateways.
	{"a server that left after a restore of the store", 2, 10 * time.Second, size{gateways: 4, plain: 3, groups: 2, ranks: 3, rate: 60}, 19, "older copy,configuration,replaced"},
}

const (
	// lethalSeed has a request that ends three backend servers.
	lethalSeed = 5
	// limitSeed has backend servers that announce rate limits.
	limitSeed = 3
	// evacuationSeed evacuates availability zones and has cold backend servers.
	evacuationSeed = 7
	// backoffSeed has backend servers that ask for a backoff and announce in responses that they
	// leave.
	backoffSeed = 11
	// retrySeed has all requests of a service fail while gateways stop and are killed.
	retrySeed = 13
	// surgeSeed has surges of demand while gateways are killed.
	surgeSeed = 17
	// lethalPartSeed has prompts with a part that ends backend servers, and answers that end
	// with their connection, while gateways are killed.
	lethalPartSeed = 101
	// restartSeed has backend servers that crash under half sent answers and are back at once.
	restartSeed = 60
)

func buildForTest(t *testing.T) fleet.Binaries {
	t.Helper()
	b, clean, err := build()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(clean)
	return b
}

// runTest runs one seed and fails the test if a guarantee is violated.
func runTest(t *testing.T, b fleet.Binaries, seed uint64, o options) *report {
	t.Helper()
	r, err := runSeed(t.Context(), b, o, seed)
	if err != nil {
		t.Fatal(err)
	}
	t.Log(r)
	if len(r.violations) > 0 {
		t.Fail()
	}
	return r
}

// abuseSeed has abusive clients while gateways stop, settings and configurations change and the store
// is away.
const abuseSeed = 69001

// Callers must not notice abusive clients.
func TestShortSoakWithAbusiveClients(t *testing.T) {
	if testing.Short() {
		t.Skip("starts processes")
	}
	o := options{
		length: 8 * time.Second, size: size{gateways: 3, plain: 3, groups: 1, ranks: 2, rate: 30}, keep: t.TempDir(),
		focus: "abusive,told to stop,HUP,configuration,store away", only: true, noSurge: true,
	}
	runTest(t, buildForTest(t), abuseSeed, o)
}

// Runs the real programs as processes for a short time, with the same faults each time.
func TestShortSoakKeepsGuarantees(t *testing.T) {
	if testing.Short() {
		t.Skip("starts processes")
	}
	b := buildForTest(t)
	o := options{length: 6 * time.Second, size: size{gateways: 3, plain: 3, groups: 1, ranks: 2, rate: 30}, keep: t.TempDir()}
	runOne := func(t *testing.T, seed uint64, o options) *report { return runTest(t, b, seed, o) }
	o.focus, o.kinds = "back at once", 29
	runOne(t, restartSeed, o)
	o.focus, o.kinds = "lethal,unframed,killed", 28
	if r := runOne(t, lethalPartSeed, o); r.quarantined == 0 {
		t.Error("no request ended three servers")
	}
	o.focus, o.kinds = "surge,killed", 26
	if r := runOne(t, surgeSeed, o); r.surgeRefused == 0 {
		t.Error("no surge exceeded the capacity")
	}
	o.focus, o.kinds = "failed,told to stop,killed", 25
	runOne(t, retrySeed, o)
	o.focus, o.kinds = "rest asked,answers,crashed", 24
	runOne(t, backoffSeed, o)
	o.focus, o.kinds = "evacuated,replaced,crashed", 21
	runOne(t, evacuationSeed, o)
	o.focus, o.kinds = "limit", 20
	runOne(t, limitSeed, o)
	o.focus, o.kinds = "", 19
	runOne(t, lethalSeed, o)
	o.kinds = 17
	runOne(t, 4, o)
	for _, f := range failedSeeds {
		t.Run(f.name, func(t *testing.T) {
			o.length, o.size, o.kinds, o.focus = f.length, f.size, f.kinds, f.focus
			runOne(t, f.seed, o)
		})
	}
}

// Coordinators, agents and ranks end or stand still in the middle of switches, while ranks leave
// orders unanswered. Each pass of a group must use one map on all its ranks, there must be switches,
// and no rank may be ordered a map that its coordinator did not plan.
func TestRanksUseOneMapWhileCoordinatorsEnd(t *testing.T) {
	if testing.Short() {
		t.Skip("starts processes")
	}
	b := buildForTest(t)
	o := options{
		length: 5 * time.Second, size: size{gateways: 2, plain: 2, groups: 2, ranks: 3, rate: 40}, keep: t.TempDir(),
		kinds: 35, only: true, unanswered: unansweredShare, noSurge: true,
	}
	runOne := func(t *testing.T, seed uint64, o options) {
		if r := runTest(t, b, seed, o); r.wrongMaps != (standin.WrongMaps{}) {
			t.Errorf("ranks were ordered wrong maps: %+v", r.wrongMaps)
		}
	}
	t.Run("all faults", func(t *testing.T) {
		o := o
		o.focus, o.lists = "coordinator,together,in a switch", listsAsSent
		runOne(t, 5001, o)
	})
	t.Run("takeovers with sorted lists", func(t *testing.T) {
		o := o
		o.focus, o.gap, o.lists, o.length = "coordinator killed between switches", 700*time.Millisecond, listsSorted, 8*time.Second
		runOne(t, 7001, o)
	})
}
