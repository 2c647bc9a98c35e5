package main

import (
	"testing"
	"time"
)

// failedSeeds are seeds that ever broke a promise, with the cause. They are run
// again for as long as they ran then.
var failedSeeds = []struct {
	name   string
	seed   uint64
	length time.Duration
	size   size
	kinds  int // that there were
	focus  string
}{
	// A gateway that had been paused for 3 s sent its first requests to backend servers that
	// had left meanwhile.
	{"first requests after a pause", 70236, 10 * time.Second, size{gateways: 4, plain: 3, groups: 2, ranks: 3, rate: 60}, 17, ""},
	// A backend server's entry was removed 0.5 s after the store had gone away for 1.6 s, and
	// the server got requests until 1.5 s after its return, when gateways take an entry that
	// is missing for gone. By the rules its leaving counts from the store's return.
	{"entry removed while the store is away", 281024, 8 * time.Second, size{gateways: 4, plain: 3, groups: 2, ranks: 3, rate: 60}, 18, ""},
	// The store came back from an older copy, and gave revisions out again: five requests
	// reached a backend server that had left, through all gateways.
	{"a server that left after a return of the store", 2, 10 * time.Second, size{gateways: 4, plain: 3, groups: 2, ranks: 3, rate: 60}, 19, "older copy,configuration,replaced"},
}

// lethalSeed has a request that ends three backend servers, limitSeed backend servers that name
// limits.
const (
	lethalSeed = 5
	limitSeed  = 3
	// evacuationSeed evacuates availability zones, and has backend servers that are cold.
	evacuationSeed = 7
	// restSeed has backend servers that ask for rest and say in answers that they leave.
	restSeed = 11
)

// A short run of the real programs as processes, the same faults each time.
func TestAShortSoakKeepsItsPromises(t *testing.T) {
	if testing.Short() {
		t.Skip("starts processes")
	}
	b, clean, err := build()
	if err != nil {
		t.Fatal(err)
	}
	defer clean()
	o := options{length: 6 * time.Second, size: size{gateways: 3, plain: 3, groups: 1, ranks: 2, rate: 30}, keep: t.TempDir()}
	runOne := func(t *testing.T, seed uint64, o options) {
		r, err := runSeed(t.Context(), b, o, seed)
		if err != nil {
			t.Fatal(err)
		}
		t.Log(r)
		if len(r.broken) > 0 {
			t.Fail()
		}
	}
	o.focus = "rest asked,answers,crashed"
	runOne(t, restSeed, o)
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
