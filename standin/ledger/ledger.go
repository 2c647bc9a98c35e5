// Package ledger records which pieces of work backend servers executed, so that a
// test run can be checked for work that ran twice and for work that ran although its
// caller was told that it did not.
package ledger

import (
	"sync"
	"time"
)

// Execution is one execution of a piece of work.
type Execution struct {
	Work   string
	Server string // address of the backend server
	At     time.Time
}

// Ledger records executions. It is safe for concurrent use.
type Ledger struct {
	mu         sync.Mutex
	executions []Execution
	byWork     map[string]int
}

// New returns an empty ledger.
func New() *Ledger { return &Ledger{byWork: make(map[string]int)} }

// Record records an execution.
func (l *Ledger) Record(work, server string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.executions = append(l.executions, Execution{Work: work, Server: server, At: time.Now()})
	l.byWork[work]++
}

// Runs returns how often the work was executed.
func (l *Ledger) Runs(work string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.byWork[work]
}

// Executions returns all executions so far, in the order in which they were recorded.
func (l *Ledger) Executions() []Execution {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]Execution(nil), l.executions...)
}
