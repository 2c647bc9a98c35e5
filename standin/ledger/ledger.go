// Package ledger notes which pieces of work backend servers really executed,
// so that a run can be checked for doubled work and false refusals.
package ledger

import (
	"sync"
)

// Ledger counts executions by work id. It is safe for concurrent use.
type Ledger struct {
	mu   sync.Mutex
	runs map[string]int
	hook func(work string)
}

// New returns an empty ledger. The hook, which may be nil, runs at each
// execution.
func New(hook func(work string)) *Ledger {
	return &Ledger{runs: make(map[string]int), hook: hook}
}

// Run notes an execution.
func (l *Ledger) Run(work string) {
	l.mu.Lock()
	l.runs[work]++
	l.mu.Unlock()
	if l.hook != nil {
		l.hook(work)
	}
}

// Runs returns how often the work was executed.
func (l *Ledger) Runs(work string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.runs[work]
}
