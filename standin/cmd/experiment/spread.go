package main

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/google/subcommands"

	"baywall.example/core/resource"
	"baywall.example/core/vm"
	"baywall.example/standin/fleet"
	"baywall.example/standin/load"
)

// spreadCommand measures how long changes of the configuration and of the list of VMs take to
// be in force in every process, and how many platform reads they cause.
type spreadCommand struct {
	changes int
	idle    time.Duration
}

func (*spreadCommand) Name() string { return "spread" }
func (*spreadCommand) Synopsis() string {
	return "measure how fast changes are in force, and platform reads"
}

func (*spreadCommand) Usage() string {
	return "spread [-changes N] [-idle 10s]\n"
}

func (c *spreadCommand) SetFlags(f *flag.FlagSet) {
	f.IntVar(&c.changes, "changes", 60, "number of changes at each size")
	f.DurationVar(&c.idle, "idle", 10*time.Second, "time without changes in which platform reads are counted")
}

func (c *spreadCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	return withBinaries("", func(dir string, b fleet.Binaries) error { return c.run(ctx, dir, b) })
}

func (c *spreadCommand) run(ctx context.Context, dir string, binaries fleet.Binaries) error {
	for i, size := range []struct{ entries, agents int }{{8, 19}, {16, 38}, {32, 76}} {
		site := plainSite(fmt.Sprintf("127.%d", 35+i), size.entries, size.agents)
		if err := c.runSize(ctx, site, dir, binaries); err != nil {
			return err
		}
	}
	return nil
}

// plainSite returns a site with one plain service in three availability zones.
func plainSite(network string, entries, agents int) fleet.Site {
	return fleet.Site{
		Name: "spread", Network: network, Zones: []string{"a", "b", "c"}, ZoneDelay: 1500 * time.Microsecond,
		EntryVMs: entries, AgentLinger: time.Second, TicketTTL: time.Second,
		Services: []fleet.ServiceSite{{Name: "plain", Runners: agents, Spec: resource.Service{EntrySubset: 4}}},
		Teams:    map[string]resource.Team{"t": {Concurrency: 1000}},
	}
}

func (c *spreadCommand) runSize(ctx context.Context, site fleet.Site, dir string, binaries fleet.Binaries) error {
	f, err := fleet.Start(site, fleet.Options{Binaries: binaries, Dir: dir})
	if err != nil {
		return err
	}
	defer f.Stop()
	time.Sleep(2 * time.Second)
	calls, _ := f.Platform.Calls()
	time.Sleep(c.idle)
	after, limited := f.Platform.Calls()
	idleRate := float64(after-calls) / c.idle.Seconds()
	var entries, all []time.Duration
	for i := range c.changes {
		published := time.Now()
		revision := f.Platform.Put(resource.KindTeam, "t", resource.Team{Concurrency: 1000 + i})
		e, a := awaitEverywhere(f, revision, published)
		entries = append(entries, e)
		all = append(all, a)
	}
	perChange, _ := f.Platform.Calls()
	leaving, before := c.publishLeaving(ctx, f)
	slices.Sort(entries)
	slices.Sort(all)
	q := func(d []time.Duration, p float64) float64 { return ms(d[int(p*float64(len(d)-1))]) }
	fmt.Printf("%d entry VMs, %d agents: in force on every process p50 %.0f ms, p99 %.0f ms (entry VMs p99 %.0f ms); platform reads idle %.2f/s, per change %.1f, over the cap %d; last new work on %d leaving backend servers at most %.0f ms after they were published (%d requests before)\n",
		site.EntryVMs, site.Services[0].Runners, q(all, 0.5), q(all, 0.99), q(entries, 0.99), idleRate, float64(perChange-after)/float64(c.changes), limited, leavingServers, ms(leaving), before)
	return nil
}

// processRevision reads a process's configuration revision from its metrics.
func processRevision(address, program string) uint64 {
	resp, err := http.Get("http://" + address + "/debug/vars")
	if err != nil {
		return 0
	}
	defer resp.Body.Close()
	var vars map[string]map[string]json.RawMessage
	if json.NewDecoder(resp.Body).Decode(&vars) != nil {
		return 0
	}
	var revision uint64
	_ = json.Unmarshal(vars[program]["config_revision"], &revision)
	return revision
}

// awaitEverywhere waits until every process has the revision. It returns the times after
// which all entry VMs, and all processes, had it.
func awaitEverywhere(f *fleet.Fleet, revision uint64, since time.Time) (entries, all time.Duration) {
	var mu sync.Mutex
	var wg sync.WaitGroup
	for _, v := range f.VMs() {
		wg.Add(1)
		go func() {
			defer wg.Done()
			address, program := f.DebugAddress(v.ID), "agent"
			if v.Role == vm.RoleEntry {
				program = "entry"
			}
			for processRevision(address, program) < revision {
				time.Sleep(2 * time.Millisecond)
			}
			took := time.Since(since)
			mu.Lock()
			defer mu.Unlock()
			all = max(all, took)
			if v.Role == vm.RoleEntry {
				entries = max(entries, took)
			}
		}()
	}
	wg.Wait()
	return entries, all
}

const (
	leavingServers = 5
	leaveGap       = time.Second
	leaveRate      = 1500 // requests a second
)

// publishLeaving publishes some backend servers as leaving, one after another, under
// load. It returns the longest time from the publication to the last new request at a leaving
// backend server, and the number of requests that these backend servers got before.
func (c *spreadCommand) publishLeaving(ctx context.Context, f *fleet.Fleet) (longest time.Duration, before int) {
	published := make(map[string]time.Time)
	done := make(chan struct{})
	go func() {
		defer close(done)
		for i := range leavingServers {
			time.Sleep(leaveGap)
			id := vm.ID(fmt.Sprintf("plain-%d", i+1))
			published[f.Server(id)] = time.Now()
			f.SetState(id, vm.StateLeaving)
		}
	}()
	load.Run(ctx, load.NewCaller(f.CallerIP(), f.Entries()), f.Ledger, load.Options{
		Seed: 3, Duration: (leavingServers + 3) * leaveGap,
		Workloads: []load.Workload{{Service: "plain", Teams: []string{"t"}, Rate: leaveRate}},
	})
	<-done
	for _, e := range f.Ledger.Executions() {
		left, ok := published[e.Server]
		switch {
		case ok && e.At.After(left):
			longest = max(longest, e.At.Sub(left))
		case ok:
			before++
		}
	}
	return longest, before
}
