package rankserver

import (
	"context"
	"flag"
	"fmt"
	"os"
	"runtime/debug"
	"time"

	"github.com/google/subcommands"

	"baywall.example/core/process"
	"baywall.example/core/settings"
)

// Command is the subcommand that runs a rank's agent on an adapter's platform.
type Command struct {
	adapter Adapter
	path    string
	check   bool
}

// NewCommand returns the subcommand for an adapter.
func NewCommand(a Adapter) *Command { return &Command{adapter: a} }

// Name returns the command's name.
func (*Command) Name() string { return "rank" }

// Synopsis returns the command's one-line description.
func (c *Command) Synopsis() string { return "run the agent of a rank, on " + c.adapter.Name() }

// Usage returns the command's usage.
func (*Command) Usage() string { return "rank -settings FILE [-check]\n" }

// SetFlags sets the command's flags.
func (c *Command) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.path, "settings", "", "settings file (YAML)")
	f.BoolVar(&c.check, "check", false, "only validate the settings file")
}

// Execute runs the agent until the process is told to stop.
func (c *Command) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	var s Settings
	if c.check {
		return process.Check(c.path, &s)
	}
	if err := settings.Load(c.path, &s); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return subcommands.ExitFailure
	}
	debug.SetMemoryLimit(s.Machine.SoftMemoryLimit())
	lines := process.NewLogWriter(os.Stdout)
	log := process.Logger(lines, s.LogLevel).With().Str("vm", s.VM).Logger()
	r, err := New(s, c.adapter, log, lines, time.Now())
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return subcommands.ExitFailure
	}
	stop := process.WatchFile(c.path, log, r.Reload)
	defer stop()
	return process.Serve(ctx, log, r)
}
