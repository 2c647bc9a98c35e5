package history

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/sourcegraph/conc"

	"baywall.example/agent/record"
	"baywall.example/core/configuration"
	"baywall.example/core/contract"
	"baywall.example/core/resource"
	"baywall.example/core/vm"
	"baywall.example/standin/ledger"
	"baywall.example/standin/load"
)

// handOver decides whether a recorded attempt is passed to the backend server.
type handOver func(*record.Table, *record.Attempt) bool

// presentation is one caller's presentation of a ticket, divided into steps that can
// interleave with those of other callers.
type presentation struct {
	ticket         *contract.Ticket
	id             contract.AttemptID
	queriesOutcome bool // queries the outcome after Accept
	nextStep       int  // step to execute next
	verdict        record.Verdict
	result         load.Result
}

// Steps of a presentation.
const (
	stepAccept = iota
	stepQuery
	stepHandOver
	stepCount
)

// presentTickets lets several callers present tickets to one agent's record, some
// of which also query the outcome of their attempt, and returns the history. The
// seed alone determines how their steps interleave. Each step takes a millisecond.
func presentTickets(seed uint64, decide handOver) ([]load.Result, []ledger.Execution) {
	rnd := rand.New(rand.NewPCG(seed, 0))
	now := time.Unix(1_700_000_000, 0)
	incarnation := vm.NewIncarnation(now)
	table := record.NewTable("a", incarnation, record.Limits{})
	var waiting []*presentation
	for i := range 40 {
		work := fmt.Sprintf("work-%d", i/4) // 4 presentations of each ticket
		waiting = append(waiting, &presentation{
			ticket:         &contract.Ticket{Service: "s", VM: "a", Incarnation: incarnation, Nonce: work, Issued: now, Expires: now.Add(time.Minute)},
			id:             contract.AttemptID{Request: contract.RequestID(fmt.Sprint(i)), Number: 1},
			queriesOutcome: rnd.IntN(2) == 0,
			result:         load.Result{Request: load.Request{Work: work, NonIdempotent: true}, Outcome: load.Unknown},
		})
	}
	var results []load.Result
	var executions []ledger.Execution
	for clock := now; len(waiting) > 0; {
		clock = clock.Add(time.Millisecond)
		at := rnd.IntN(len(waiting))
		p := waiting[at]
		if p.step(table, decide, clock) {
			executions = append(executions, ledger.Execution{Work: p.result.Work, At: clock})
		}
		if p.nextStep == stepCount {
			p.result.Returned = clock.Add(time.Microsecond)
			results = append(results, p.result)
			waiting = append(waiting[:at], waiting[at+1:]...)
		}
	}
	return results, executions
}

// step executes the presentation's next step and reports whether its work ran.
func (p *presentation) step(table *record.Table, decide handOver, now time.Time) (ran bool) {
	defer func() { p.nextStep++ }()
	switch p.nextStep {
	case stepAccept:
		p.result.Called = now
		p.verdict = table.Accept(p.id, p.ticket, now)
	case stepQuery:
		if p.queriesOutcome {
			table.Fate(record.Query{ID: p.id, Incarnation: p.ticket.Incarnation, Sent: p.result.Called, Deadline: p.ticket.Expires}, now)
		}
	case stepHandOver:
		return p.handOver(table, decide, now)
	}
	return false
}

func (p *presentation) handOver(table *record.Table, decide handOver, now time.Time) (ran bool) {
	switch {
	case p.verdict.Action == record.ActionRefuse:
		p.result.Outcome = load.Outcome(p.verdict.Refusal.Outcome)
	case p.verdict.Action == record.ActionRun && decide(table, p.verdict.Attempt):
		table.Finish(p.verdict.Attempt, now)
		p.result.Outcome = load.Answered
		return true
	case p.verdict.Action == record.ActionRun:
		p.result.Outcome = load.NotRun
	}
	return false
}

func TestRecordOutcomesAreLegal(t *testing.T) {
	is := is.New(t)
	for seed := range uint64(30) {
		results, executions := presentTickets(seed, func(t *record.Table, a *record.Attempt) bool { return t.HandOver(a) })
		is.NoErr(CheckOutcomes(results, executions))
	}
}

