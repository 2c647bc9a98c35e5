package main

import (
	"fmt"
	"os"
	"sync"
	"syscall"
	"time"

	"baywall.example/standin/fleet"
)

// build compiles both programs; clean removes them.
func build() (b fleet.Binaries, clean func(), err error) {
	dir, err := os.MkdirTemp("", "soak-bin-")
	if err != nil {
		return b, nil, err
	}
	b, err = fleet.Build(dir)
	return b, func() { _ = os.RemoveAll(dir) }, err
}

// process is one of the real programs on one VM. It is started again when it
// ends, as the platform does.
type process struct {
	vm       string
	settings string
	child    *fleet.Process

	mu      sync.Mutex
	stopped bool // for good
	killed  bool // the end was asked for
	exits   []string
}

// restartPause is how long the platform takes to start a process again.
const restartPause = 300 * time.Millisecond

// run starts the process and keeps it running.
func (p *process) run() error {
	if err := p.child.Start(); err != nil {
		return err
	}
	go p.supervise()
	return nil
}

// supervise starts the process again whenever it ends.
func (p *process) supervise() {
	for {
		err := p.child.Err()
		p.mu.Lock()
		if !p.killed {
			p.exits = append(p.exits, fmt.Sprintf("%s: %v", p.vm, err))
		}
		stopped := p.stopped
		p.mu.Unlock()
		if stopped {
			return
		}
		time.Sleep(restartPause)
		if !p.again() {
			return
		}
	}
}

// again starts the process once more, unless it was ended for good meanwhile.
func (p *process) again() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.stopped {
		return false
	}
	p.killed = false
	if err := p.child.Start(); err != nil {
		p.exits = append(p.exits, fmt.Sprintf("%s: not started again: %v", p.vm, err))
		return false
	}
	return true
}

// signal sends a signal; one that ends the process is asked for.
func (p *process) signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if s == syscall.SIGTERM || s == syscall.SIGKILL {
		p.killed = true
	}
	p.child.Signal(s)
}

// end kills the process for good and waits.
func (p *process) end() {
	p.mu.Lock()
	p.stopped, p.killed = true, true
	p.mu.Unlock()
	done := p.child.Done()
	if done == nil {
		return // it was never started
	}
	p.child.Continue() // a paused process is woken to be killed
	p.child.Kill()
}

// ownExits returns the ends that nobody asked for.
func (p *process) ownExits() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return append([]string(nil), p.exits...)
}
