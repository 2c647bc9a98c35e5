package main

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"math/rand/v2"
	"os"
	"syscall"
	"time"

	"baywall.example/core/wait"
	"baywall.example/platform/standin"
)

const (
	// switchKinds is the smallest number of fault kinds with which ranks leave orders unanswered
	// and demand shifts so often that groups switch maps all the time.
	switchKinds = 30
	// unansweredShare is the usual share of orders to ranks that get no answer then.
	unansweredShare = 0.1
	// shiftSteps is how many steps demand stays the same then: 1.2 s.
	shiftSteps = 80
	// takeoverLimit is how long a fault waits for a group's next coordinator, switchLimit how
	// long for a switch to be in progress. takeoverPoll and switchPoll are how often it looks.
	takeoverLimit = 2 * time.Second
	takeoverPoll  = 25 * time.Millisecond
	switchLimit   = 1500 * time.Millisecond
	switchPoll    = 5 * time.Millisecond
	// maxIntoSwitch is the longest time into a switch at which a fault strikes.
	maxIntoSwitch = 60 * time.Millisecond
)

// Orders in which ranks report their experts.
const (
	listsAsSent = "sent"
	listsSorted = "sorted"
)

// copyTimes are the times that a rank may take to copy one expert.
var copyTimes = []time.Duration{20 * time.Millisecond, 60 * time.Millisecond, 150 * time.Millisecond}

// stressesSwitches reports whether the run makes groups switch maps all the time.
func (o options) stressesSwitches() bool { return o.kinds == 0 || o.kinds >= switchKinds }

// rankSettings returns how the ranks of a seed answer orders.
func (o options) rankSettings(seed uint64) standin.GroupSettings {
	if !o.stressesSwitches() {
		return standin.GroupSettings{CopyTime: copyTimes[0]}
	}
	rnd := rand.New(rand.NewPCG(seed, 1<<32))
	s := standin.GroupSettings{
		Seed: seed, Unanswered: o.unanswered, ShiftSteps: shiftSteps,
		CopyTime: copyTimes[rnd.IntN(len(copyTimes))], SortedLists: rnd.IntN(2) == 0,
	}
	if o.lists != "" {
		s.SortedLists = o.lists == listsSorted
	}
	return s
}

// agentsOf returns the agents of a group's ranks, in rank order.
func (w *world) agentsOf(group int) []*process {
	ranks := len(w.agents) / len(w.groups)
	return w.agents[group*ranks : (group+1)*ranks]
}

// takeover is the event that an agent begins to coordinate a group.
type takeover struct {
	agent *process
	at    time.Time
}

// coordinator returns the latest takeover of a group that its agents have logged. Without one it
// returns the agent of rank 0.
func (w *world) coordinator(group int) takeover {
	latest := takeover{agent: w.agentsOf(group)[0]}
	for _, a := range w.agentsOf(group) {
		if at := lastTakeover(a.log, w.groups[group].Name); at.After(latest.at) {
			latest = takeover{a, at}
		}
	}
	return latest
}

// takeoverEvent is the part of an agent's log line that tells of a takeover.
type takeoverEvent struct {
	Kind, Group, Choice string
	Time                time.Time
}

// lastTakeover returns when an agent last began to coordinate a group, according to its log.
func lastTakeover(log, group string) time.Time {
	raw, err := os.ReadFile(log)
	if err != nil {
		return time.Time{} // the agent has not started yet
	}
	var last time.Time
	for lines := bufio.NewScanner(bytes.NewReader(raw)); lines.Scan(); {
		var e takeoverEvent
		if !bytes.Contains(lines.Bytes(), []byte(`"coordinate"`)) || json.Unmarshal(lines.Bytes(), &e) != nil {
			continue
		}
		if e.Choice == "coordinate" && e.Group == group {
			last = e.Time
		}
	}
	return last
}

// awaitSuccessor waits until an agent takes over the group after an earlier takeover.
func (w *world) awaitSuccessor(ctx context.Context, group int, after takeover) takeover {
	for end := time.Now().Add(takeoverLimit); ; {
		next := w.coordinator(group)
		if next.at.After(after.at) || time.Now().After(end) || !wait.Sleep(ctx, takeoverPoll) {
			return next
		}
	}
}

