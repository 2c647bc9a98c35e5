package main

import (
	"errors"
	"fmt"
	"os"
	"time"

	"github.com/google/subcommands"

	"baywall.example/standin/fleet"
)

// errViolation means that a run violated a guarantee; its printed counts say which one.
var errViolation = errors.New("a guarantee was violated")

// withBinaries builds both programs into the directory keepDir, or into a temporary one if
// keepDir is empty, and runs the experiment with them.
func withBinaries(keepDir string, run func(dir string, b fleet.Binaries) error) subcommands.ExitStatus {
	dir, cleanup, err := workDir(keepDir)
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

func workDir(keepDir string) (string, func(), error) {
	if keepDir != "" {
		return keepDir, func() {}, os.MkdirAll(keepDir, 0o755)
	}
	dir, err := os.MkdirTemp("", "baywall-")
	return dir, func() { _ = os.RemoveAll(dir) }, err
}

// ms returns a duration in milliseconds.
func ms(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
