package fleet

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
)

// Process is the child process of one VM: one of the two programs, run with a subcommand.
type Process struct {
	binary   string
	command  string
	settings string
	logPath  string

	mu   sync.Mutex
	cmd  *exec.Cmd
	done chan struct{}
	err  error
}

// NewProcess returns a process that has not been started. Its settings file must exist when
// Start is called.
func NewProcess(binary, command, settings, logPath string) *Process {
	return &Process{binary: binary, command: command, settings: settings, logPath: logPath}
}

// Start starts the program; its output is appended to the VM's log file.
func (p *Process) Start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	log, err := os.OpenFile(p.logPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	cmd := exec.Command(p.binary, p.command, "-settings", p.settings)
	cmd.Stdout, cmd.Stderr = log, log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		log.Close()
		return err
	}
	done := make(chan struct{})
	p.cmd, p.done = cmd, done
	go func() {
		err := cmd.Wait()
		log.Close()
		p.mu.Lock()
		p.err = err
		p.mu.Unlock()
		close(done)
	}()
	return nil
}

// Signal sends a signal to the process.
func (p *Process) Signal(s os.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd != nil && p.cmd.Process != nil {
		_ = p.cmd.Process.Signal(s)
	}
}

// Pause suspends the process with SIGSTOP until Continue is called.
func (p *Process) Pause() { p.Signal(syscall.SIGSTOP) }

// Continue resumes a suspended process.
func (p *Process) Continue() { p.Signal(syscall.SIGCONT) }

// Kill sends SIGKILL and waits until the process has exited.
func (p *Process) Kill() {
	p.Signal(syscall.SIGKILL)
	<-p.Done()
}

// Terminate requests a graceful stop with SIGTERM.
func (p *Process) Terminate() { p.Signal(syscall.SIGTERM) }

// Done returns a channel that is closed when the process has exited, or nil before the
// first start.
func (p *Process) Done() <-chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.done
}

// Err waits until the process has exited and returns its error, nil for exit status 0.
func (p *Process) Err() error {
	<-p.Done()
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.err
}

// PID returns the process id.
func (p *Process) PID() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.cmd.Process.Pid
}

// Restart starts the program again after it has exited.
func (p *Process) Restart() error { return p.Start() }

// Binaries are the paths of the two programs.
type Binaries struct{ Entry, Agent string }

// Build compiles both programs into a directory.
func Build(dir string) (Binaries, error) {
	b := Binaries{Entry: filepath.Join(dir, "baywall"), Agent: filepath.Join(dir, "baywall-agent")}
	for out, pkg := range map[string]string{b.Entry: "baywall.example/entry/cmd/baywall", b.Agent: "baywall.example/agent/cmd/baywall-agent"} {
		cmd := exec.Command("go", "build", "-o", out, pkg)
		if msg, err := cmd.CombinedOutput(); err != nil {
			return b, fmt.Errorf("build %s: %v\n%s", pkg, err, msg)
		}
	}
	return b, nil
}
