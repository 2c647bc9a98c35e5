package fleet

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
)

// Process is one child process on one VM: one of the two programs with a subcommand.
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

// NewProcess returns a process that is not started yet. Its settings file must be there
// when it is.
func NewProcess(binary, command, settings, logPath string) *Process {
	return &Process{binary: binary, command: command, settings: settings, logPath: logPath}
}

// Start runs the program; its output goes to the VM's log file.
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

// Pause stops the process in its tracks; Continue wakes it.
func (p *Process) Pause() { p.Signal(syscall.SIGSTOP) }

// Continue wakes a paused process.
func (p *Process) Continue() { p.Signal(syscall.SIGCONT) }

// Kill ends the process at once and waits for that.
func (p *Process) Kill() {
	p.Signal(syscall.SIGKILL)
	<-p.Done()
}

// Terminate asks the process to stop gracefully.
func (p *Process) Terminate() { p.Signal(syscall.SIGTERM) }

// Done returns a channel that is closed when the process has ended, nil before its
// first start.
func (p *Process) Done() <-chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.done
}

// Err returns how the process ended, nil for status 0.
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

// Restart starts the program again after it has ended.
func (p *Process) Restart() error { return p.Start() }

// Binaries are the paths of the two programs.
type Binaries struct{ Entry, Agent string }

// Build compiles both programs into the folder.
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
