package main

import (
	"context"
	"flag"
	"fmt"
	"slices"
	"time"

	"github.com/google/subcommands"

	"baywall.example/core/resource"
	"baywall.example/core/vm"
	"baywall.example/standin/fleet"
	"baywall.example/standin/load"
)

// recoveryCommand measures how long after the start of a fault callers still get failures or
// slow answers.
type recoveryCommand struct {
	seeds int
}

func (*recoveryCommand) Name() string     { return "recovery" }
func (*recoveryCommand) Synopsis() string { return "measure the time from a fault to full service" }
func (*recoveryCommand) Usage() string    { return "recovery [-seeds 5]\n" }

func (c *recoveryCommand) SetFlags(f *flag.FlagSet) {
	f.IntVar(&c.seeds, "seeds", 5, "repetitions of each fault")
}

// recoveryFault is a fault that is injected and later reverted.
type recoveryFault struct {
	name   string
	inject func(f *fleet.Fleet, victim int) (revert func())
}

func recoveryFaults() []recoveryFault {
	process := func(role string) func(*fleet.Fleet, int) *fleet.Process {
		return func(f *fleet.Fleet, i int) *fleet.Process {
			return f.Process(vm.ID(fmt.Sprintf("%s-%d", role, 1+i%8)))
		}
	}
	agent, entry := process("plain"), process("entry")
	kill := func(of func(*fleet.Fleet, int) *fleet.Process) func(*fleet.Fleet, int) func() {
		return func(f *fleet.Fleet, i int) func() {
			p := of(f, i)
			p.Kill()
			return func() { _ = p.Restart() }
		}
	}
	pause := func(of func(*fleet.Fleet, int) *fleet.Process) func(*fleet.Fleet, int) func() {
		return func(f *fleet.Fleet, i int) func() {
			p := of(f, i)
			p.Pause()
			return p.Continue
		}
	}
	return []recoveryFault{
		{"agent killed", kill(agent)},
		{"agent paused", pause(agent)},
		{"entry VM killed", kill(entry)},
		{"entry VM paused", pause(entry)},
		{"zone cut off", cutZone},
		{"platform down", func(f *fleet.Fleet, _ int) func() {
			f.Platform.SetDown(true)
			return func() { f.Platform.SetDown(false) }
		}},
	}
}

// cutZone partitions one availability zone from the others; callers still reach all entry
// VMs.
func cutZone(f *fleet.Fleet, i int) func() {
	zone := f.Site.Zones[i%len(f.Site.Zones)]
	var in, out []string
	for _, v := range f.VMs() {
		if string(v.Zone) == zone {
			in = append(in, f.IP(v.ID))
		} else {
			out = append(out, f.IP(v.ID))
		}
	}
	f.Network.Partition(in, out, true)
	return func() { f.Network.Partition(in, out, false) }
}

const (
	// faultAt and revertAt are the times in a run at which a fault starts and ends.
	faultAt  = 2 * time.Second
	revertAt = 6 * time.Second
	runTime  = 9 * time.Second
	// slowCall is the latency above which a caller counts as disturbed.
	slowCall = 200 * time.Millisecond
)

func (c *recoveryCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	return withBinaries("", func(dir string, b fleet.Binaries) error { return c.run(ctx, dir, b) })
}

func (c *recoveryCommand) run(ctx context.Context, dir string, binaries fleet.Binaries) error {
	site := plainSite("127.66", 8, 16)
	site.AddressTTL = time.Second
	site.Services[0].Spec = resource.Service{EntrySubset: 4}
	f, err := fleet.Start(site, fleet.Options{Binaries: binaries, Dir: dir})
	if err != nil {
		return err
	}
	defer f.Stop()
	for _, fault := range recoveryFaults() {
		c.measure(ctx, f, fault)
	}
	return nil
}

func (c *recoveryCommand) measure(ctx context.Context, f *fleet.Fleet, fault recoveryFault) {
	var disturbed []time.Duration
	requests, failed, slow := 0, 0, 0
	for seed := range c.seeds {
		began := time.Now()
		go func() {
			time.Sleep(faultAt)
			revert := fault.inject(f, seed)
			time.Sleep(revertAt - faultAt)
			revert()
		}()
		report := load.Run(ctx, load.NewCaller(f.CallerIP(), f.Entries()), f.Ledger, load.Options{
			Seed: uint64(1000 + seed), Duration: runTime,
			Workloads: []load.Workload{{Service: "plain", Teams: []string{"t"}, Rate: 200}},
		})
		last := time.Duration(0)
		for _, r := range report.Results {
			requests++
			bad := r.Outcome != load.Answered
			if bad {
				failed++
			}
			if !bad && r.Total > slowCall {
				slow++
			}
			if bad || r.Total > slowCall {
				last = max(last, r.Returned.Sub(began)-faultAt)
			}
		}
		disturbed = append(disturbed, last)
	}
	slices.Sort(disturbed)
	q := func(p float64) float64 { return disturbed[int(p*float64(len(disturbed)-1))].Seconds() }
	fmt.Printf("%-16s requests %d, failed %d, slower than %s %d; callers disturbed until p50 %.2f s, most %.2f s after the fault (which ends after %s)\n",
		fault.name, requests, failed, slowCall, slow, q(0.5), q(1), revertAt-faultAt)
}
