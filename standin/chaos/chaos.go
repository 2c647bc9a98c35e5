// Package chaos injects faults into a running fleet, drawn from a seed.
package chaos

import (
	"fmt"
	"math/rand/v2"
	"time"

	"baywall.example/core/resource"
	"baywall.example/core/vm"
	"baywall.example/standin/fleet"
)

// Kind is a type of fault.
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

// Abrupt are the faults that may end requests as unknown.
func Abrupt() []Kind {
	return []Kind{KillAgent, KillEntry, PauseAgent, PauseEntry, ResetLinks, Partition, OneWayCut, PlatformDown, PlatformStale, ConfigRace}
}

// Graceful are the faults under which nothing may be cut or unknown.
func Graceful() []Kind {
	return []Kind{StopAgent, StopEntry, Leave, ConfigRace, PlatformDown, PlatformStale}
}

// Injector injects faults one after the other. It is not safe for concurrent
// use.
type Injector struct {
	fleet *fleet.Fleet
	rnd   *rand.Rand
	kinds []Kind
	log   func(format string, args ...any)
	races int
}

// New returns an injector whose choices depend on the seed alone.
func New(f *fleet.Fleet, seed uint64, kinds []Kind, log func(format string, args ...any)) *Injector {
	return &Injector{fleet: f, rnd: rand.New(rand.NewPCG(seed, 99)), kinds: kinds, log: log}
}

const (
	minPause = 300 * time.Millisecond
	maxPause = 2500 * time.Millisecond
	calm     = 400 * time.Millisecond
)

// Run injects faults for the duration and leaves the fleet whole.
func (i *Injector) Run(d time.Duration) {
	end := time.Now().Add(d)
	for time.Now().Before(end) {
		i.one(i.kinds[i.rnd.IntN(len(i.kinds))])
		time.Sleep(calm)
	}
}

func (i *Injector) pause() time.Duration {
	return minPause + time.Duration(i.rnd.Int64N(int64(maxPause-minPause)))
}

func (i *Injector) pick(role vm.Role) vm.ID {
	list := vm.List{VMs: i.fleet.VMs()}.WithRole(role)
	return list[i.rnd.IntN(len(list))].ID
}

func (i *Injector) one(k Kind) {
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
		d := i.pause()
		i.log("%s for %s", k, d)
		i.fleet.Platform.SetDown(true)
		time.Sleep(d)
		i.fleet.Platform.SetDown(false)
	case PlatformStale:
		d := i.pause()
		i.log("%s for %s", k, d)
		i.fleet.Platform.Freeze(true)
		i.race()
		time.Sleep(d)
		i.fleet.Platform.Freeze(false)
	case ConfigRace:
		i.race()
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
	d := i.pause()
	i.log("%s %s for %s", k, id, d)
	p := i.fleet.Process(id)
	p.Kill()
	time.Sleep(d)
	_ = p.Restart()
}

func (i *Injector) freeze(k Kind, id vm.ID) {
	d := i.pause()
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

// partition cuts one availability zone off from the others.
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
	d := i.pause()
	i.log("%s of %s for %s", Partition, zone, d)
	i.fleet.Network.Partition(in, out, true)
	time.Sleep(d)
	i.fleet.Network.Partition(in, out, false)
}

// oneWay holds what one backend server's agent sends to all entry VMs.
func (i *Injector) oneWay() {
	id := i.pick(vm.RoleBackend)
	d := i.pause()
	i.log("%s from %s for %s", OneWayCut, id, d)
	for _, v := range (vm.List{VMs: i.fleet.VMs()}).WithRole(vm.RoleEntry) {
		i.fleet.Network.Block(i.fleet.IP(id), i.fleet.IP(v.ID), true)
		defer i.fleet.Network.Block(i.fleet.IP(id), i.fleet.IP(v.ID), false)
	}
	time.Sleep(d)
}

// race plays two operators who change the same resources at once, one of them
// with a mistake.
func (i *Injector) race() {
	i.races++
	team := fmt.Sprintf("race-%d", i.races%3)
	i.log("%s on team %s", ConfigRace, team)
	i.fleet.Platform.Put(resource.KindTeam, team, resource.Team{Concurrency: 10 + i.races})
	i.fleet.Platform.Put(resource.KindTeam, team, map[string]any{"concurrency": -1})
	svc := i.fleet.Site.Services[i.rnd.IntN(len(i.fleet.Site.Services))]
	spec := svc.Spec
	spec.EntrySubset = 3 + i.races%3
	i.fleet.Platform.Put(resource.KindService, svc.Name, spec)
}

// leave lists a backend server as leaving, then stops its agent gracefully,
// and brings it back.
func (i *Injector) leave(id vm.ID) {
	i.log("%s %s", Leave, id)
	i.fleet.SetState(id, vm.StateLeaving)
	time.Sleep(i.pause())
	p := i.fleet.Process(id)
	p.Terminate()
	<-p.Done()
	_ = p.Restart()
	i.fleet.SetState(id, vm.StateLive)
}
