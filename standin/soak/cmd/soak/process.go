package main

import (
	"fmt"
	"os"
	"sync"
	"syscall"
	"time"

	"baywall.example/standin/fleet"
)

// build compiles both programs. The clean function removes them.
func build() (b fleet.Binaries, clean func(), err error) {
	dir, err := os.MkdirTemp("", "soak-bin-")
	if err != nil {
		return b, nil, err
	}
	b, err = fleet.Build(dir)
	return b, func() { _ = os.RemoveAll(dir) }, err
}

// process is one of the real programs on one VM. It is restarted whenever it ends, as the
// platform does.
type process struct {
	vm       string
	settings string
	log      string // file
	child    *fleet.Process

	mu           sync.Mutex
	stopped      bool     // not to be restarted
	exitExpected bool     // after a signal that ends the process
	exits        []string // unexpected ones
}

// restartPause is how long the platform takes to restart a process.
const restartPause = 300 * time.Millisecond

// run starts the process and keeps it running.
func (p *process) run() error {
	if err := p.child.Start(); err != nil {
		return err
	}
	go p.supervise()
	return nil
}

// supervise restarts the process whenever it ends, until it is terminated.
func (p *process) supervise() {
	for {
		err := p.child.Err()
		p.mu.Lock()
		if !p.exitExpected {
			p.exits = append(p.exits, fmt.Sprintf("%s: %v", p.vm, err))
		}
		stopped := p.stopped
		p.mu.Unlock()
		if stopped {
			return
		}
		time.Sleep(restartPause)
		if !p.restart() {
			return
		}
	}
}

// restart starts the process again, unless it was terminated in the meantime, and reports
// whether it runs.
func (p *process) restart() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.stopped {
		return false
	}
	p.exitExpected = false
	if err := p.child.Start(); err != nil {
		p.exits = append(p.exits, fmt.Sprintf("%s: restart failed: %v", p.vm, err))
		return false
	}
	return true
}

// signal sends a signal to the process. After SIGTERM and SIGKILL its exit is expected.
func (p *process) signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if s == syscall.SIGTERM || s == syscall.SIGKILL {
		p.exitExpected = true
	}
	p.child.Signal(s)
}

// terminate kills the process, waits for its end and prevents a restart.
func (p *process) terminate() {
	p.mu.Lock()
	p.stopped, p.exitExpected = true, true
	p.mu.Unlock()
	done := p.child.Done()
	if done == nil {
		return // the process was never started
	}
	p.child.Continue() // a paused process has to run to be killed
	p.child.Kill()
}

// unexpectedExits describes the exits of the process that followed no signal to end it.
func (p *process) unexpectedExits() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return append([]string(nil), p.exits...)
}
