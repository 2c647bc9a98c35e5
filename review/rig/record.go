// Package rig starts a small deployment of the project's own programs on loopback
// addresses, with stand-ins of the platform's store, its runners and its clients, and
// records what was sent, answered and run.
package rig

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// Record is the file that a case writes what it saw to. It is safe for concurrent use.
type Record struct {
	mu    sync.Mutex
	file  *os.File
	began time.Time
}

// NewRecord creates the file, replacing an earlier one.
func NewRecord(path string) (*Record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &Record{file: file, began: time.Now()}, nil
}

// Add writes one line with the time since the start in seconds.
func (r *Record) Add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f  %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...))
}

// Close closes the file.
func (r *Record) Close() { _ = r.file.Close() }
