// Package ledger notes which pieces of work backend servers really executed,
// so that a run can be checked for doubled work and false refusals.
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

// Ledger holds executions. It is safe for concurrent use.
type Ledger struct {
	mu         sync.Mutex
	executions []Execution
	byWork     map[string]int
}

// New returns an empty ledger.
func New() *Ledger { return &Ledger{byWork: make(map[string]int)} }

// Run notes an execution.
func (l *Ledger) Run(work, server string) {
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

// Executions returns all executions so far, in order.
func (l *Ledger) Executions() []Execution {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]Execution(nil), l.executions...)
}
