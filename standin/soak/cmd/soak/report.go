package main

import (
	"fmt"
	"maps"
	"sort"
	"strings"
	"time"

	"baywall.example/platform/standin"
)

// report is the result of one seed.
type report struct {
	seed      uint64
	processes int
	outcomes  map[standin.Outcome]int
	injected  map[string]int
	ranks     standin.GroupSettings
	version   uint64        // largest map version in use at the end
	switches  int           // of all groups
	held      time.Duration // for how long groups were held, in total
	wrongMaps standin.WrongMaps
	// switchesExpected is whether a run without any switch shows nothing.
	switchesExpected bool
	// quarantined counts the lethal requests that ended at least three backend servers.
	quarantined  int
	limits       int           // announced by backend servers
	backoffs     int           // backoffs that backend servers asked for
	retries      int           // arrivals at backend servers beyond the first of their request
	surgeRefused int           // requests of surges that were refused for lack of capacity
	slowest      time.Duration // refusal of a request through an undisturbed gateway
	leaveNotices int           // gateways informed by a response that a backend server leaves
	violations   []string
	logs         string
}

const (
	// A request that was sent up to stopWindow after a planned stop, or up to callerDeadline
	// before it, and was cut off counts as cut off by the stop, unless another fault was in
	// force at some time from otherFaultMargin before the request was sent until its
	// deadline.
	stopWindow       = 9 * time.Second
	otherFaultMargin = 4 * time.Second
	// catchUpTime is how long after a pause a gateway may still act on what it knew before:
	// the users' rules allow it the time to exchange state again, at least 3 s.
	catchUpTime = 3 * time.Second
	// settle is how long the fleet may take to recover once the faults have ended.
	settle = 4 * time.Second
	// servedShare is the minimum fraction of requests that is served after settle.
	servedShare = 0.95
)

func (r *report) violatedf(format string, args ...any) {
	r.violations = append(r.violations, fmt.Sprintf(format, args...))
}

// check checks the guarantees against what callers and backend servers observed.
func (r *report) check(w *world, l *load, f *faults, watcher *configWatcher, healedAt time.Time) {
	r.injected = f.injected
	probes := watcher.all()
	r.outcomes = make(map[standin.Outcome]int)
	for _, a := range l.attempts {
		r.outcomes[a.Outcome]++
		r.checkAttempt(w, f, a)
	}
	r.checkRecovery(l, healedAt)
	r.checkMaps(w)
	r.checkLeft(w, l, f, probes)
	r.checkLethal(w, l, f)
	r.checkLimits(w, l, f, probes)
	r.checkNotices(w, l, f, probes)
	r.checkRetries(w, sentBy(l, f, probes))
	r.checkSurges(w, l, f)
	r.checkCold(w)
	r.checkProcesses(w)
	r.checkConfig(w, l)
	r.checkInForce(watcher)
}

// checkMaps reports the passes that ranks of a group began with different maps, and a run that
// shows nothing about that because no group switched maps.
func (r *report) checkMaps(w *world) {
	for _, g := range w.groups {
		for _, m := range g.MixedPasses() {
			r.violatedf("group %s: ranks began a pass with different maps: %s", g.Name, m)
		}
		version, switches, held := g.State()
		r.version, r.switches, r.held = max(r.version, version), r.switches+switches, r.held+held
		wrong := g.WrongMaps()
		r.wrongMaps.Invalid += wrong.Invalid
		r.wrongMaps.Ambiguous += wrong.Ambiguous
	}
	if r.switchesExpected && r.switches == 0 {
		r.violatedf("the run shows nothing about expert maps: no group switched")
	}
}

// checkLeft reports requests that a backend server received after it had left. Requests
// that a gateway sent during a pause or shortly after it are allowed.
func (r *report) checkLeft(w *world, l *load, f *faults, probes map[string]standin.Attempt) {
	sent := maps.Clone(probes)
	for _, a := range l.attempts {
		sent[a.ID] = a
	}
	for _, b := range w.backends {
		for _, runner := range b.incarnations {
			for _, id := range runner.LateRequests() {
				if a, ok := sent[id]; !ok || !f.recentlyPaused(a.Gateway, a.Sent) {
					r.violatedf("%s received %s after it had left, through %s", runner.ID, id, a.Gateway)
				}
			}
		}
	}
}

