package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"runtime/debug"
	"time"

	"github.com/google/subcommands"

	"baywall.example/core/process"
	"baywall.example/core/resource"
	"baywall.example/core/settings"
	"baywall.example/entry/server"
)

// serveCommand runs the entry VM's process until it receives a stop signal.
type serveCommand struct{ path string }

func (*serveCommand) Name() string     { return "serve" }
func (*serveCommand) Synopsis() string { return "run the entry VM's process" }
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
	debug.SetMemoryLimit(int64(s.MemoryTarget) << 20)
	lines := process.NewLogWriter(os.Stderr)
	defer lines.Flush()
	log := process.Logger(lines, s.LogLevel).With().Str("vm", s.VM).Logger()
	return process.Serve(ctx, log, server.New(s, log, time.Now()))
}

// checkCommand validates a settings file or a resource file.
type checkCommand struct {
	settings string
	resource string
}

func (*checkCommand) Name() string     { return "check" }
func (*checkCommand) Synopsis() string { return "validate a settings file or a resource file" }
func (*checkCommand) Usage() string    { return "check -settings FILE | check -resource FILE\n" }

func (c *checkCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.settings, "settings", "", "settings file (YAML)")
	f.StringVar(&c.resource, "resource", "", "resource file (YAML or JSON): kind, name, spec")
}

func (c *checkCommand) Execute(context.Context, *flag.FlagSet, ...any) subcommands.ExitStatus {
	switch {
	case c.settings != "" && c.resource == "":
		return process.Check(c.settings, &server.Settings{})
	case c.resource != "" && c.settings == "":
		key, err := resource.CheckFile(c.resource)
		if err != nil {
			fmt.Fprintln(os.Stderr, err)
			return subcommands.ExitFailure
		}
		fmt.Println(c.resource+": valid,", key)
	default:
		fmt.Fprint(os.Stderr, c.Usage())
		return subcommands.ExitUsageError
	}
	return subcommands.ExitSuccess
}
