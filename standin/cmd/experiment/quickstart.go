package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"sort"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/google/subcommands"

	"baywall.example/standin/engine"
	"baywall.example/standin/fleet"
	"baywall.example/standin/load"
)

// quickstartCommand starts one site after another, sends it mixed load and prints a table.
type quickstartCommand struct {
	sites    string
	duration time.Duration
	keepDir  string
}

func (*quickstartCommand) Name() string { return "quickstart" }
func (*quickstartCommand) Synopsis() string {
	return "start both sites, send mixed load, print a table"
}

func (*quickstartCommand) Usage() string {
	return "quickstart [-sites FILE,FILE] [-duration 12s] [-dir DIR]\n"
}

func (c *quickstartCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.sites, "sites", "examples/sfax.yaml,examples/lisbon.yaml", "site files")
	f.DurationVar(&c.duration, "duration", 12*time.Second, "length of the load on each site")
	f.StringVar(&c.keepDir, "dir", "", "folder that keeps settings and logs; default: a temporary one")
}

// row is one line of the table.
type row struct {
	site   string
	report *load.Report
	groups string
}

func (c *quickstartCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	fmt.Println("building baywall and baywall-agent ...")
	return withBinaries(c.keepDir, func(dir string, b fleet.Binaries) error { return c.run(ctx, dir, b) })
}

func (c *quickstartCommand) run(ctx context.Context, dir string, binaries fleet.Binaries) error {
	var rows []row
	for _, path := range strings.Split(c.sites, ",") {
		r, err := c.runSite(ctx, path, dir, binaries)
		if err != nil {
			return err
		}
		rows = append(rows, r)
	}
	return printRows(rows)
}

func (c *quickstartCommand) runSite(ctx context.Context, path, dir string, binaries fleet.Binaries) (row, error) {
	site, err := fleet.LoadSite(path)
	if err != nil {
		return row{}, err
	}
	siteDir := dir + "/" + site.Name
	if err := os.MkdirAll(siteDir, 0o755); err != nil {
		return row{}, err
	}
	fmt.Printf("%s: starting %d entry VMs and their backend servers ...\n", site.Name, site.EntryVMs)
	f, err := fleet.Start(site, fleet.Options{Binaries: binaries, Dir: siteDir})
	if err != nil {
		return row{}, err
	}
	defer f.Stop()
	started := time.Now()
	progress := func(done int64) {
		if done%200 == 0 {
			fmt.Printf("%s: %5.1fs, %d requests done\n", site.Name, time.Since(started).Seconds(), done)
		}
	}
	early := make(chan map[string]engine.Stats, 1)
	time.AfterFunc(c.duration/2, func() { early <- groupStats(f) })
	caller := load.NewCaller(f.CallerIP(), f.Entries())
	report := load.Run(ctx, caller, f.Ledger, load.Options{
		Workloads: Mixed(site), Duration: c.duration, Seed: 1, Progress: progress,
	})
	r := row{site: site.Name, report: report}
	first := <-early
	for name, s := range groupStats(f) {
		r.groups += fmt.Sprintf("%s: mean skew %.3f in the first half, %.3f in the second; map version %d; %d steps with mixed maps, %d ms held by switches; ",
			name, first[name].MeanSkew, s.MeanSkew, s.Version, s.Mixed, first[name].HeldMillis+s.HeldMillis)
	}
	return r, nil
}

// groupStats returns the measurements of all groups since the last call.
func groupStats(f *fleet.Fleet) map[string]engine.Stats {
	out := make(map[string]engine.Stats)
	for name, g := range f.Groups {
		out[name] = g.Stats()
	}
	return out
}

// Mixed returns the load for a site: streamed answers of its engines and documents of its
// plain services, some of which are not idempotent.
func Mixed(site fleet.Site) []load.Workload {
	var teams []string
	for name := range site.Teams {
		teams = append(teams, name)
	}
	sort.Strings(teams)
	var out []load.Workload
	for _, svc := range site.Services {
		if svc.Group != nil {
			out = append(out, load.Workload{Service: svc.Name, Stream: true, Teams: teams, Rate: 40, Prefixes: 40, Prompt: 1024, Tokens: 40})
			continue
		}
		out = append(out, load.Workload{Service: svc.Name, Teams: teams, Rate: 60, NonIdempotent: svc.Spec.NonIdempotent})
	}
	return out
}

func printRows(rows []row) error {
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(w, "site\trequests\tanswered\tnot-run\tunknown\tcut\tdoubled\tcrossed\tfalse not-run\tfirst p50 ms\tfirst p99 ms\t")
	var err error
	for _, r := range rows {
		p := r.report
		ms := func(q float64) float64 { return float64(p.First.ValueAtQuantile(q)) / 1000 }
		fmt.Fprintf(w, "%s\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%.1f\t%.1f\t\n", r.site, p.Requests, p.Answered, p.NotRun, p.Unknown, p.Cut, p.Duplicated, p.WrongAnswer, p.FalseNotRun, ms(50), ms(99))
		if p.Violations() > 0 || p.Answered == 0 {
			err = errViolation
		}
	}
	w.Flush()
	for _, r := range rows {
		fmt.Println(r.site+":", r.groups)
		for reason, n := range r.report.Reasons {
			fmt.Printf("  %d x %s\n", n, reason)
		}
	}
	return err
}
