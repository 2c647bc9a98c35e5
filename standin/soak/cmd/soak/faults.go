package main

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"baywall.example/core/wait"
	"baywall.example/platform/standin"
)

// faults injects the faults that a seed determines and records when they were in force.
type faults struct {
	world   *world
	load    *load
	verbose bool
	pending sync.WaitGroup

	mu          sync.Mutex
	injected    map[string]int         // number of injected faults by kind
	lethal      []standin.Attempt      // attempts of lethal requests
	disruptions []span                 // while a fault that callers may notice was in force
	stopping    map[string][]time.Time // when gateways were told to stop, by front address
	paused      map[string][]span      // while gateways were paused, by front address
	impaired    map[*relay][]span      // while bytes sent through the relay were delayed or lost

	evacuated map[string]bool // availability zones

	others  []span // while a fault other than a surge was in force
	surges  []span // while a surge was sent, without the requests after it
	surging atomic.Bool
}

// span is a period during which a fault was in force.
type span struct{ from, to time.Time }

// fault is a kind of fault. Its run function returns when the fault is over.
type fault struct {
	name    string
	planned bool // planned work, which callers must not notice
	run     func(f *faults, ctx context.Context, d draw)
}

// draw holds the random choices of one fault. They are all drawn before the fault is
// injected, so that the seed alone determines them.
type draw struct {
	which    int // selects the target, modulo the number of candidates
	duration time.Duration
	variant  int
}

const (
	// minGap and gapSpread determine the time between the starts of two faults: between
	// minGap and minGap+gapSpread. Faults last up to maxFault, so that they overlap.
	minGap    = 100 * time.Millisecond
	gapSpread = 900 * time.Millisecond
	minFault  = 200 * time.Millisecond
	maxFault  = 3 * time.Second
)

// kinds lists all kinds of faults. New kinds are appended, so that a seed still produces
// the same faults when it is run with the number of kinds that it was recorded with.
var kinds = []fault{
	{"gateway told to stop", true, (*faults).stopGateway},
	{"settings touched (HUP)", true, (*faults).hup},
	{"configuration changed", true, (*faults).changeConfig},
	{"backend server replaced", true, (*faults).replaceBackend},
	{"gateway killed", false, (*faults).killGateway},
	{"gateway paused", false, (*faults).pauseGateway},
	{"agent killed", false, (*faults).killAgent},
	{"agent paused", false, (*faults).pauseAgent},
	{"backend server crashed", false, (*faults).crashBackend},
	{"callers' connections reset", false, (*faults).resetCallers},
	{"callers silenced", false, (*faults).silenceCallers},
	{"backend connections reset", false, (*faults).resetBackend},
	{"backend silenced", false, (*faults).silenceBackend},
	{"backend delayed", false, (*faults).delayBackend},
	{"store silent for one gateway", false, (*faults).silenceStore},
	{"store away", false, (*faults).storeUnavailable},
	{"store history dropped", false, (*faults).compactStore},
	{"lethal request", false, (*faults).sendLethal},
	{"store back from an older copy", false, (*faults).restoreStore},
	{"limit named", true, (*faults).announceLimit},
	{"availability zone evacuated", true, (*faults).evacuate},
	{"rest asked by one", true, (*faults).askForBackoff},
	{"rest asked by all of a service", true, (*faults).askForBackoffOfService},
	{"leaving told in answers", true, (*faults).leaveByAnswer},
	{"requests of a service failed", false, (*faults).failRequests},
	{surgeName, true, (*faults).surge},
	{"lethal prompt part", false, (*faults).sendLethalPart},
	{"unframed answers", true, (*faults).answerUnframed},
	{"backend server back at once", false, (*faults).restartAtOnce},
	{"coordinators killed in series", false, (*faults).killCoordinators},
	{"coordinator paused in a switch", false, (*faults).pauseCoordinator},
	{"coordinator paused, its successor killed", false, (*faults).pauseCoordinatorKillSuccessor},
	{"agents of a group killed together", false, (*faults).killAgents},
	{"rank crashed in a switch", false, (*faults).crashRank},
	{"coordinator killed between switches", false, (*faults).killIdleCoordinator},
	{"abusive clients", true, (*faults).abuseGateway},
}

