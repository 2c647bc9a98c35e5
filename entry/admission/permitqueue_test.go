package admission

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestOrderOfPermitQueue(t *testing.T) {
	is := is.New(t)
	now := time.Unix(0, 0)
	entries := []*QueueEntry{ // in the order in which they are sent
		{Priority: 0, Until: now.Add(2 * time.Second)},
		{Priority: 1, Until: now.Add(time.Second)},
		{Priority: 1, Until: now.Add(3 * time.Second)},
		{Retry: true, Priority: 0, Until: now.Add(time.Second)},
		{Retry: true, Priority: 2, Until: now},
	}
	var queue PermitQueue
	for i := range entries {
		queue.Join(entries[len(entries)-1-i])
	}
	for i, e := range entries {
		is.Equal(queue.Ahead(e), i)
	}
	is.Equal(queue.Ahead(&QueueEntry{Priority: 1, Until: now.Add(2 * time.Second)}), 2) // a request that is not in the queue
	queue.Leave(entries[0])
	is.Equal(queue.Ahead(entries[2]), 1)
	for _, e := range entries {
		queue.Leave(e)
	}
	is.True(queue.Empty())
}

func TestMayWaitForPermit(t *testing.T) {
	base := Request{Objective: 400 * ms, Limit: 2 * time.Second, FirstAnswer: 100 * ms}
	cases := []struct {
		name string
		edit func(*Request)
		wait time.Duration
		want bool
	}{
		{"soon", nil, 140 * ms, true},
		{"not surely in time", nil, 160 * ms, false},
		{"its caller leaves before", func(r *Request) { r.Limit = 300 * ms }, 140 * ms, false},
		{"late", func(r *Request) { r.Age = 350 * ms }, 0, false},
		{"no objective", func(r *Request) { r.Objective = 0 }, 900 * ms, true},
		{"no objective, its caller leaves before", func(r *Request) { r.Objective = 0 }, 1000 * ms, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			r := base
			if c.edit != nil {
				c.edit(&r)
			}
			is.New(t).Equal(MayWaitForPermit(r, QueueEstimate{Next: c.wait}), c.want)
		})
	}
}

// Callers must retry at the rate of the permits, however many callers there are.
func TestCallersRefusedForLackOfAPermitRetryInSequence(t *testing.T) {
	is := is.New(t)
	now := time.Unix(0, 0)
	var p PermitPacer
	for i := range 5 {
		is.Equal(p.Pause(QueueEstimate{Next: 300 * ms, Gap: 250 * ms}, 0, now), 300*ms+time.Duration(i)*250*ms)
	}
	for range 1000 {
		pause := p.Pause(QueueEstimate{Next: 300 * ms, Gap: 250 * ms}, 0.5, now)
		is.True(pause > 0)
		is.True(pause <= maxRetryAfter)
	}
	is.True(p.Pause(QueueEstimate{Next: 300 * ms, Gap: 250 * ms}, 1, now) >= maxRetryAfter*4/5) // no retry time is left within the bound
	is.Equal(p.Pause(QueueEstimate{}, 0, now.Add(time.Minute)), minRetryAfter)                  // all assigned retry times are in the past
}

// A request waits for the end of a backoff if it can be served long before its caller
// leaves, even if it is late.
func TestMayWaitForBackoff(t *testing.T) {
	request := Request{Objective: 400 * ms, Limit: 1900 * ms, FirstAnswer: 100 * ms}
	cases := []struct {
		name string
		age  time.Duration
		wait QueueEstimate
		want bool
		keep bool
	}{
		{"it ends soon", 0, QueueEstimate{Next: 200 * ms}, true, true},
		{"after the objective", 0, QueueEstimate{Next: 800 * ms}, true, true},
		{"late already", 600 * ms, QueueEstimate{Next: 500 * ms}, true, true},
		{"not sure", 0, QueueEstimate{Next: 1000 * ms}, false, true},
		{"others go first", 0, QueueEstimate{Next: 200 * ms, Queue: 800 * ms}, false, true},
		{"after the caller has left", 0, QueueEstimate{Next: 1900 * ms}, false, false},
		{"a backoff of a day", 0, QueueEstimate{Next: 24 * time.Hour}, false, false},
		{"too late for its caller", 1850 * ms, QueueEstimate{}, false, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			r := request
			r.Age = c.age
			is.Equal(MayWaitForBackoff(r, c.wait), c.want)
			is.Equal(MayKeepWaitingForBackoff(r, c.wait), c.keep)
		})
	}
}

// Callers refused while all servers are in a backoff must retry one after another, none
// before the end of the backoff.
func TestCallersRetryInSequenceAfterABackoff(t *testing.T) {
	is := is.New(t)
	var p PermitPacer
	now := time.Unix(0, 0)
	estimate := QueueEstimate{Next: 8 * time.Second, Gap: 250 * ms}
	for i := range 10 {
		is.Equal(p.PauseAfterBackoff(estimate, 0, now), estimate.Next+time.Duration(i)*estimate.Gap)
	}
	for range 100 {
		pause := p.PauseAfterBackoff(estimate, 0.9, now)
		is.True(pause >= estimate.Next)
		is.True(pause <= estimate.Next+maxRetryAfter)
	}
	is.True(p.PauseAfterBackoff(QueueEstimate{Next: 24 * time.Hour, Gap: ms}, 0, now) >= 24*time.Hour)
}
