package main

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"baywall.example/core/wait"
	"baywall.example/platform/standin"
)

// faults plays the faults that a seed decides.
type faults struct {
	world   *world
	load    *load
	verbose bool
	pending sync.WaitGroup

	mu       sync.Mutex
	injected map[string]int
	lethal   []standin.Attempt
	rough    []span                 // while something other than planned work went on
	stopping map[string][]time.Time // of gateways by front, when they were told to stop
	paused   map[string][]span      // of gateways by front
	harmed   map[*relay][]span      // while what was sent there was held back or lost

	evacuated map[string]bool // availability zones
}

// span is a time in which a fault was in force.
type span struct{ from, to time.Time }

// fault is a kind of fault; play returns when it is over.
type fault struct {
	name    string
	planned bool // nobody may notice it
	play    func(f *faults, ctx context.Context, d draw)
}

// draw are the random choices of one fault, made when it is planned so that a
// seed decides them all.
type draw struct {
	which    int // of the things that fit
	duration time.Duration
	variant  int
}

const (
	// leastGap and gapSpread are between the begins of two faults, so that they
	// overlap: they last up to longestFault.
	leastGap     = 100 * time.Millisecond
	gapSpread    = 900 * time.Millisecond
	leastFault   = 200 * time.Millisecond
	longestFault = 3 * time.Second
)

// kinds are all kinds of faults. New ones come last: a seed goes on to decide the same
// faults if it is run with as many kinds as there were.
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
	{"store silent for one gateway", false, (*faults).cutStore},
	{"store away", false, (*faults).storeAway},
	{"store history dropped", false, (*faults).compactStore},
	{"lethal request", false, (*faults).sendLethal},
	{"store back from an older copy", false, (*faults).returnStore},
	{"limit named", true, (*faults).nameLimit},
	{"availability zone evacuated", true, (*faults).evacuate},
	{"rest asked by one", true, (*faults).askForRest},
	{"rest asked by all of a service", true, (*faults).askForRestOfAll},
	{"leaving told in answers", true, (*faults).leaveByAnswer},
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