// focused returns the kinds whose names contain one of the words.
func focused(words string) []fault {
	var out []fault
	for _, k := range kinds {
		if slices.ContainsFunc(strings.Split(words, ","), func(w string) bool { return strings.Contains(k.name, w) }) {
			out = append(out, k)
		}
	}
	return out
}

// injectAll injects faults for o.length and waits until they are over. If o.kinds is not 0,
// it uses only that many kinds from the start of the list. With o.focus, half of the
// faults are of the kinds in focus, or all with o.only.
func (f *faults) injectAll(ctx context.Context, o options) {
	among := o.kinds
	if among == 0 {
		among = len(kinds)
	}
	var focus []fault
	if o.focus != "" {
		focus = focused(o.focus)
	}
	f.stopping = make(map[string][]time.Time)
	f.paused = make(map[string][]span)
	f.impaired = make(map[*relay][]span)
	f.evacuated = make(map[string]bool)
	rnd := f.world.rnd
	for end := time.Now().Add(o.length); time.Now().Before(end) && ctx.Err() == nil; {
		kind := kinds[rnd.IntN(among)]
		if len(focus) > 0 && (rnd.IntN(2) == 0 || o.only) {
			kind = focus[rnd.IntN(len(focus))]
		}
		d := draw{
			which:    rnd.IntN(1 << 20),
			duration: minFault + time.Duration(rnd.Int64N(int64(maxFault-minFault))),
			variant:  rnd.IntN(3),
		}
		gap := o.gap + minGap + time.Duration(rnd.Int64N(int64(gapSpread)))
		f.pending.Add(1)
		go func() {
			defer f.pending.Done()
			f.inject(ctx, kind, d)
		}()
		wait.Sleep(ctx, gap)
	}
	f.pending.Wait()
}

func (f *faults) inject(ctx context.Context, kind fault, d draw) {
	from := time.Now()
	f.mu.Lock()
	f.injected[kind.name]++
	if f.verbose {
		fmt.Printf("  %s %s %+v\n", from.Format("05.000"), kind.name, d)
	}
	f.mu.Unlock()
	kind.run(f, ctx, d)
	f.mu.Lock()
	defer f.mu.Unlock()
	if kind.name != surgeName {
		f.others = append(f.others, span{from, time.Now()})
	}
	if !kind.planned {
		f.disruptions = append(f.disruptions, span{from, time.Now()})
	}
}

// disruptedBetween reports whether a fault that callers may notice was in force between
// two times.
func (f *faults) disruptedBetween(from, to time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return overlaps(f.disruptions, from, to)
}

// overlaps reports whether one of the periods overlaps the one between two times.
func overlaps(periods []span, from, to time.Time) bool {
	return slices.ContainsFunc(periods, func(s span) bool { return s.from.Before(to) && s.to.After(from) })
}

// heal ends all faults that are still in force.
func (f *faults) heal(context.Context) {
	w := f.world
	w.store.SetMode(standin.StoreAvailable)
	for _, g := range w.gateways {
		g.callers.heal()
		g.store.heal()
		g.signal(syscall.SIGCONT)
	}
	for _, a := range w.agents {
		a.signal(syscall.SIGCONT)
	}
	for _, b := range w.backends {
		b.relay.heal()
	}
}

func (f *faults) gateway(d draw) *gateway { return f.world.gateways[d.which%len(f.world.gateways)] }
func (f *faults) backend(d draw) *backend { return f.world.backends[d.which%len(f.world.backends)] }

