package record

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/sourcegraph/conc"

	"baywall.example/core/contract"
	"baywall.example/core/vm"
)

var (
	start = time.Unix(1_700_000_000, 0)
	self  = vm.NewIncarnation(start)
)

func attempt(request string, n uint32) contract.AttemptID {
	return contract.AttemptID{Request: contract.RequestID(request), Number: n}
}

func query(id contract.AttemptID, sent time.Time) Query {
	return Query{ID: id, Incarnation: self, Sent: sent, Deadline: sent.Add(time.Minute)}
}

func ticket(nonce string, incarnation vm.Incarnation, issued time.Time) *contract.Ticket {
	return &contract.Ticket{Service: "s", VM: "a", Incarnation: incarnation, Nonce: nonce, Issued: issued, Expires: issued.Add(30 * time.Second)}
}

func TestFateExcludesHandOver(t *testing.T) {
	is := is.New(t)
	table := NewTable("a", self, Limits{})
	v := table.Accept(attempt("r", 1), nil, start)
	is.Equal(v.Action, ActionRun)
	is.Equal(table.Fate(query(attempt("r", 1), start), start), FateTombstoned)
	is.True(!table.HandOver(v.Attempt))

	v = table.Accept(attempt("r", 2), nil, start)
	is.True(table.HandOver(v.Attempt))
	is.Equal(table.Fate(query(attempt("r", 2), start), start), FateRunning)
	table.Finish(v.Attempt, start)
	is.Equal(table.Fate(query(attempt("r", 2), start), start), FateAnswered)
}

func TestFateOfAnUnseenAttemptRefusesItLater(t *testing.T) {
	is := is.New(t)
	table := NewTable("a", self, Limits{})
	is.Equal(table.Fate(query(attempt("r", 1), start), start), FateTombstoned)
	v := table.Accept(attempt("r", 1), nil, start.Add(time.Second))
	is.Equal(v.Action, ActionRefuse)
	is.Equal(v.Refusal.Outcome, contract.NotRun)
}

func TestFateOfAnotherIncarnationIsLost(t *testing.T) {
	is := is.New(t)
	table := NewTable("a", self, Limits{})
	q := query(attempt("r", 1), start)
	q.Incarnation = self - 1
	is.Equal(table.Fate(q, start), FateLost)
}

// A finished attempt that was forgotten must not be reported as one that never arrived.
func TestFateOfAForgottenAttemptIsNotTombstoned(t *testing.T) {
	cases := []struct {
		name   string
		limits Limits
		later  time.Duration
	}{
		{"by age", Limits{Retention: time.Second}, 2 * time.Second},
		{"by number", Limits{Finished: shardCount}, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			table := NewTable("a", self, c.limits)
			first := attempt("r", 1)
			v := table.Accept(first, nil, start)
			is.True(table.HandOver(v.Attempt))
			table.Finish(v.Attempt, start)
			now := start.Add(c.later)
			for n := uint32(2); n < 10; n++ { // same request, hence same shard
				v := table.Accept(attempt("r", n), nil, now)
				table.HandOver(v.Attempt)
				table.Finish(v.Attempt, now)
			}
			is.Equal(table.Fate(query(first, start), now), FateLost)
			late := now.Add(time.Second)
			is.Equal(table.Fate(query(attempt("r", 99), late), late), FateTombstoned)
		})
	}
}

func TestTickets(t *testing.T) {
	later := func(d time.Duration) time.Time { return start.Add(d) }
	cases := []struct {
		name    string
		ticket  *contract.Ticket
		now     time.Time
		action  Action
		outcome contract.Outcome
	}{
		{"fresh", ticket("n", self, start), later(time.Second), ActionRun, ""},
		{"expired, never presented", ticket("n", self, start), later(40 * time.Second), ActionRefuse, contract.NotRun},
		{"expired, nonce forgotten", ticket("n", self, start), later(2 * time.Minute), ActionRefuse, contract.Unknown},
		{"earlier incarnation", ticket("n", self-1, start.Add(-time.Second)), later(time.Second), ActionRefuse, contract.Unknown},
		{"earlier incarnation, issued within the clock skew", ticket("n", self-1, start.Add(400*time.Millisecond)), later(time.Second), ActionRefuse, contract.Unknown},
		{"earlier incarnation, issued after this one started", ticket("n", self-1, start.Add(time.Second)), later(2 * time.Second), ActionRefuse, contract.NotRun},
		{"later incarnation", ticket("n", self+1, start.Add(time.Second)), later(2 * time.Second), ActionRefuse, contract.Unknown},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			v := NewTable("a", self, Limits{}).Accept(attempt("r", 1), c.ticket, c.now)
			is.Equal(v.Action, c.action)
			if c.action == ActionRefuse {
				is.Equal(v.Refusal.Outcome, c.outcome)
			}
		})
	}
	t.Run("for another VM", func(t *testing.T) {
		is := is.New(t)
		other := ticket("n", self, start)
		other.VM = "b"
		v := NewTable("a", self, Limits{}).Accept(attempt("r", 1), other, start)
		is.Equal(v.Refusal.Outcome, contract.Unknown)
	})
}