// A record that ignores tombstones passes on work that other callers were told did
// not run. The check must detect this.
func TestRunOfTombstonedAttemptIsDetected(t *testing.T) {
	for seed := range uint64(300) {
		results, executions := presentTickets(seed, func(t *record.Table, a *record.Attempt) bool {
			t.HandOver(a)
			return true
		})
		if CheckOutcomes(results, executions) != nil {
			return
		}
	}
	t.Fatal("not detected in 300 seeds")
}

func TestOutcomeModel(t *testing.T) {
	at := func(ms int) time.Time { return time.UnixMilli(int64(1000 + ms)) }
	result := func(outcome load.Outcome, once bool, from, to int) load.Result {
		return load.Result{Request: load.Request{Work: "w", NonIdempotent: once}, Outcome: outcome, Called: at(from), Returned: at(to)}
	}
	run := func(ms int) ledger.Execution { return ledger.Execution{Work: "w", At: at(ms)} }
	cases := []struct {
		name    string
		results []load.Result
		runs    []ledger.Execution
		legal   bool
	}{
		{"answered after a run", []load.Result{result(load.Answered, true, 0, 10)}, []ledger.Execution{run(5)}, true},
		{"answered without a run", []load.Result{result(load.Answered, true, 0, 10)}, nil, false},
		{"run twice", []load.Result{result(load.Answered, true, 0, 10)}, []ledger.Execution{run(5), run(6)}, false},
		{"idempotent, run twice", []load.Result{result(load.Answered, false, 0, 10)}, []ledger.Execution{run(5), run(6)}, true},
		{"not-run, never ran", []load.Result{result(load.NotRun, true, 0, 10)}, nil, true},
		{"not-run, ran before", []load.Result{result(load.NotRun, true, 0, 10)}, []ledger.Execution{run(5)}, false},
		{"not-run, ran afterwards", []load.Result{result(load.NotRun, true, 0, 10)}, []ledger.Execution{run(50)}, false},
		{"unknown, ran afterwards", []load.Result{result(load.Unknown, true, 0, 10)}, []ledger.Execution{run(50)}, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			is.Equal(CheckOutcomes(c.results, c.runs) == nil, c.legal)
		})
	}
}

// applyConcurrently applies revisions in random order to a store while readers
// observe which one is in force.
func applyConcurrently(seed uint64, apply func(*configuration.Store, configuration.Batch)) *Revisions {
	store := configuration.NewStore(false)
	key := resource.Key{Kind: resource.KindTeam, Name: "t"}
	seen := &Revisions{}
	var writers, readers conc.WaitGroup
	for w := range 4 {
		writers.Go(func() {
			rnd := rand.New(rand.NewPCG(seed, uint64(w)))
			for range 50 {
				rev := 1 + rnd.Uint64N(100)
				spec := []byte(fmt.Sprintf(`{"concurrency": %d}`, rev))
				apply(store, configuration.Batch{Revision: rev, Records: []configuration.Record{{Key: key, Revision: rev, Spec: spec}}})
			}
		})
	}
	for range 3 {
		readers.Go(func() {
			for range 100 {
				called := time.Now()
				revision := store.View().Version(key)
				seen.Observe("vm", revision, called, time.Now())
			}
		})
	}
	writers.Wait()
	readers.Wait()
	return seen
}

func TestStoreRevisionsAreLegal(t *testing.T) {
	is := is.New(t)
	for seed := range uint64(20) {
		seen := applyConcurrently(seed, func(s *configuration.Store, b configuration.Batch) { s.Apply(b) })
		is.NoErr(seen.Check())
	}
}

// A process that restarts with an empty store and accepts the first revision that it
// receives reverts to an older one. The check must detect this.
func TestRevertAfterRestartIsDetected(t *testing.T) {
	for seed := range uint64(100) {
		if revertDetected(seed) {
			return
		}
	}
	t.Fatal("not detected in 100 seeds")
}

func revertDetected(seed uint64) bool {
	rnd := rand.New(rand.NewPCG(seed, 0))
	key := resource.Key{Kind: resource.KindTeam, Name: "t"}
	seen := &Revisions{}
	for range 20 {
		store := configuration.NewStore(false) // the fault to detect: each restart begins with an empty store
		rev := 1 + rnd.Uint64N(100)
		spec := []byte(fmt.Sprintf(`{"concurrency": %d}`, rev))
		store.Apply(configuration.Batch{Revision: rev, Records: []configuration.Record{{Key: key, Revision: rev, Spec: spec}}})
		called := time.Now()
		seen.Observe("vm", store.View().Version(key), called, time.Now())
	}
	return seen.Check() != nil
}