func (f *faults) stopGateway(_ context.Context, d draw) {
	g := f.gateway(d)
	f.mu.Lock()
	f.stopping[g.front] = append(f.stopping[g.front], time.Now())
	f.mu.Unlock()
	g.signal(syscall.SIGTERM)
}

func (f *faults) hup(_ context.Context, d draw) { f.gateway(d).signal(syscall.SIGHUP) }

func (f *faults) changeConfig(ctx context.Context, d draw) {
	for range d.variant + 1 {
		f.world.config.publish()
		wait.Sleep(ctx, d.duration/3)
	}
}

// drainNotice is how long a leaving backend server continues to serve requests.
const drainNotice = 4 * time.Second

// replaceBackend publishes that a backend server leaves, and replaces it by a new one
// once it has ended.
func (f *faults) replaceBackend(ctx context.Context, d draw) {
	i := d.which % len(f.world.backends)
	if f.world.backends[i].group != nil {
		return // ranks of a group are not replaced one by one
	}
	f.replace(ctx, i, "", func(r *standin.Runner) {
		if d.variant == 0 {
			f.world.reconciler.Delete(standin.ServerPrefix + r.ID)
		} else {
			f.world.list(i, r, true)
		}
		f.awaitWritten(ctx, standin.ServerPrefix+r.ID)
		r.MarkDraining()
	})
}

// replace calls leave on a backend server, ends it after drainNotice and starts a new
// incarnation in its place, with the given id or, if it is empty, with a new one.
func (f *faults) replace(ctx context.Context, i int, id string, leave func(*standin.Runner)) {
	w := f.world
	b := w.backends[i]
	r := b.current()
	leave(r)
	wait.Sleep(ctx, drainNotice)
	w.reconciler.Delete(standin.ServerPrefix + r.ID)
	if b.current() != r {
		return // it has crashed in the meantime
	}
	r.Crash()
	if err := w.startRunner(i, id); err != nil {
		fmt.Println("  backend server not started:", err)
	}
}

// awaitWritten waits until the store holds the written entry and has been stable for
// contactTime. By the users' rules a backend server counts as leaving once a stable store
// has published it; a change made before that may be lost before any gateway has read it.
func (f *faults) awaitWritten(ctx context.Context, key string) {
	written := func() bool { return f.world.reconciler.InSync(key) && f.world.store.HealthyFor() >= contactTime }
	for !written() && wait.Sleep(ctx, storePoll) {
	}
}

// storePoll is the interval at which awaitWritten polls the store.
const storePoll = 10 * time.Millisecond

func (f *faults) killGateway(_ context.Context, d draw) {
	g := f.gateway(d)
	g.signal(syscall.SIGKILL)
	f.recordPause(g, time.Now())
}

// recordPause records a period, ending now, in which a gateway received no updates.
func (f *faults) recordPause(g *gateway, from time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.paused[g.front] = append(f.paused[g.front], span{from, time.Now()})
}

func (f *faults) pauseGateway(ctx context.Context, d draw) {
	g := f.gateway(d)
	from := time.Now()
	g.signal(syscall.SIGSTOP)
	wait.Sleep(ctx, d.duration)
	g.signal(syscall.SIGCONT)
	f.recordPause(g, from)
}

// recordImpairment records a period, ending now, in which bytes sent through a relay were
// delayed or lost.
func (f *faults) recordImpairment(r *relay, from time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.impaired[r] = append(f.impaired[r], span{from, time.Now()})
}

// recentlyImpaired reports whether a relay was impaired at a time or within contactTime
// before it.
func (f *faults) recentlyImpaired(r *relay, at time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.ContainsFunc(f.impaired[r], func(s span) bool {
		return at.After(s.from) && at.Before(s.to.Add(contactTime))
	})
}

// recentlyPaused reports whether a gateway was paused at a time or within catchUpTime
// before it, so that it may not know yet what happened during the pause.
func (f *faults) recentlyPaused(front string, at time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.ContainsFunc(f.paused[front], func(s span) bool {
		return at.After(s.from) && at.Before(s.to.Add(catchUpTime))
	})
}

