// Command soak runs the real programs as separate processes against stand-ins of the
// users' platform, injects overlapping faults from outside the processes, and checks
// baywall's guarantees against what callers and backend servers observe.
package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"time"

	"baywall.example/core/wait"

	"baywall.example/standin/fleet"
)

const (
	// defaultLength is how long faults are injected for one seed.
	defaultLength = 20 * time.Second
	// recovery is the time without faults at the end of a run. Nearly all requests must be
	// served again in its last part, after settle.
	recovery = 8 * time.Second
)

// options are the command's flags.
type options struct {
	seed       uint64
	seeds      int
	length     time.Duration
	kinds      int           // number of fault kinds to use, 0 = all
	focus      string        // comma-separated words in the names of the kinds in focus
	only       bool          // no other kinds than those in focus
	gap        time.Duration // added to the time between two faults
	size       size
	lists      string  // order of the experts that ranks report: listsAsSent, listsSorted, "" = the seed decides
	unanswered float64 // share of orders to ranks that get no answer
	keep       string  // folder for the logs of failed seeds, "" = temporary
	noSurge    bool    // do not end with a surge
	keepAll    bool    // keep the logs of all seeds
	verbose    bool
}

// size is the number of processes of a world and the request rate.
type size struct {
	gateways, plain, groups, ranks int
	rate                           int // requests a second
}

func main() {
	var o options
	flag.Uint64Var(&o.seed, "seed", uint64(time.Now().UnixNano()), "first seed; it decides every fault")
	flag.IntVar(&o.seeds, "seeds", 1, "number of seeds, one world each")
	flag.IntVar(&o.kinds, "kinds", 0, "how many kinds of faults there are, in the order of the list; 0 for all")
	flag.StringVar(&o.focus, "focus", "", "half of the faults are those whose names contain one of these words, separated by commas")
	flag.BoolVar(&o.only, "only", false, "all faults are of the kinds in focus")
	flag.DurationVar(&o.gap, "gap", 0, "additional time between two faults")
	flag.DurationVar(&o.length, "for", defaultLength, "how long the faults of one seed last")
	flag.IntVar(&o.size.gateways, "gateways", 4, "entry VMs")
	flag.IntVar(&o.size.plain, "plain", 3, "backend servers of the plain service")
	flag.IntVar(&o.size.groups, "groups", 2, "groups of ranks")
	flag.IntVar(&o.size.ranks, "ranks", 3, "ranks of a group")
	flag.IntVar(&o.size.rate, "rate", 60, "requests a second")
	flag.StringVar(&o.lists, "lists", "", "order in which ranks report their experts: "+listsAsSent+" or "+listsSorted+" (default: the seed decides)")
	flag.Float64Var(&o.unanswered, "unanswered", unansweredShare, "share of orders to ranks that get no answer")
	flag.BoolVar(&o.noSurge, "no-surge", false, "do not end with a surge of demand")
	flag.BoolVar(&o.keepAll, "keep-all", false, "keep the logs of all seeds")
	flag.StringVar(&o.keep, "keep", "", "folder for the logs of seeds that fail (default: a temporary one)")
	flag.BoolVar(&o.verbose, "v", false, "print every fault")
	flag.Parse()
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	if !runSeeds(ctx, o) {
		os.Exit(1)
	}
}

// runSeeds runs all seeds and reports whether every guarantee held.
func runSeeds(ctx context.Context, o options) bool {
	binaries, clean, err := build()
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return false
	}
	defer clean()
	failed := 0
	for i := range o.seeds {
		if ctx.Err() != nil {
			break
		}
		r, err := runSeed(ctx, binaries, o, o.seed+uint64(i))
		if err != nil {
			fmt.Fprintf(os.Stderr, "seed %d: %v\n", o.seed+uint64(i), err)
			return false
		}
		fmt.Println(r)
		if len(r.violations) > 0 {
			failed++
		}
	}
	fmt.Printf("%d seeds, %d with a broken promise\n", o.seeds, failed)
	return failed == 0
}

// runSeed runs one world with the faults of a seed and reports what was observed.
func runSeed(ctx context.Context, b fleet.Binaries, o options, seed uint64) (*report, error) {
	w, err := newWorld(b, o, seed)
	if err != nil {
		return nil, err
	}
	defer w.close()
	if err := w.start(ctx); err != nil {
		return nil, fmt.Errorf("%w; logs in %s", err, w.dir)
	}
	r := &report{seed: seed, processes: len(w.gateways) + len(w.agents), ranks: w.rankSettings, switchesExpected: o.stressesSwitches()}
	load := newLoad(w)
	loadCtx, stopLoad := context.WithCancel(ctx)
	load.begin(loadCtx, o.size.rate)
	f := &faults{world: w, load: load, verbose: o.verbose, injected: make(map[string]int)}
	w.faults = f
	watcher := newConfigWatcher(w, f)
	go watcher.run(loadCtx)
	f.injectAll(ctx, o)
	f.heal(ctx)
	healedAt := time.Now()
	if !o.noSurge && (o.kinds == 0 || o.kinds >= surgeKinds) {
		f.inject(ctx, fault{surgeName, true, (*faults).surge}, draw{duration: lastSurge})
		healedAt = f.surges[len(f.surges)-1].to
	}
	wait.Sleep(ctx, time.Until(healedAt.Add(recovery)))
	stopLoad()
	load.wait()
	r.check(w, load, f, watcher, healedAt)
	if len(r.violations) > 0 || o.keepAll {
		r.logs = w.keepLogs(o.keep)
	}
	return r, nil
}
