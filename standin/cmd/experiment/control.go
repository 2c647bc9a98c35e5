package main

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"net/http"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/google/subcommands"

	"baywall.example/core/resource"
	"baywall.example/core/vm"
	"baywall.example/standin/fleet"
)

// controlCommand measures the cost of the control traffic for each process, at several fleet
// sizes, with periodic configuration changes and without requests.
type controlCommand struct {
	length time.Duration
	period time.Duration
	teams  int
	least  int
	most   int
}

func (*controlCommand) Name() string { return "control" }
func (*controlCommand) Synopsis() string {
	return "measure the cost of control per process at 8 to 64 entry VMs"
}

func (*controlCommand) Usage() string {
	return "control [-length 10s] [-period 5s] [-teams 28000] [-most 64]\n"
}

func (c *controlCommand) SetFlags(f *flag.FlagSet) {
	f.DurationVar(&c.length, "length", 10*time.Second, "time measured at each size")
	f.DurationVar(&c.period, "period", 5*time.Second, "time between two changes of configuration; the target's 1,400 a day are one in 62 s")
	f.IntVar(&c.teams, "teams", 28_000, "number of teams configured")
	f.IntVar(&c.least, "least", 8, "smallest number of entry VMs")
	f.IntVar(&c.most, "most", 64, "largest number of entry VMs")
}

func (c *controlCommand) Execute(context.Context, *flag.FlagSet, ...any) subcommands.ExitStatus {
	return withBinaries("", c.run)
}

func (c *controlCommand) run(dir string, binaries fleet.Binaries) error {
	network := 70
	for n := c.least; n <= c.most; n *= 2 {
		if err := c.measureSize(n, fmt.Sprintf("127.%d", network), dir, binaries); err != nil {
			return err
		}
		network++
	}
	return nil
}

// runnersPerService keeps the services as small as in the target deployment, where each
// service has 20 runners.
const runnersPerService = 20

// settleTime is the base of the delay before the measurement; measureSize adds 100 ms for
// each entry VM. It keeps the start of some hundred processes on one machine out of the
// measurement.
const settleTime = 4 * time.Second

func (c *controlCommand) measureSize(entries int, network, dir string, binaries fleet.Binaries) error {
	site := plainSite(network, entries, 1)
	site.ZoneDelay = 0
	agents := entries * 700 / 320
	site.Services = nil
	for i := 0; agents > 0; i++ {
		n := min(runnersPerService, agents)
		agents -= n
		site.Services = append(site.Services, fleet.ServiceSite{Name: fmt.Sprintf("service-%d", i), Runners: n, Spec: resource.Service{EntrySubset: 4}})
	}
	for i := range c.teams {
		site.Teams[fmt.Sprintf("team-%d", i)] = resource.Team{Concurrency: 10}
	}
	f, err := fleet.Start(site, fleet.Options{Binaries: binaries, Dir: dir, Direct: true})
	if err != nil {
		return err
	}
	defer f.Stop()
	time.Sleep(settleTime + time.Duration(entries)*100*time.Millisecond)
	before := sampleProcesses(f)
	deadline := time.Now().Add(c.length)
	for i := 0; ; i++ {
		time.Sleep(min(c.period, time.Until(deadline)))
		if !time.Now().Before(deadline) {
			break
		}
		f.Platform.Put(resource.KindTeam, "team-1", resource.Team{Concurrency: 10 + i})
	}
	after := sampleProcesses(f)
	for _, role := range []vm.Role{vm.RoleEntry, vm.RoleBackend} {
		fmt.Printf("%3d entry VMs, %3d agents: %-8s %s\n", entries, len(f.VMs())-entries, role, summarize(before, after, role, c.length))
	}
	return nil
}

// usage is the resource usage of one process since its start.
type usage struct {
	role     vm.Role
	cpu      time.Duration
	resident int64 // bytes
	heap     int64 // bytes in use
	traffic  int64 // bytes transferred on links and, for entry VMs, in probes
}

func sampleProcesses(f *fleet.Fleet) map[vm.ID]usage {
	out := make(map[vm.ID]usage)
	for _, v := range f.VMs() {
		u := processUsage(f.Process(v.ID).PID())
		u.role = v.Role
		u.traffic, u.heap = processTraffic(f.DebugAddress(v.ID))
		out[v.ID] = u
	}
	return out
}

// clockTicks is the number of clock ticks, the unit of processor time in /proc, in a second.
const clockTicks = 100

func processUsage(pid int) usage {
	var u usage
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return u
	}
	fields := strings.Fields(string(stat[strings.LastIndexByte(string(stat), ')')+1:]))
	user, _ := strconv.ParseInt(fields[11], 10, 64)
	system, _ := strconv.ParseInt(fields[12], 10, 64)
	u.cpu = time.Duration(user+system) * time.Second / clockTicks
	pages, _ := strconv.ParseInt(fields[21], 10, 64)
	u.resident = pages * int64(os.Getpagesize())
	return u
}

func processTraffic(address string) (traffic, heap int64) {
	resp, err := http.Get("http://" + address + "/debug/vars")
	if err != nil {
		return 0, 0
	}
	defer resp.Body.Close()
	var vars struct {
		Entry, Agent struct {
			Links  int64 `json:"link_bytes"`
			Probes int64 `json:"probe_bytes"`
		}
		Memstats struct{ HeapInuse int64 }
	}
	_ = json.NewDecoder(resp.Body).Decode(&vars)
	return vars.Entry.Links + vars.Entry.Probes + vars.Agent.Links, vars.Memstats.HeapInuse
}

func summarize(before, after map[vm.ID]usage, role vm.Role, length time.Duration) string {
	n := 0
	var cpu, mostCPU time.Duration
	var busiest vm.ID
	var resident, mostResident, heap, traffic int64
	for id, a := range after {
		if a.role != role {
			continue
		}
		n++
		cpu += a.cpu - before[id].cpu
		if d := a.cpu - before[id].cpu; d > mostCPU {
			mostCPU, busiest = d, id
		}
		resident += a.resident
		mostResident = max(mostResident, a.resident)
		heap += a.heap
		traffic += a.traffic - before[id].traffic
	}
	per := func(x int64) float64 { return float64(x) / float64(max(1, n)) }
	return fmt.Sprintf("%.2f%% of a core (most %.1f%%, %s), %.1f MB resident (most %.1f), heap %.1f MB, %.1f KB/s",
		100*float64(cpu)/float64(length)/float64(max(1, n)), 100*float64(mostCPU)/float64(length), busiest, per(resident)/1e6, float64(mostResident)/1e6, per(heap)/1e6, per(traffic)/1e3/length.Seconds())
}
