package gateway

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

// Command is the subcommand that runs a gateway with an adapter.
type Command struct {
	adapter Adapter
	path    string
	check   bool
}

// NewCommand returns the subcommand for an adapter.
func NewCommand(a Adapter) *Command { return &Command{adapter: a} }

// Name implements subcommands.Command.
func (*Command) Name() string { return "gateway" }

// Synopsis implements subcommands.Command.
func (c *Command) Synopsis() string {
	return "run an entry VM that dispatches straight to backend servers, on " + c.adapter.Name()
}

// Usage implements subcommands.Command.
func (*Command) Usage() string { return "gateway -settings FILE [-check]\n" }

// SetFlags implements subcommands.Command.
func (c *Command) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.path, "settings", "", "settings file (YAML)")
	f.BoolVar(&c.check, "check", false, "only validate the settings file")
}

// Execute runs the gateway until it is told to stop.
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
	logWriter := process.NewLogWriter(os.Stdout)
	log := process.Logger(logWriter, s.LogLevel).With().Str("vm", s.VM).Logger()
	g, err := New(s, c.adapter, log, logWriter, time.Now())
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return subcommands.ExitFailure
	}
	stop := process.WatchFile(c.path, log, g.Reload)
	defer stop()
	return process.Serve(ctx, log, g)
}
