package gateway

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"baywall.example/core/cluster"
	"baywall.example/entry/balance"
	"baywall.example/entry/catalog"
	"baywall.example/entry/retry"
)

// A stream that is moved has run. If its new server is full for a moment, the stream waits
// until its caller gives up rather than being aborted as late.
func TestMovedStreamWaitsUntilCallerGivesUp(t *testing.T) {
	is := is.New(t)
	agent, err := cluster.NewNode(freeAddress(t), nil, 0, func() cluster.Self { return cluster.Self{} }, zerolog.Nop())
	is.NoErr(err)
	w := start(t, 3, ok)
	stream := &catalog.Route{
		Kind: catalog.KindStream, Resumable: true, Objective: 500 * time.Millisecond, GapTarget: 120 * time.Millisecond,
	}
	began := time.Now().Add(-time.Second)
	q := &request{
		g: w.gateway, ctx: t.Context(), service: "s", route: stream, began: began, deadline: began.Add(8 * time.Second),
		excluded: make(map[string]bool),
	}
	q.budget.Budget = w.gateway.retries.Of("s")
	for range 13 {
		q.budget.Request() // together they earn a retry
	}
	q.sequence = retry.Sequence{Idempotent: true, Deadline: q.deadline, Budget: &q.budget, MaxRuns: 2}
	q.sequence.Begin()
	from, found := w.gateway.registry.Pick(balance.Demand{Service: "s"}, time.Now())
	is.Equal(found, balance.Available)
	is.True(!q.move(from.Server, &streamState{lastID: "3"})) // its rank runs at normal speed
	agent.ReportSlowdown([]string{w.gateway.settings.Listen.Peers}, cluster.Slowdown{Engine: from.Server.Address, Slowdown: 3})
	for until := time.Now().Add(time.Second); !w.gateway.registry.TooSlow(from.Server) && time.Now().Before(until); {
		time.Sleep(time.Millisecond)
	}
	q.state, q.lastEvent = w.gateway.serviceStateOf("s"), time.Now()
	for range 100 {
		q.state.adjustWaiting(1, false) // many requests wait already
	}
	is.True(!q.mayWait(q.admissionRequest(time.Now()), time.Now()))
	is.True(q.move(from.Server, &streamState{lastID: "3"}))
	is.True(q.moveTo.Server != from.Server)
	is.True(q.mayWait(q.admissionRequest(time.Now()), time.Now()))
	is.True(q.admissionRequest(time.Now()).SlotWait() > time.Second)
}