// play plans and injects faults for a while, of the first kinds as far as a number is
// given, 0 = of all; with a focus half of them are of that.
func (f *faults) play(ctx context.Context, o options) {
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
	f.harmed = make(map[*relay][]span)
	f.evacuated = make(map[string]bool)
	rnd := f.world.rnd
	for end := time.Now().Add(o.length); time.Now().Before(end) && ctx.Err() == nil; {
		kind := kinds[rnd.IntN(among)]
		if len(focus) > 0 && rnd.IntN(2) == 0 {
			kind = focus[rnd.IntN(len(focus))]
		}
		d := draw{
			which:    rnd.IntN(1 << 20),
			duration: leastFault + time.Duration(rnd.Int64N(int64(longestFault-leastFault))),
			variant:  rnd.IntN(3),
		}
		gap := leastGap + time.Duration(rnd.Int64N(int64(gapSpread)))
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
	kind.play(f, ctx, d)
	if kind.planned {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.rough = append(f.rough, span{from, time.Now()})
}

// roughSince reports whether a fault that callers may notice was in force between
// two times.
func (f *faults) roughBetween(from, to time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, s := range f.rough {
		if s.from.Before(to) && s.to.After(from) {
			return true
		}
	}
	return false
}

// heal ends everything that is still in force.
func (f *faults) heal(context.Context) {
	w := f.world
	w.store.SetMode(standin.StoreServes)
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

// drainNotice is how long a leaving backend server goes on serving.
const drainNotice = 4 * time.Second

// replaceBackend publishes a backend server as leaving, and puts a new one in its
// place when it is gone.
func (f *faults) replaceBackend(ctx context.Context, d draw) {
	i := d.which % len(f.world.backends)
	if f.world.backends[i].group != nil {
		return // ranks of a group are not replaced one by one
	}
	f.replace(ctx, i, "", func(r *standin.Runner) {
		if d.variant == 0 {
			f.world.author.Delete(standin.ServerPrefix + r.ID)
		} else {
			f.world.list(i, r, true)
		}
		f.awaitWritten(ctx, standin.ServerPrefix+r.ID)
		r.Drain()
	})
}

// replace has a backend server say that it leaves, and puts a new incarnation in its place when it
// is gone: under its id if that is given.
func (f *faults) replace(ctx context.Context, i int, id string, leave func(*standin.Runner)) {
	w := f.world
	b := w.backends[i]
	r := b.current()
	leave(r)
	wait.Sleep(ctx, drainNotice)
	w.author.Delete(standin.ServerPrefix + r.ID)
	if b.current() != r {
		return // it crashed meanwhile
	}
	r.Crash()
	if err := w.startRunner(i, id); err != nil {
		fmt.Println("  backend server not started:", err)
	}
}

// awaitWritten waits until the store holds what was written and has been calm for the time of
// contact: by the users' rules a backend server counts as leaving from when the store has told
// so while it was stable. What it tells before may be lost again before anybody has heard it.
func (f *faults) awaitWritten(ctx context.Context, key string) {
	written := func() bool { return f.world.author.Holds(key) && f.world.store.Calm() >= contactTime }
	for !written() && wait.Sleep(ctx, storePoll) {
	}
}

// storePoll is how often it is looked whether the store holds an entry.
const storePoll = 10 * time.Millisecond

func (f *faults) killGateway(_ context.Context, d draw) {
	g := f.gateway(d)
	g.signal(syscall.SIGKILL)
	f.notePause(g, time.Now())
}

// notePause notes a time in which a gateway heard nothing.
func (f *faults) notePause(g *gateway, from time.Time) {
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
	f.notePause(g, from)
}

// noteHarm notes a time in which what was sent over a relay was held back or lost.
func (f *faults) noteHarm(r *relay, from time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.harmed[r] = append(f.harmed[r], span{from, time.Now()})
}

// harmedLately reports whether that was so at a time or within the time of contact before it.
func (f *faults) harmedLately(r *relay, at time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.ContainsFunc(f.harmed[r], func(s span) bool {
		return at.After(s.from) && at.Before(s.to.Add(contactTime))
	})
}

// pausedLately reports whether the gateway was paused at a time, or shortly before: it
// may not have heard yet what happened meanwhile.
func (f *faults) pausedLately(front string, at time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.ContainsFunc(f.paused[front], func(s span) bool {
		return at.After(s.from) && at.Before(s.to.Add(wakingTime))
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

// crashBackend ends a backend server without notice; a new incarnation takes its
// address. A rank's group is formed anew.
func (f *faults) crashBackend(ctx context.Context, d draw) {
	i := d.which % len(f.world.backends)
	f.crash(ctx, i, f.world.backends[i].current(), d)
}

// crash ends an incarnation, once.
func (f *faults) crash(ctx context.Context, i int, r *standin.Runner, d draw) {
	w := f.world
	b := w.backends[i]
	if !b.ends(r) {
		return
	}
	r.Crash()
	b.relay.down() // its host refuses connections
	wait.Sleep(ctx, d.duration/2)
	if b.current() != r || w.ctx.Err() != nil {
		return // replaced meanwhile
	}
	if b.group != nil {
		b.group.Form(b.rank)
	}
	if err := w.startRunner(i, ""); err != nil {
		fmt.Println("  backend server not started:", err)
	}
	wait.Sleep(ctx, d.duration/2) // the old entry's lease
	w.author.Delete(standin.ServerPrefix + r.ID)
}

func (f *faults) resetCallers(_ context.Context, d draw) { f.gateway(d).callers.reset() }

func (f *faults) silenceCallers(ctx context.Context, d draw) {
	f.silence(ctx, f.gateway(d).callers, d)
}

func (f *faults) silence(ctx context.Context, r *relay, d draw) {
	defer f.noteHarm(r, time.Now())
	r.silence(d.variant != 1, d.variant != 2)
	wait.Sleep(ctx, d.duration)
	r.silence(false, false)
}

func (f *faults) resetBackend(_ context.Context, d draw) {
	r := f.backend(d).relay
	r.reset()
	f.noteHarm(r, time.Now())
}

func (f *faults) silenceBackend(ctx context.Context, d draw) { f.silence(ctx, f.backend(d).relay, d) }

func (f *faults) delayBackend(ctx context.Context, d draw) {
	r := f.backend(d).relay
	defer f.noteHarm(r, time.Now())
	r.delay(d.duration / 10)
	wait.Sleep(ctx, d.duration)
	r.delay(0)
}

func (f *faults) cutStore(ctx context.Context, d draw) { f.silence(ctx, f.gateway(d).store, d) }

func (f *faults) storeAway(ctx context.Context, d draw) {
	mode := standin.StoreBusy
	if d.variant == 0 {
		mode = standin.StoreSilent
	}
	f.world.store.SetMode(mode)
	wait.Sleep(ctx, d.duration)
	f.world.store.SetMode(standin.StoreServes)
}

// mostLost bounds the changes that a copy of the store lacks.
const mostLost = 12

// returnStore has the store away for a moment and back from a copy that lacks its latest
// changes; what was written since is written again.
func (f *faults) returnStore(ctx context.Context, d draw) {
	mode := standin.StoreBusy
	if d.variant == 0 {
		mode = standin.StoreSilent
	}
	f.world.store.SetMode(mode)
	wait.Sleep(ctx, d.duration/3)
	f.world.store.Return(1 + d.which%mostLost)
	f.world.store.SetMode(standin.StoreServes)
}

func (f *faults) compactStore(context.Context, draw) { f.world.store.Compact() }