func (f *faults) agent(d draw) *process { return f.world.agents[d.which%len(f.world.agents)] }

func (f *faults) killAgent(_ context.Context, d draw) { f.agent(d).signal(syscall.SIGKILL) }

func (f *faults) pauseAgent(ctx context.Context, d draw) {
	a := f.agent(d)
	a.signal(syscall.SIGSTOP)
	wait.Sleep(ctx, d.duration)
	a.signal(syscall.SIGCONT)
}

// crashBackend ends a backend server without notice. A new incarnation is started at its
// address; if the server is a rank, its group is formed again.
func (f *faults) crashBackend(ctx context.Context, d draw) {
	i := d.which % len(f.world.backends)
	f.crash(ctx, i, f.world.backends[i].current(), d)
}

// crash crashes an incarnation, unless it has crashed already, and starts the next one.
func (f *faults) crash(ctx context.Context, i int, r *standin.Runner, d draw) {
	w := f.world
	b := w.backends[i]
	if !b.markCrashed(r) {
		return
	}
	r.Crash()
	b.relay.down() // its host refuses connections
	wait.Sleep(ctx, d.duration/2)
	if b.current() != r || w.ctx.Err() != nil {
		return // replaced in the meantime
	}
	if b.group != nil {
		b.group.StartEpoch(b.rank)
	}
	if err := w.startRunner(i, ""); err != nil {
		fmt.Println("  backend server not started:", err)
	}
	wait.Sleep(ctx, d.duration/2) // until the lease of the old entry expires
	w.reconciler.Delete(standin.ServerPrefix + r.ID)
}

func (f *faults) resetCallers(_ context.Context, d draw) { f.gateway(d).callers.reset() }

func (f *faults) silenceCallers(ctx context.Context, d draw) {
	f.silence(ctx, f.gateway(d).callers, d)
}

func (f *faults) silence(ctx context.Context, r *relay, d draw) {
	defer f.recordImpairment(r, time.Now())
	r.silence(d.variant != 1, d.variant != 2)
	wait.Sleep(ctx, d.duration)
	r.silence(false, false)
}

func (f *faults) resetBackend(_ context.Context, d draw) {
	r := f.backend(d).relay
	r.reset()
	f.recordImpairment(r, time.Now())
}

func (f *faults) silenceBackend(ctx context.Context, d draw) { f.silence(ctx, f.backend(d).relay, d) }

func (f *faults) delayBackend(ctx context.Context, d draw) {
	r := f.backend(d).relay
	defer f.recordImpairment(r, time.Now())
	r.delay(d.duration / 10)
	wait.Sleep(ctx, d.duration)
	r.delay(0)
}

func (f *faults) silenceStore(ctx context.Context, d draw) { f.silence(ctx, f.gateway(d).store, d) }

func (f *faults) storeUnavailable(ctx context.Context, d draw) {
	mode := standin.StoreUnavailable
	if d.variant == 0 {
		mode = standin.StoreUnresponsive
	}
	f.world.store.SetMode(mode)
	wait.Sleep(ctx, d.duration)
	f.world.store.SetMode(standin.StoreAvailable)
}

// maxLost bounds the number of latest changes that a restored copy of the store lacks.
const maxLost = 12

// restoreStore makes the store unavailable for a moment and then restores it from a copy
// that lacks its latest changes, which the reconciler writes again.
func (f *faults) restoreStore(ctx context.Context, d draw) {
	mode := standin.StoreUnavailable
	if d.variant == 0 {
		mode = standin.StoreUnresponsive
	}
	f.world.store.SetMode(mode)
	wait.Sleep(ctx, d.duration/3)
	f.world.store.Restore(1 + d.which%maxLost)
	f.world.store.SetMode(standin.StoreAvailable)
}

func (f *faults) compactStore(context.Context, draw) { f.world.store.Compact() }
