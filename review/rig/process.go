package rig

import (
	"os"
	"os/exec"
	"syscall"
)

// Process is one of the project's programs, running on one VM.
type Process struct {
	cmd  *exec.Cmd
	done chan struct{}
}

// startProgram starts a program with a settings file; its output goes to the log file.
func startProgram(dir, binary, command, settings, logPath string) (*Process, error) {
	log, err := os.OpenFile(logPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return nil, err
	}
	defer log.Close()
	cmd := exec.Command(binary, command, "-settings", settings)
	cmd.Dir, cmd.Stdout, cmd.Stderr = dir, log, log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return nil, err
	}
	p := &Process{cmd: cmd, done: make(chan struct{})}
	go func() {
		_ = cmd.Wait() // the case judges what clients saw
		close(p.done)
	}()
	return p, nil
}

// Signal sends a signal.
func (p *Process) Signal(s syscall.Signal) { _ = p.cmd.Process.Signal(s) }

// Kill sends SIGKILL and waits for the end.
func (p *Process) Kill() {
	p.Signal(syscall.SIGCONT) // a stopped process has to run to end
	p.Signal(syscall.SIGKILL)
	<-p.done
}
