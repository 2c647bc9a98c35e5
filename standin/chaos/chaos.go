// Package chaos injects random faults into a running fleet. The seed determines them.
package chaos

import (
	"fmt"
	"math/rand/v2"
	"time"

	"baywall.example/core/resource"
	"baywall.example/core/vm"
	"baywall.example/standin/fleet"
)

// Kind is a kind of fault.
type Kind string

// Kinds of faults.
const (
	KillAgent     Kind = "kill-agent"
	KillEntry     Kind = "kill-entry"
	PauseAgent    Kind = "pause-agent"
	PauseEntry    Kind = "pause-entry"
	ResetLinks    Kind = "reset-links"
	Partition     Kind = "partition"
	OneWayCut     Kind = "one-way-cut"
	PlatformDown  Kind = "platform-down"
	PlatformStale Kind = "platform-stale"
	ConfigRace    Kind = "config-race"
	StopAgent     Kind = "graceful-agent-restart"
	StopEntry     Kind = "graceful-entry-restart"
	Leave         Kind = "leave-and-return"
)

// Abrupt returns the faults after which the outcome of a request may be unknown.
func Abrupt() []Kind {
	return []Kind{KillAgent, KillEntry, PauseAgent, PauseEntry, ResetLinks, Partition, OneWayCut, PlatformDown, PlatformStale, ConfigRace}
}

// Graceful returns the faults during which no response may be cut and no outcome may be
// unknown.
func Graceful() []Kind {
	return []Kind{StopAgent, StopEntry, Leave, ConfigRace, PlatformDown, PlatformStale}
}

// Injector injects faults one at a time. It is not safe for concurrent use.
type Injector struct {
	fleet   *fleet.Fleet
	rnd     *rand.Rand
	kinds   []Kind
	log     func(format string, args ...any)
	changes int
}

// New returns an injector whose choices are determined by the seed alone.
func New(f *fleet.Fleet, seed uint64, kinds []Kind, log func(format string, args ...any)) *Injector {
	return &Injector{fleet: f, rnd: rand.New(rand.NewPCG(seed, 99)), kinds: kinds, log: log}
}

const (
	minDuration   = 300 * time.Millisecond
	maxDuration   = 2500 * time.Millisecond
	faultInterval = 400 * time.Millisecond
)

// Run injects faults for the duration and ends the last one before it returns.
func (i *Injector) Run(d time.Duration) {
	end := time.Now().Add(d)
	for time.Now().Before(end) {
		i.inject(i.kinds[i.rnd.IntN(len(i.kinds))])
		time.Sleep(faultInterval)
	}
}

func (i *Injector) duration() time.Duration {
	return minDuration + time.Duration(i.rnd.Int64N(int64(maxDuration-minDuration)))
}

func (i *Injector) pick(role vm.Role) vm.ID {
	list := vm.List{VMs: i.fleet.VMs()}.WithRole(role)
	return list[i.rnd.IntN(len(list))].ID
}

func (i *Injector) inject(k Kind) {
	switch k {
	case KillAgent, KillEntry:
		i.kill(k, i.pick(roleOf(k)))
	case PauseAgent, PauseEntry:
		i.freeze(k, i.pick(roleOf(k)))
	case StopAgent, StopEntry:
		i.stop(k, i.pick(roleOf(k)))
	case ResetLinks:
		a, b := i.pick(vm.RoleEntry), i.pick(vm.RoleBackend)
		i.log("%s %s %s", k, a, b)
		i.fleet.Network.Reset(i.fleet.IP(a), i.fleet.IP(b))
	case Partition:
		i.partition()
	case OneWayCut:
		i.oneWay()
	case PlatformDown:
		d := i.duration()
		i.log("%s for %s", k, d)
		i.fleet.Platform.SetDown(true)
		time.Sleep(d)
		i.fleet.Platform.SetDown(false)
	case PlatformStale:
		d := i.duration()
		i.log("%s for %s", k, d)
		i.fleet.Platform.Freeze(true)
		i.changeConcurrently()
		time.Sleep(d)
		i.fleet.Platform.Freeze(false)
	case ConfigRace:
		i.changeConcurrently()
	case Leave:
		i.leave(i.pick(vm.RoleBackend))
	}
}

func roleOf(k Kind) vm.Role {
	switch k {
	case KillEntry, PauseEntry, StopEntry:
		return vm.RoleEntry
	default:
		return vm.RoleBackend
	}
}

func (i *Injector) kill(k Kind, id vm.ID) {
	d := i.duration()
	i.log("%s %s for %s", k, id, d)
	p := i.fleet.Process(id)
	p.Kill()
	time.Sleep(d)
	_ = p.Restart()
}

func (i *Injector) freeze(k Kind, id vm.ID) {
	d := i.duration()
	i.log("%s %s for %s", k, id, d)
	p := i.fleet.Process(id)
	p.Pause()
	time.Sleep(d)
	p.Continue()
}

func (i *Injector) stop(k Kind, id vm.ID) {
	i.log("%s %s", k, id)
	p := i.fleet.Process(id)
	p.Terminate()
	<-p.Done()
	_ = p.Restart()
}

// partition blocks traffic between one availability zone and the others.
func (i *Injector) partition() {
	zone := i.fleet.Site.Zones[i.rnd.IntN(len(i.fleet.Site.Zones))]
	var in, out []string
	for _, v := range i.fleet.VMs() {
		if string(v.Zone) == zone {
			in = append(in, i.fleet.IP(v.ID))
		} else {
			out = append(out, i.fleet.IP(v.ID))
		}
	}
	d := i.duration()
	i.log("%s of %s for %s", Partition, zone, d)
	i.fleet.Network.Partition(in, out, true)
	time.Sleep(d)
	i.fleet.Network.Partition(in, out, false)
}

// oneWay blocks traffic from one backend server's agent to all entry VMs.
func (i *Injector) oneWay() {
	id := i.pick(vm.RoleBackend)
	d := i.duration()
	i.log("%s from %s for %s", OneWayCut, id, d)
	for _, v := range (vm.List{VMs: i.fleet.VMs()}).WithRole(vm.RoleEntry) {
		i.fleet.Network.Block(i.fleet.IP(id), i.fleet.IP(v.ID), true)
		defer i.fleet.Network.Block(i.fleet.IP(id), i.fleet.IP(v.ID), false)
	}
	time.Sleep(d)
}

// changeConcurrently simulates two operators who change the same team at the same time,
// one of them with an invalid value, and changes the entry subset of a service.
func (i *Injector) changeConcurrently() {
	i.changes++
	team := fmt.Sprintf("race-%d", i.changes%3)
	i.log("%s on team %s", ConfigRace, team)
	i.fleet.Platform.Put(resource.KindTeam, team, resource.Team{Concurrency: 10 + i.changes})
	i.fleet.Platform.Put(resource.KindTeam, team, map[string]any{"concurrency": -1})
	svc := i.fleet.Site.Services[i.rnd.IntN(len(i.fleet.Site.Services))]
	spec := svc.Spec
	spec.EntrySubset = 3 + i.changes%3
	i.fleet.Platform.Put(resource.KindService, svc.Name, spec)
}

// leave lists a backend server as leaving, stops its agent gracefully, restarts the
// agent and lists the server as live again.
func (i *Injector) leave(id vm.ID) {
	i.log("%s %s", Leave, id)
	i.fleet.SetState(id, vm.StateLeaving)
	time.Sleep(i.duration())
	p := i.fleet.Process(id)
	p.Terminate()
	<-p.Done()
	_ = p.Restart()
	i.fleet.SetState(id, vm.StateLive)
}