// awaitSwitch waits until a group is in the middle of a switch, and for a part of maxIntoSwitch
// that the draw determines.
func (w *world) awaitSwitch(ctx context.Context, group int, d draw) {
	for end := time.Now().Add(switchLimit); !w.groups[group].Switching(); {
		if time.Now().After(end) || !wait.Sleep(ctx, switchPoll) {
			return
		}
	}
	wait.Sleep(ctx, time.Duration(d.which)%maxIntoSwitch)
}

func (f *faults) group(d draw) int { return d.which % len(f.world.groups) }

// killCoordinators kills the coordinator of a group, in the middle of a switch or at any time, and
// up to two successors as soon as they have taken over.
func (f *faults) killCoordinators(ctx context.Context, d draw) {
	group := f.group(d)
	if d.which/len(f.world.groups)%2 == 0 {
		f.world.awaitSwitch(ctx, group, d)
	}
	c := f.world.coordinator(group)
	c.agent.signal(syscall.SIGKILL)
	for range d.variant {
		c = f.world.awaitSuccessor(ctx, group, c)
		wait.Sleep(ctx, time.Duration(d.which)%maxIntoSwitch)
		c.agent.signal(syscall.SIGKILL)
	}
}

// killIdleCoordinator kills the coordinator of a group that uses a map which a coordinator ordered,
// while no switch is in progress: the next one has to learn the map from the ranks.
func (f *faults) killIdleCoordinator(ctx context.Context, d draw) {
	group := f.group(d)
	g := f.world.groups[group]
	idle := func() bool {
		version, _, _ := g.State()
		return version != 0 && !g.Switching()
	}
	for end := time.Now().Add(switchLimit); !idle() && time.Now().Before(end) && wait.Sleep(ctx, switchPoll); {
	}
	f.world.coordinator(group).agent.signal(syscall.SIGKILL)
}

// pauseCoordinator pauses the coordinator of a group in the middle of a switch.
func (f *faults) pauseCoordinator(ctx context.Context, d draw) {
	group := f.group(d)
	f.world.awaitSwitch(ctx, group, d)
	a := f.world.coordinator(group).agent
	a.signal(syscall.SIGSTOP)
	wait.Sleep(ctx, d.duration)
	a.signal(syscall.SIGCONT)
}

// pauseCoordinatorKillSuccessor pauses the coordinator of a group in the middle of a switch, and
// continues it while its successor switches. Then the successor is killed.
func (f *faults) pauseCoordinatorKillSuccessor(ctx context.Context, d draw) {
	group := f.group(d)
	f.world.awaitSwitch(ctx, group, d)
	first := f.world.coordinator(group)
	first.agent.signal(syscall.SIGSTOP)
	second := f.world.awaitSuccessor(ctx, group, first)
	f.world.awaitSwitch(ctx, group, d)
	first.agent.signal(syscall.SIGCONT)
	second.agent.signal(syscall.SIGKILL)
}

// killAgents kills all agents of a group (variant 0), or all but that of one rank, at once.
func (f *faults) killAgents(ctx context.Context, d draw) {
	group := f.group(d)
	f.world.awaitSwitch(ctx, group, d)
	agents := f.world.agentsOf(group)
	for i, a := range agents {
		if d.variant == 0 || i != d.which/len(f.world.groups)%len(agents) {
			a.signal(syscall.SIGKILL)
		}
	}
}

// crashRank crashes a rank in the middle of a switch of its group, which is formed again.
func (f *faults) crashRank(ctx context.Context, d draw) {
	w, group := f.world, f.group(d)
	w.awaitSwitch(ctx, group, d)
	plain, ranks := len(w.backends)-len(w.agents), len(w.agents)/len(w.groups)
	i := plain + group*ranks + d.which/len(w.groups)%ranks
	f.crash(ctx, i, w.backends[i].current(), d)
}