func (r *report) checkAttempt(w *world, f *faults, a standin.Attempt) {
	runs := w.ledger.Runs(a.ID)
	if a.Mismatch != "" {
		r.violatedf("%s (%s): wrong answer: %s", a.ID, a.Kind, a.Mismatch)
	}
	if a.Kind == standin.KindUnsafe && runs > 1 {
		r.violatedf("%s is not idempotent and ran %d times", a.ID, runs)
	}
	if a.Outcome == standin.Refused && runs > 0 {
		r.violatedf("%s (%s) was refused with %d and ran: %s", a.ID, a.Kind, a.Status, a.Detail)
	}
	if a.Status == 401 || a.Status == 404 {
		r.violatedf("%s (%s) received status %d on a permanent route", a.ID, a.Kind, a.Status)
	}
	if a.Outcome != standin.Disconnected {
		return
	}
	for _, stop := range f.stopping[a.Gateway] {
		around := a.Sent.After(stop.Add(-callerDeadline)) && a.Sent.Before(stop.Add(stopWindow))
		if around && !f.disruptedBetween(a.Sent.Add(-otherFaultMargin), a.Sent.Add(callerDeadline)) {
			r.violatedf("%s (%s) was cut by the graceful stop of %s: %s", a.ID, a.Kind, a.Gateway, a.Detail)
		}
	}
}

func (r *report) checkRecovery(l *load, healedAt time.Time) {
	served, all := 0, 0
	for _, a := range l.attempts {
		if a.Sent.Before(healedAt.Add(settle)) {
			continue
		}
		all++
		if a.Outcome == standin.Served {
			served++
		}
	}
	if all == 0 || float64(served) < servedShare*float64(all) {
		r.violatedf("%d of %d requests served after the faults", served, all)
	}
}

// checkInForce adds the violations that the configuration watcher found and checks that it
// sent probes.
func (r *report) checkInForce(i *configWatcher) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if len(i.probes) == 0 {
		r.violatedf("no gateway was probed for the configuration in force")
	}
	for _, b := range i.violations {
		r.violatedf("%s", b)
	}
}

func (r *report) checkProcesses(w *world) {
	for _, g := range w.gateways {
		for _, exit := range g.unexpectedExits() {
			r.violatedf("unexpected exit: %s", exit)
		}
	}
	for _, a := range w.agents {
		for _, exit := range a.unexpectedExits() {
			r.violatedf("unexpected exit: %s", exit)
		}
	}
}

// checkConfig checks that every gateway serves the route of the current configuration
// version and no longer serves the route of the version two before it.
func (r *report) checkConfig(w *world, l *load) {
	version, _ := w.config.current()
	sender := &standin.Caller{Host: host, Key: teamKey, Connect: l.connect, Deadline: callerDeadline}
	ask := func(g *gateway, version uint64) int {
		conn, err := sender.Dial(g.front)
		if err != nil {
			return 0
		}
		defer conn.Close()
		a, _ := sender.Send(conn, fmt.Sprintf("c-%s-%d", g.vm, version), standin.KindSafe, versionPath(version)+"x")
		return a.Status
	}
	for _, g := range w.gateways {
		if status := ask(g, version); status != 200 {
			r.violatedf("%s responds with status %d on the route of version %d, which is in force", g.vm, status, version)
		}
		if version > 2 {
			if status := ask(g, version-2); status != 404 {
				r.violatedf("%s responds with status %d on the route of version %d, which was removed", g.vm, status, version-2)
			}
		}
	}
}

// maxPrinted is the maximum number of violations of one seed that are printed.
const maxPrinted = 12

// String formats the report for people to read.
func (r *report) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "seed %d: %d processes, %d switches to maps up to version %d (held %v, orders of %d invalid maps and %d second contents; copies of %v, %.2f unanswered, sorted lists %t), requests:",
		r.seed, r.processes, r.switches, r.version, r.held, r.wrongMaps.Invalid, r.wrongMaps.Ambiguous, r.ranks.CopyTime, r.ranks.Unanswered, r.ranks.SortedLists)
	for o := standin.Served; o <= standin.TimedOut; o++ {
		if r.outcomes[o] > 0 {
			fmt.Fprintf(&b, " %d %s", r.outcomes[o], o)
		}
	}
	fmt.Fprintf(&b, ", %d lethal, %d limits, %d rests, %d leavings, %d repeats", r.quarantined, r.limits, r.backoffs, r.leaveNotices, r.retries)
	fmt.Fprintf(&b, ", %d of surges refused, slowest refusal %v", r.surgeRefused, r.slowest.Round(time.Millisecond))
	names := make([]string, 0, len(r.injected))
	total := 0
	for name, n := range r.injected {
		names = append(names, fmt.Sprintf("%s %d", name, n))
		total += n
	}
	sort.Strings(names)
	fmt.Fprintf(&b, "\n  %d faults: %s", total, strings.Join(names, ", "))
	if len(r.violations) == 0 {
		b.WriteString("\n  every promise kept")
		if r.logs != "" {
			b.WriteString("; logs: " + r.logs)
		}
		return b.String()
	}
	for _, line := range r.violations[:min(len(r.violations), maxPrinted)] {
		fmt.Fprintf(&b, "\n  BROKEN: %s", line)
	}
	fmt.Fprintf(&b, "\n  %d broken; logs: %s", len(r.violations), r.logs)
	return b.String()
}
