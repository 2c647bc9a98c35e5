// Package history checks recorded histories of concurrent runs against models
// of invariants, with the porcupine linearizability checker.
//
// The outcome model has one state for each piece of work: how often it ran,
// and whether a caller was told that it did not run. An execution is a point in
// time, a request an interval. A history is legal if its operations can be ordered
// so that no non-idempotent work runs twice, no work runs after a caller was told
// "not-run", and each answered request has an execution before it.
//
// The revision model has one state for each VM: the largest configuration
// revision that was observed in force there, or that a status reported. Later
// observations must not be smaller, even after restarts.
package history

import (
	"fmt"
	"sync"
	"time"

	"github.com/anishathalye/porcupine"

	"baywall.example/standin/ledger"
	"baywall.example/standin/load"
)

// checkTimeout limits the time of one check. A check that does not end in time fails.
const checkTimeout = 30 * time.Second

// work is the input of the outcome model.
type work struct {
	id            string
	execution     bool // false for a request
	nonIdempotent bool
}

// workState is the state of the outcome model.
type workState struct {
	runs       int
	toldNotRun bool // some caller was told "not-run"
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
	if in.execution {
		if s.toldNotRun || in.nonIdempotent && s.runs > 0 {
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
		s.toldNotRun = true
		return true, s
	default:
		return true, s
	}
}

// partition groups operations by key and keeps their order.
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

// CheckOutcomes checks the outcomes that callers received against the executions.
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
			ClientId: len(results) + i, Input: work{id: e.Work, execution: true, nonIdempotent: once[e.Work]},
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

// firstIllegal describes the first partition of a history that is not legal.
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

// Revisions collects observations of configuration revisions in force. It is safe for
// concurrent use.
type Revisions struct {
	mu  sync.Mutex
	ops []porcupine.Operation
}

// Observe records an observation, made between called and returned, that at least the revision
// was in force at the VM.
func (r *Revisions) Observe(vm string, revision uint64, called, returned time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ops = append(r.ops, porcupine.Operation{
		ClientId: len(r.ops), Input: vm, Output: revision, Call: called.UnixNano(), Return: returned.UnixNano(),
	})
}

// Len returns the number of observations.
func (r *Revisions) Len() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.ops)
}

// Check checks that no VM's revision decreased.
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
