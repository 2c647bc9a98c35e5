package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"sync"
	"time"

	"github.com/google/subcommands"

	"baywall.example/standin/chaos"
	"baywall.example/standin/fleet"
	"baywall.example/standin/load"
)

// faultsCommand sends load under random faults, with one fleet per seed, and counts violated
// guarantees.
type faultsCommand struct {
	site     string
	seeds    int
	first    uint64
	duration time.Duration
	graceful bool
	rate     float64
	keepDir  string
	verbose  bool
}

func (*faultsCommand) Name() string     { return "faults" }
func (*faultsCommand) Synopsis() string { return "send load under random faults and check promises" }

func (*faultsCommand) Usage() string {
	return "faults [-site FILE] [-seeds N] [-first SEED] [-duration 9s] [-graceful] [-rate R] [-v]\n"
}

func (c *faultsCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.site, "site", "examples/sfax.yaml", "site file")
	f.IntVar(&c.seeds, "seeds", 20, "number of seeds")
	f.Uint64Var(&c.first, "first", 1, "first seed")
	f.DurationVar(&c.duration, "duration", 9*time.Second, "length of the load for each seed")
	f.BoolVar(&c.graceful, "graceful", false, "only faults under which nothing may be cut")
	f.Float64Var(&c.rate, "rate", 1, "factor on the site's load")
	f.StringVar(&c.keepDir, "dir", "", "folder that keeps settings and logs; default: a temporary one")
	f.BoolVar(&c.verbose, "v", false, "print each fault")
}

func (c *faultsCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	return withBinaries(c.keepDir, func(dir string, b fleet.Binaries) error { return c.run(ctx, dir, b) })
}

func (c *faultsCommand) run(ctx context.Context, dir string, binaries fleet.Binaries) error {
	site, err := fleet.LoadSite(c.site)
	if err != nil {
		return err
	}
	site.AddressTTL = time.Second
	site.DrainLinger = 1500 * time.Millisecond
	if c.graceful { // a graceful restart waits until tickets have expired
		site.TicketTTL = 1500 * time.Millisecond
		site.AgentLinger = 2 * time.Second
	}
	sum := &load.Report{Reasons: make(map[string]int)}
	mixed := 0
	for i := range c.seeds {
		seed := c.first + uint64(i)
		report, steps, err := c.runSeed(ctx, site, seed, dir, binaries)
		if err != nil {
			return fmt.Errorf("seed %d: %w", seed, err)
		}
		mixed += steps
		fmt.Printf("seed %d: %s\n", seed, describe(report))
		sum.Add(report)
	}
	fmt.Printf("all %d seeds: %s, steps with mixed maps %d\n", c.seeds, describe(sum), mixed)
	for reason, n := range sum.Reasons {
		fmt.Printf("  %d x %s\n", n, reason)
	}
	bad := sum.Violations() + mixed
	if c.graceful {
		bad += sum.Cut + sum.Unknown
	}
	if bad > 0 {
		return errViolation
	}
	return nil
}

func (c *faultsCommand) runSeed(ctx context.Context, site fleet.Site, seed uint64, dir string, binaries fleet.Binaries) (*load.Report, int, error) {
	seedDir := fmt.Sprintf("%s/seed-%d", dir, seed)
	if err := os.MkdirAll(seedDir, 0o755); err != nil {
		return nil, 0, err
	}
	f, err := fleet.Start(site, fleet.Options{Binaries: binaries, Dir: seedDir})
	if err != nil {
		return nil, 0, err
	}
	defer f.Stop()
	kinds := chaos.Abrupt()
	if c.graceful {
		kinds = chaos.Graceful()
	}
	log := func(string, ...any) {}
	if c.verbose {
		log = func(format string, args ...any) { fmt.Printf("  fault: "+format+"\n", args...) }
	}
	var wg sync.WaitGroup
	wg.Add(1)
	go func() {
		defer wg.Done()
		chaos.New(f, seed, kinds, log).Run(c.duration - time.Second)
	}()
	workloads := Mixed(site)
	for i := range workloads {
		workloads[i].Rate *= c.rate
	}
	caller := load.NewCaller(f.CallerIP(), f.Entries())
	report := load.Run(ctx, caller, f.Ledger, load.Options{Workloads: workloads, Duration: c.duration, Seed: seed})
	wg.Wait()
	mixed := 0
	for _, g := range f.Groups {
		mixed += g.Stats().Mixed
	}
	return report, mixed, nil
}

func describe(r *load.Report) string {
	return fmt.Sprintf("requests %d, answered %d, not-run %d, unknown %d (%.2f%%), cut %d, resumed %d, doubled %d, crossed %d, false not-run %d, without run %d",
		r.Requests, r.Answered, r.NotRun, r.Unknown, 100*float64(r.Unknown)/float64(max(1, r.Requests)), r.Cut, r.Resumed, r.Duplicated, r.WrongAnswer, r.FalseNotRun, r.WithoutRun)
}
