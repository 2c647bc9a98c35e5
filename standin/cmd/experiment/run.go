package main

import (
	"errors"
	"fmt"
	"os"
	"time"

	"github.com/google/subcommands"

	"baywall.example/standin/fleet"
)

// errBroken means that a run broke a promise; what it printed says which.
var errBroken = errors.New("a promise was broken")

// withBinaries builds both programs into a folder, a temporary one unless keep
// names one, and runs the experiment with them.
func withBinaries(keep string, run func(dir string, b fleet.Binaries) error) subcommands.ExitStatus {
	dir, cleanup, err := workDir(keep)
	if err == nil {
		defer cleanup()
		err = buildAndRun(dir, run)
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return subcommands.ExitFailure
	}
	return subcommands.ExitSuccess
}

func buildAndRun(dir string, run func(dir string, b fleet.Binaries) error) error {
	b, err := fleet.Build(dir)
	if err != nil {
		return err
	}
	return run(dir, b)
}

func workDir(keep string) (string, func(), error) {
	if keep != "" {
		return keep, func() {}, os.MkdirAll(keep, 0o755)
	}
	dir, err := os.MkdirTemp("", "baywall-")
	return dir, func() { _ = os.RemoveAll(dir) }, err
}

// ms returns a duration in milliseconds.
func ms(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
