package main

import (
	"context"
	"flag"
	"fmt"
	"time"

	"github.com/google/subcommands"

	"baywall.example/core/resource"
	"baywall.example/standin/fleet"
	"baywall.example/standin/load"
)

// policiesCommand compares the balancing strategies under the same load.
type policiesCommand struct {
	duration time.Duration
	load     float64
	slow     float64
}

func (*policiesCommand) Name() string { return "policies" }
func (*policiesCommand) Synopsis() string {
	return "compare balancing strategies: first token and cache hits"
}

func (*policiesCommand) Usage() string {
	return "policies [-duration 12s] [-load 0.8] [-slow 0.5]\n"
}

func (c *policiesCommand) SetFlags(f *flag.FlagSet) {
	f.DurationVar(&c.duration, "duration", 12*time.Second, "length of the load for each strategy")
	f.Float64Var(&c.load, "load", 0.8, "share of what the runners could take without any cache hit")
	f.Float64Var(&c.slow, "slow", 0.5, "speed of the slow runner, 1 = as the others")
}

// Parameters of the fleet and its load.
const (
	policyRunners  = 16
	policyBatch    = 4
	policyStep     = 10 * time.Millisecond
	policyPrompt   = 1024
	policyTokens   = 20
	policyPrefixes = 200
	// policySteps is the number of steps of a request without a cache hit.
	policySteps = 1 + policyPrompt/256 + policyTokens
)

func (c *policiesCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	return withBinaries("", func(dir string, b fleet.Binaries) error { return c.compare(ctx, dir, b) })
}

func (c *policiesCommand) compare(ctx context.Context, dir string, binaries fleet.Binaries) error {
	policies := []resource.Policy{resource.PolicyRoundRobin, resource.PolicyLeastLoad, resource.PolicyTwoChoices, resource.PolicyAffinity}
	for i, policy := range policies {
		if err := c.run(ctx, policy, fmt.Sprintf("127.%d", 60+i), dir, binaries); err != nil {
			return err
		}
	}
	return nil
}

func (c *policiesCommand) run(ctx context.Context, policy resource.Policy, network, dir string, binaries fleet.Binaries) error {
	site := fleet.Site{
		Name: "policies", Network: network, Zones: []string{"a", "b", "c"}, ZoneDelay: 1500 * time.Microsecond,
		EntryVMs: 4, Teams: map[string]resource.Team{"t": {Concurrency: 10_000}},
		Services: []fleet.ServiceSite{{
			Name: "chat", Runners: policyRunners, Spec: resource.Service{Engine: true}, Intent: resource.Intent{Policy: policy},
			Step: policyStep, Independent: true, Batch: policyBatch, Cache: policyPrefixes / policyRunners * 2,
		}},
	}
	f, err := fleet.Start(site, fleet.Options{Binaries: binaries, Dir: dir})
	if err != nil {
		return err
	}
	defer f.Stop()
	f.Runners["chat"][0].SetSpeed(c.slow)
	time.Sleep(time.Second)
	perRunner := float64(policyBatch) * float64(time.Second) / float64(policyStep) / policySteps
	rate := c.load * perRunner * (policyRunners - 1 + c.slow)
	report := load.Run(ctx, load.NewCaller(f.CallerIP(), f.Entries()), f.Ledger, load.Options{
		Seed: 5, Duration: c.duration,
		Workloads: []load.Workload{{Service: "chat", Stream: true, Teams: []string{"t"}, Rate: rate, Prefixes: policyPrefixes, Prompt: policyPrompt, Tokens: policyTokens}},
	})
	hits, misses := 0, 0
	for _, r := range f.Runners["chat"] {
		h, m := r.CacheStats()
		hits, misses = hits+h, misses+m
	}
	first := func(q float64) float64 { return float64(report.First.ValueAtQuantile(q)) / 1000 }
	fmt.Printf("%-12s requests %d at %.0f/s, answered %d, first token p50 %.0f ms, p95 %.0f ms, p99 %.0f ms, cache hits %.0f%%\n",
		policy, report.Requests, rate, report.Answered, first(50), first(95), first(99), 100*float64(hits)/float64(max(1, hits+misses)))
	return nil
}
