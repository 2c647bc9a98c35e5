package rig

import (
	"bufio"
	"fmt"
	"io"
	"os/exec"
	"strings"
	"syscall"
	"time"
)

// Seal returns the signature of a runner's answer to an attempt.
func Seal(runner, id string) string { return runner + "." + id }

// plainBytes is the size of the answer of a plain service.
const plainBytes = 800

// PlainBody returns the whole body of the answer to an attempt at a plain service.
func PlainBody(id string) []byte {
	return []byte(strings.Repeat(id+" ", plainBytes/len(id))[:plainBytes-4] + "end\n")
}

// Runner is a runner process.
type Runner struct {
	ID      string
	Address string // where it listens

	cmd *exec.Cmd
}

// StartRunner starts a runner process and waits until it listens. The said function is called
// with each line that it prints.
func StartRunner(binary, id, address string, slots, unframed int, said func(line string)) (*Runner, error) {
	cmd := exec.Command(binary, "-id", id, "-address", address, "-slots", fmt.Sprint(slots), "-unframed", fmt.Sprint(unframed))
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	out, err := cmd.StdoutPipe()
	if err != nil {
		return nil, err
	}
	if err := cmd.Start(); err != nil {
		return nil, err
	}
	listening := make(chan struct{})
	go follow(out, listening, said)
	select {
	case <-listening:
		return &Runner{ID: id, Address: address, cmd: cmd}, nil
	case <-time.After(5 * time.Second):
		_ = cmd.Process.Kill()
		_ = cmd.Wait()
		return nil, fmt.Errorf("runner %s does not listen at %s", id, address)
	}
}

func follow(out io.Reader, listening chan struct{}, said func(string)) {
	lines := bufio.NewScanner(out)
	for lines.Scan() {
		if lines.Text() == "listening" {
			close(listening)
			continue
		}
		said(lines.Text())
	}
}

// Kill sends SIGKILL and waits for the end of the process.
func (r *Runner) Kill() {
	_ = r.cmd.Process.Kill()
	_ = r.cmd.Wait()
}
