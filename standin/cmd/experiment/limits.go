package main

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/google/subcommands"

	"baywall.example/core/vm"
	"baywall.example/entry/limits"
)

// limitsCommand simulates skewed demand on 8 entry VMs under a kill, a pause and a partition,
// in simulated time, with the grantor and holder of package limits.
type limitsCommand struct {
	limit int
	seed  uint64
}

func (*limitsCommand) Name() string { return "limits" }
func (*limitsCommand) Synopsis() string {
	return "compare leased shares with a static limit: overshoot and unused share"
}
func (*limitsCommand) Usage() string { return "limits [-limit 400] [-seed N]\n" }

func (c *limitsCommand) SetFlags(f *flag.FlagSet) {
	f.IntVar(&c.limit, "limit", 400, "a team's concurrency")
	f.Uint64Var(&c.seed, "seed", 1, "seed of the demand")
}

const (
	limitVMs  = 8
	limitTick = 5 * time.Millisecond
	// detection is the time until the other VMs detect a fault.
	detection = 900 * time.Millisecond
	// meanService is the mean duration of a request.
	meanService = 200 * time.Millisecond
	hotShare    = 0.9
)

// limitVM is one entry VM of the simulation.
type limitVM struct {
	holder         limits.Holder
	grantor        *limits.Grantor
	dead           bool
	paused         bool
	side           int // side of the partition that the VM is on, 0 without one
	usable         [limitVMs]bool
	unchangedSince time.Time // time of the last change of usable
}

func (c *limitsCommand) Execute(context.Context, *flag.FlagSet, ...any) subcommands.ExitStatus {
	faults := []string{"none", "kill of the grantor", "kill of the hot VM", "pause of the grantor, 10 s", "pause of the hot VM, 10 s", "partition 4/4, 10 s"}
	for _, fault := range faults {
		for _, leased := range []bool{false, true} {
			r := newLimitSimulation(c.limit, c.seed, leased)
			r.run(fault)
			name := "static limit/N"
			if leased {
				name = "leased shares"
			}
			fmt.Printf("%-28s %-15s overshoot: most %d, %.2f s above the limit; unused share %.1f%%\n", fault, name, r.overshoot, r.timeAbove.Seconds(), 100*r.unused/r.wanted)
		}
	}
	return subcommands.ExitSuccess
}

// limitSimulation is one run of the simulation.
type limitSimulation struct {
	limit        int
	leased       bool
	rnd          *rand.Rand
	now          time.Time
	vms          [limitVMs]*limitVM
	hot          int
	grantorIndex int

	overshoot      int
	timeAbove      time.Duration
	unused, wanted float64
}

func newLimitSimulation(limit int, seed uint64, leased bool) *limitSimulation {
	r := &limitSimulation{limit: limit, leased: leased, rnd: rand.New(rand.NewPCG(seed, 0)), now: time.Unix(1_700_000_000, 0), hot: 3}
	for i := range r.vms {
		r.vms[i] = &limitVM{grantor: limits.NewGrantor(r.now), unchangedSince: r.now.Add(-time.Hour)}
		for j := range r.vms {
			r.vms[i].usable[j] = true
		}
	}
	return r
}

const (
	warmUp     = 5 * time.Second
	faultTime  = 10 * time.Second
	replayTime = 30 * time.Second
)

func (r *limitSimulation) run(fault string) {
	began := r.now
	for r.now.Sub(began) < replayTime {
		r.now = r.now.Add(limitTick)
		at := r.now.Sub(began)
		r.inject(fault, at)
		r.detect(fault, at)
		for i, v := range r.vms {
			if !v.dead && !v.paused {
				r.serve(i, v)
			}
			if !v.dead {
				r.complete(v)
			}
		}
		if at > warmUp {
			r.account()
		}
	}
}

func (r *limitSimulation) inject(fault string, at time.Duration) {
	active := at >= faultTime && at < 2*faultTime
	switch fault {
	case "kill of the grantor":
		r.kill(r.grantorIndex, at)
	case "kill of the hot VM":
		r.kill(r.hot, at)
	case "pause of the grantor, 10 s":
		r.vms[r.grantorIndex].paused = active
	case "pause of the hot VM, 10 s":
		r.vms[r.hot].paused = active
	case "partition 4/4, 10 s":
		for i, v := range r.vms {
			v.side = 0
			if active && i%2 == 1 {
				v.side = 1
			}
		}
	}
}

// kill stops a VM and releases its requests.
func (r *limitSimulation) kill(i int, at time.Duration) {
	if at < faultTime || r.vms[i].dead {
		return
	}
	r.vms[i].dead = true
	for r.vms[i].holder.Running() > 0 {
		r.vms[i].holder.Release()
	}
}

func (r *limitSimulation) reaches(i, j int) bool {
	a, b := r.vms[i], r.vms[j]
	return !b.dead && !b.paused && a.side == b.side
}

// detect updates, once in each detection interval, which VMs every VM can reach.
func (r *limitSimulation) detect(_ string, at time.Duration) {
	if at%detection >= limitTick {
		return
	}
	for i, v := range r.vms {
		if v.paused || v.dead {
			continue
		}
		for j := range r.vms {
			if now := i == j || r.reaches(i, j); now != v.usable[j] {
				v.usable[j] = now
				v.unchangedSince = r.now
			}
		}
	}
}

func (r *limitSimulation) serve(i int, v *limitVM) {
	base := r.limit / limitVMs
	if r.leased {
		base = limits.Base(r.limit, limitVMs)
		if v.holder.Due(r.now) {
			r.requestShare(i, v)
		}
	}
	for v.holder.Running() < r.demand(i) {
		if v.holder.Admit(base, r.now) {
			continue
		}
		if !r.leased || !v.holder.WantsMore(r.now) {
			return
		}
		r.requestShare(i, v)
	}
}

// demand is the number of concurrent requests that a VM's callers want.
func (r *limitSimulation) demand(i int) int {
	total := 1.2 * float64(r.limit)
	if i == r.hot {
		return int(hotShare * total)
	}
	return int((1 - hotShare) * total / (limitVMs - 1))
}

func (r *limitSimulation) requestShare(i int, v *limitVM) {
	a := v.holder.LeaseRequest(vm.ID(fmt.Sprint(i)), r.now)
	grantor := r.grantorIndex
	for !v.usable[grantor] {
		grantor = (grantor + 1) % limitVMs
	}
	if grantor != i && !r.reaches(i, grantor) {
		return // the grantor cannot be reached
	}
	g := r.vms[grantor]
	reachable := 0
	for _, u := range g.usable {
		if u {
			reachable++
		}
	}
	fleet := limits.Fleet{Listed: limitVMs, Reachable: reachable, GrantorSince: g.unchangedSince}
	v.holder.Granted(g.grantor.Handle(a, r.limit, fleet, r.now), r.now)
}

// complete ends requests at random, also those of paused VMs, whose backend servers continue
// to run.
func (r *limitSimulation) complete(v *limitVM) {
	for range v.holder.Running() {
		if r.rnd.Float64() < float64(limitTick)/float64(meanService) {
			v.holder.Release()
		}
	}
}

func (r *limitSimulation) account() {
	running, wanted := 0, 0
	for i, v := range r.vms {
		running += v.holder.Running()
		if !v.dead && !v.paused {
			wanted += r.demand(i)
		}
	}
	wanted = min(wanted, r.limit)
	if over := running - r.limit; over > 0 {
		r.overshoot = max(r.overshoot, over)
		r.timeAbove += limitTick
	}
	r.wanted += float64(wanted)
	r.unused += float64(max(0, wanted-running))
}
