// Command baywall runs the processes of an entry VM and is the operators' client for
// the public interface of a running one.
package main

import (
	"context"
	"flag"
	"os"

	"github.com/google/subcommands"

	"baywall.example/core/process"
	"baywall.example/entry/gateway"
	"baywall.example/platform"
)

func main() {
	subcommands.Register(subcommands.HelpCommand(), "")
	subcommands.Register(&serveCommand{}, "")
	subcommands.Register(gateway.NewCommand(platform.Adapter{}), "")
	subcommands.Register(&checkCommand{}, "")
	subcommands.Register(&entriesCommand{}, "client")
	subcommands.Register(&getCommand{}, "client")
	subcommands.Register(&watchCommand{}, "client")
	subcommands.Register(&timelineCommand{}, "client")
	subcommands.Register(&process.VersionCommand{}, "")
	flag.Parse()
	os.Exit(int(subcommands.Execute(context.Background())))
}
