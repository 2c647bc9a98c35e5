// Command baywall-agent runs on a backend server's VM and is the only process that sends
// requests and orders to the backend server.
package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"runtime/debug"
	"time"

	"github.com/google/subcommands"

	"baywall.example/agent/rankserver"
	"baywall.example/agent/server"
	"baywall.example/core/process"
	"baywall.example/core/settings"
	"baywall.example/platform"
)

func main() {
	subcommands.Register(subcommands.HelpCommand(), "")
	subcommands.Register(&serveCommand{}, "")
	subcommands.Register(rankserver.NewCommand(platform.Adapter{}), "")
	subcommands.Register(&checkCommand{}, "")
	subcommands.Register(&process.VersionCommand{}, "")
	flag.Parse()
	os.Exit(int(subcommands.Execute(context.Background())))
}

// serveCommand runs the agent until the process is told to stop.
type serveCommand struct{ path string }

func (*serveCommand) Name() string     { return "serve" }
func (*serveCommand) Synopsis() string { return "run the agent" }
func (*serveCommand) Usage() string    { return "serve -settings FILE\n" }

func (c *serveCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.path, "settings", "", "settings file (YAML)")
}

func (c *serveCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	var s server.Settings
	if err := settings.Load(c.path, &s); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return subcommands.ExitFailure
	}
	debug.SetMemoryLimit(s.Machine.SoftMemoryLimit())
	lines := process.NewLogWriter(os.Stderr)
	defer lines.Flush()
	log := process.Logger(lines, s.LogLevel).With().Str("vm", s.VM).Logger()
	a := server.New(s, log, time.Now())
	return process.Serve(ctx, log, a)
}

// checkCommand validates a settings file.
type checkCommand struct{ path string }

func (*checkCommand) Name() string     { return "check" }
func (*checkCommand) Synopsis() string { return "validate a settings file" }
func (*checkCommand) Usage() string    { return "check -settings FILE\n" }

func (c *checkCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.path, "settings", "", "settings file (YAML)")
}

func (c *checkCommand) Execute(context.Context, *flag.FlagSet, ...any) subcommands.ExitStatus {
	return process.Check(c.path, &server.Settings{})
}
