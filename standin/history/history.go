// Package history checks recorded histories of concurrent runs against models
// of what must always hold, with the porcupine linearizability checker.
//
// The outcome model has one state for each piece of work: how often it ran,
// and whether a caller was told that it did not. A run is a point in time, a
// request an interval. A history is legal if there is an order of points in
// which no work that may run once runs twice, nothing runs after a "not-run",
// and every answer has a run before it.
//
// The revision model has one state for each VM: the largest configuration
// revision that was seen in force there, or that a status said was. What is
// seen later must not be smaller, whatever restarts lie between.
package history

import (
	"fmt"
	"sync"
	"time"

	"github.com/anishathalye/porcupine"

	"baywall.example/standin/ledger"
	"baywall.example/standin/load"
)

// checkTimeout bounds one check; a check that does not end counts as failed.
const checkTimeout = 30 * time.Second

// work is the input of the outcome model.
type work struct {
	id            string
	run           bool // otherwise a request
	nonIdempotent bool
}

// workState is the state of the outcome model.
type workState struct {
	runs   int
	denied bool // some caller was told "not-run"
}

func outcomeModel() porcupine.Model {
	return porcupine.Model{
		Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
			return partition(history, func(op porcupine.Operation) string { return op.Input.(work).id })
		},
		Init: func() any { return workState{} },
		Step: func(state, input, output any) (bool, any) {
			return stepOutcome(state.(workState), input.(work), output)
		},
		DescribeOperation: func(input, output any) string { return fmt.Sprintf("%+v -> %v", input, output) },
	}
}

func stepOutcome(s workState, in work, output any) (bool, any) {
	if in.run {
		if s.denied || in.nonIdempotent && s.runs > 0 {
			return false, s
		}
		s.runs++
		return true, s
	}
	switch output.(load.Outcome) {
	case load.Answered:
		return s.runs > 0, s
	case load.NotRun:
		if s.runs > 0 {
			return false, s
		}
		s.denied = true
		return true, s
	default:
		return true, s
	}
}

// partition groups operations by key, keeping their order.
func partition(history []porcupine.Operation, key func(porcupine.Operation) string) [][]porcupine.Operation {
	groups := make(map[string][]porcupine.Operation)
	var order []string
	for _, op := range history {
		k := key(op)
		if _, ok := groups[k]; !ok {
			order = append(order, k)
		}
		groups[k] = append(groups[k], op)
	}
	out := make([][]porcupine.Operation, 0, len(order))
	for _, k := range order {
		out = append(out, groups[k])
	}
	return out
}

// CheckOutcomes checks what callers were told against what ran.
func CheckOutcomes(results []load.Result, executions []ledger.Execution) error {
	once := make(map[string]bool, len(results))
	var ops []porcupine.Operation
	for i, r := range results {
		once[r.Work] = r.NonIdempotent
		ops = append(ops, porcupine.Operation{
			ClientId: i, Input: work{id: r.Work, nonIdempotent: r.NonIdempotent}, Output: r.Outcome,
			Call: r.Called.UnixNano(), Return: r.Returned.UnixNano(),
		})
	}
	for i, e := range executions {
		at := e.At.UnixNano()
		ops = append(ops, porcupine.Operation{
			ClientId: len(results) + i, Input: work{id: e.Work, run: true, nonIdempotent: once[e.Work]},
			Call: at, Return: at + 1,
		})
	}
	return check(outcomeModel(), ops, "outcomes")
}

func check(m porcupine.Model, ops []porcupine.Operation, what string) error {
	if result := porcupine.CheckOperationsTimeout(m, ops, checkTimeout); result != porcupine.Ok {
		return fmt.Errorf("history: %s: %s, %d operations%s", what, result, len(ops), firstIllegal(m, ops))
	}
	return nil
}

// firstIllegal describes the first part of a history that is not legal.
func firstIllegal(m porcupine.Model, ops []porcupine.Operation) string {
	for _, part := range m.Partition(ops) {
		if porcupine.CheckOperationsTimeout(m, part, checkTimeout) == porcupine.Ok {
			continue
		}
		out := ":"
		for _, op := range part {
			out += "\n  " + m.DescribeOperation(op.Input, op.Output)
		}
		return out
	}
	return ""
}

// Revisions collects what was seen in force. It is safe for concurrent use.
type Revisions struct {
	mu  sync.Mutex
	ops []porcupine.Operation
}

// Saw records that between call and return the VM was seen to have at least
// the revision.
func (r *Revisions) Saw(vm string, revision uint64, called, returned time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ops = append(r.ops, porcupine.Operation{
		ClientId: len(r.ops), Input: vm, Output: revision, Call: called.UnixNano(), Return: returned.UnixNano(),
	})
}

// Len returns the number of records.
func (r *Revisions) Len() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.ops)
}

// Check checks that no VM's revision went back.
func (r *Revisions) Check() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	return check(revisionModel(), r.ops, "revisions")
}

func revisionModel() porcupine.Model {
	return porcupine.Model{
		Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
			return partition(history, func(op porcupine.Operation) string { return op.Input.(string) })
		},
		Init: func() any { return uint64(0) },
		Step: func(state, _, output any) (bool, any) {
			seen := output.(uint64)
			return seen >= state.(uint64), max(seen, state.(uint64))
		},
		DescribeOperation: func(input, output any) string { return fmt.Sprintf("%v at revision %v", input, output) },
	}
}
