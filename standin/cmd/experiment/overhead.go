package main

import (
	"context"
	"flag"
	"fmt"
	"io"
	"net/http"
	"os"
	"slices"
	"sync"
	"time"

	"github.com/google/subcommands"

	"baywall.example/core/resource"
	"baywall.example/entry/api"
	"baywall.example/standin/fleet"
	"baywall.example/standin/plain"
)

// overheadCommand compares calls through an entry VM and an agent with direct calls of the
// backend server, in alternating rounds of one run.
type overheadCommand struct {
	clients int
	rounds  int
	length  time.Duration
	keepDir string
	entry   string
	agent   string
}

func (*overheadCommand) Name() string     { return "overhead" }
func (*overheadCommand) Synopsis() string { return "measure added latency and throughput of the path" }

func (*overheadCommand) Usage() string {
	return "overhead [-clients N] [-rounds N] [-length 2s] [-entry BINARY -agent BINARY]\n"
}

func (c *overheadCommand) SetFlags(f *flag.FlagSet) {
	f.IntVar(&c.clients, "clients", 32, "concurrent clients in the throughput rounds")
	f.IntVar(&c.rounds, "rounds", 4, "rounds of each kind")
	f.DurationVar(&c.length, "length", 2*time.Second, "length of a round")
	f.StringVar(&c.keepDir, "dir", "", "folder that keeps settings and logs; default: a temporary one")
	f.StringVar(&c.entry, "entry", "", "entry VM program to measure; default: built from this tree")
	f.StringVar(&c.agent, "agent", "", "agent program to measure; default: built from this tree")
}

func (c *overheadCommand) binaries(dir string) (fleet.Binaries, error) {
	if c.entry != "" && c.agent != "" {
		return fleet.Binaries{Entry: c.entry, Agent: c.agent}, nil
	}
	return fleet.Build(dir)
}

func (c *overheadCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	dir, cleanup, err := workDir(c.keepDir)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return subcommands.ExitFailure
	}
	defer cleanup()
	binaries, err := c.binaries(dir)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return subcommands.ExitFailure
	}
	site := fleet.Site{
		Name: "overhead", Network: "127.33", Zones: []string{"one"}, EntryVMs: 1,
		Services: []fleet.ServiceSite{{Name: "echo", Runners: 1, Spec: resource.Service{RunnerConcurrency: 10_000}}},
		Teams:    map[string]resource.Team{"t": {Concurrency: 10_000}},
	}
	f, err := fleet.Start(site, fleet.Options{Binaries: binaries, Dir: dir, Direct: true})
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return subcommands.ExitFailure
	}
	defer f.Stop()
	direct := "http://" + f.Server("echo-1") + "/documents"
	through := "http://" + f.Entries()[0] + "/v1/services/echo/documents"
	for _, clients := range []int{1, c.clients} {
		d, t := c.measure(ctx, clients, direct, through)
		printOverhead(clients, d, t)
	}
	return subcommands.ExitSuccess
}

// measure alternates rounds of direct calls and of calls through entry VM and agent.
func (c *overheadCommand) measure(ctx context.Context, clients int, direct, through string) (d, t sample) {
	for range c.rounds {
		d.add(round(ctx, clients, direct, c.length))
		t.add(round(ctx, clients, through, c.length))
	}
	return d, t
}

func printOverhead(clients int, d, t sample) {
	fmt.Printf("%d clients: direct p50 %.3f ms, p99 %.3f ms, %.0f/s; through p50 %.3f ms, p99 %.3f ms, %.0f/s; failed %d; added p50 %.3f ms; throughput ratio %.2f\n",
		clients, ms(d.quantile(0.5)), ms(d.quantile(0.99)), d.perSecond(), ms(t.quantile(0.5)), ms(t.quantile(0.99)), t.perSecond(),
		t.failed, ms(t.quantile(0.5)-d.quantile(0.5)), t.perSecond()/d.perSecond())
}

// sample contains the latencies of one or more rounds.
type sample struct {
	latencies []time.Duration
	length    time.Duration
	failed    int
}

func (s *sample) add(o sample) {
	s.latencies = append(s.latencies, o.latencies...)
	s.length += o.length
	s.failed += o.failed
}

func (s *sample) quantile(q float64) time.Duration {
	if len(s.latencies) == 0 {
		return 0
	}
	slices.Sort(s.latencies)
	return s.latencies[int(q*float64(len(s.latencies)-1))]
}

func (s *sample) perSecond() float64 { return float64(len(s.latencies)) / s.length.Seconds() }

// round runs concurrent clients, each of which sends one call after another for the given
// time.
func round(ctx context.Context, clients int, url string, length time.Duration) sample {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: clients}}
	defer client.CloseIdleConnections()
	parts := make([]sample, clients)
	start := time.Now()
	var wg sync.WaitGroup
	for i := range parts {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for time.Since(start) < length {
				parts[i].call(ctx, client, url)
			}
		}()
	}
	wg.Wait()
	out := sample{}
	for _, p := range parts {
		out.add(p)
	}
	out.length = time.Since(start)
	return out
}

func (s *sample) call(ctx context.Context, client *http.Client, url string) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		s.failed++
		return
	}
	req.Header.Set(api.HeaderTeam, "t")
	req.Header.Set(plain.HeaderWork, "w")
	began := time.Now()
	resp, err := client.Do(req)
	if err != nil {
		s.failed++
		return
	}
	_, _ = io.Copy(io.Discard, resp.Body)
	resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		s.failed++
		return
	}
	s.latencies = append(s.latencies, time.Since(began))
}