func TestTicketJoinsTheFirstExecution(t *testing.T) {
	is := is.New(t)
	table := NewTable("a", self, Limits{Retention: time.Second})
	first := table.Accept(attempt("r", 1), ticket("n", self, start), start)
	is.True(table.HandOver(first.Attempt))
	again := table.Accept(attempt("q", 1), ticket("n", self, start), start)
	is.Equal(again.Action, ActionJoin)
	is.Equal(again.Attempt, first.Attempt)
	table.Finish(first.Attempt, start)

	// The answer may be dropped, but not the record that the attempt ran.
	now := start.Add(20 * time.Second)
	table.Accept(attempt("r", 2), nil, now)
	late := table.Accept(attempt("p", 1), ticket("n", self, start), now)
	is.Equal(late.Action, ActionJoin)
	reader := late.Attempt.Answer.Attach(0)
	defer reader.Detach()
	late.Attempt.Answer.Finish(nil)
	_, _, err := reader.Next(context.Background(), make([]byte, 1))
	is.True(err == nil || err == ErrEvicted)
}

// A caller that received "not-run" may have sent the ticket before through another entry
// VM, where it was delayed.
func TestTicketRefusedAsNotRunNeverRuns(t *testing.T) {
	is := is.New(t)
	table := NewTable("a", self, Limits{})
	first := table.Accept(attempt("r", 1), ticket("n", self, start), start)
	is.Equal(table.Fate(query(attempt("r", 1), start), start), FateTombstoned)
	is.True(!table.HandOver(first.Attempt))
	again := table.Accept(attempt("q", 1), ticket("n", self, start), start)
	is.Equal(again.Action, ActionRefuse)
	is.Equal(again.Refusal.Outcome, contract.NotRun)

	// The same holds if the query came before the attempt.
	is.Equal(table.Fate(query(attempt("s", 1), start), start), FateTombstoned)
	is.Equal(table.Accept(attempt("s", 1), ticket("m", self, start), start).Action, ActionRefuse)
	is.Equal(table.Accept(attempt("t", 1), ticket("m", self, start), start).Action, ActionRefuse)
}

// A ticket that cannot be remembered is not reported as "not-run": it may run once the
// number of remembered tickets has fallen.
func TestTooManyTicketsAreRefusedAsUnknown(t *testing.T) {
	is := is.New(t)
	table := NewTable("a", self, Limits{Tickets: 2})
	is.Equal(table.Accept(attempt("r", 1), ticket("1", self, start), start).Action, ActionRun)
	is.Equal(table.Accept(attempt("r", 2), ticket("2", self, start), start).Action, ActionRun)
	v := table.Accept(attempt("r", 3), ticket("3", self, start), start)
	is.Equal(v.Refusal.Outcome, contract.Unknown)
	is.Equal(table.Accept(attempt("r", 4), ticket("1", self, start), start).Action, ActionJoin)
}

// Concurrent presentations of one ticket, together with fate queries, run it at most
// once, and never after a query reported that it had not run.
func TestConcurrentPresentationsRunOnce(t *testing.T) {
	is := is.New(t)
	for round := range 200 {
		table := NewTable("a", self, Limits{})
		var runs [8]bool
		var wg conc.WaitGroup
		for i := range runs {
			wg.Go(func() {
				v := table.Accept(attempt("r", uint32(i+1)), ticket("n", self, start), start)
				if v.Action == ActionRun {
					runs[i] = table.HandOver(v.Attempt)
				}
			})
			if i%4 == 0 {
				wg.Go(func() { table.Fate(query(attempt("r", uint32(i+1)), start), start) })
			}
		}
		wg.Wait()
		n := 0
		for _, ran := range runs {
			if ran {
				n++
			}
		}
		if n > 1 {
			t.Fatalf("round %d: handed over %d times", round, n)
		}
	}
	is.True(true)
}

func TestAnswerWindow(t *testing.T) {
	is := is.New(t)
	a := newAnswer()
	ctx := context.Background()
	reader := a.Attach(0)
	late := make(chan error, 1)
	piece := make([]byte, window)
	is.NoErr(a.Append(ctx, piece))
	go func() { late <- a.Append(ctx, piece) }() // waits for the reader
	buf := make([]byte, window)
	got := 0
	for got < 2*window {
		n, _, err := reader.Next(ctx, buf)
		is.NoErr(err)
		got += n
	}
	is.NoErr(<-late)
	a.Finish(nil)
	_, done, err := reader.Next(ctx, buf)
	is.NoErr(err)
	is.True(done)
	stale := a.Attach(0)
	_, _, err = stale.Next(ctx, buf)
	is.Equal(err, ErrEvicted)
}
