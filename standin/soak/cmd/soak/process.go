package main

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// binaries are the paths of the two programs.
type binaries struct{ gateway, agent string }

// build compiles both programs; clean removes them.
func build() (b binaries, clean func(), err error) {
	dir, err := os.MkdirTemp("", "soak-bin-")
	if err != nil {
		return b, nil, err
	}
	b = binaries{filepath.Join(dir, "baywall"), filepath.Join(dir, "baywall-agent")}
	for out, pkg := range map[string]string{b.gateway: "baywall.example/entry/cmd/baywall", b.agent: "baywall.example/agent/cmd/baywall-agent"} {
		cmd := exec.Command("go", "build", "-o", out, pkg)
		if msg, err := cmd.CombinedOutput(); err != nil {
			return b, nil, fmt.Errorf("build %s: %w\n%s", pkg, err, msg)
		}
	}
	return b, func() { _ = os.RemoveAll(dir) }, nil
}

// process is one of the real programs on one VM. It is started again when it
// ends, as the platform does.
type process struct {
	vm       string
	binary   string
	command  string // subcommand
	settings string
	log      string

	mu      sync.Mutex
	cmd     *exec.Cmd
	done    chan struct{}
	stopped bool // for good
	killed  bool // the end was asked for
	exits   []string
}

// restartPause is how long the platform takes to start a process again.
const restartPause = 300 * time.Millisecond

// run starts the process and keeps it running.
func (p *process) run() error {
	if err := p.begin(); err != nil {
		return err
	}
	go p.supervise()
	return nil
}

func (p *process) begin() error {
	log, err := os.OpenFile(p.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	defer log.Close()
	cmd := exec.Command(p.binary, p.command, "-settings", p.settings)
	cmd.Stdout, cmd.Stderr = log, log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cmd, p.done, p.killed = cmd, make(chan struct{}), false
	return nil
}

// supervise starts the process again whenever it ends.
func (p *process) supervise() {
	for {
		p.mu.Lock()
		cmd, done := p.cmd, p.done
		p.mu.Unlock()
		err := cmd.Wait()
		close(done)
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
		if err := p.begin(); err != nil {
			p.mu.Lock()
			p.exits = append(p.exits, fmt.Sprintf("%s: not started again: %v", p.vm, err))
			p.mu.Unlock()
			return
		}
	}
}

// signal sends a signal; one that ends the process is asked for.
func (p *process) signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if s == syscall.SIGTERM || s == syscall.SIGKILL {
		p.killed = true
	}
	_ = p.cmd.Process.Signal(s) // it may have ended
}

// end kills the process for good and waits.
func (p *process) end() {
	p.mu.Lock()
	if p.cmd == nil {
		p.mu.Unlock()
		return
	}
	p.stopped, p.killed = true, true
	done := p.done
	_ = p.cmd.Process.Signal(syscall.SIGCONT) // a paused process is woken to be killed
	_ = p.cmd.Process.Kill()                  // it may have ended
	p.mu.Unlock()
	<-done
}

// ownExits returns the ends that nobody asked for.
func (p *process) ownExits() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return append([]string(nil), p.exits...)
}
