// Command experiment runs measurements of whole sites on one machine, with the real programs
// and with stand-ins for the platform and the backend servers, and simulations of parts of
// the product. It is not part of the product.
package main

import (
	"context"
	"flag"
	"os"

	"github.com/google/subcommands"
)

func main() {
	subcommands.Register(subcommands.HelpCommand(), "")
	subcommands.Register(&quickstartCommand{}, "")
	subcommands.Register(&faultsCommand{}, "")
	subcommands.Register(&overheadCommand{}, "")
	subcommands.Register(&spreadCommand{}, "")
	subcommands.Register(&policiesCommand{}, "")
	subcommands.Register(&mapsCommand{}, "")
	subcommands.Register(&limitsCommand{}, "")
	subcommands.Register(&controlCommand{}, "")
	subcommands.Register(&recoveryCommand{}, "")
	subcommands.Register(&answersCommand{}, "")
	subcommands.Register(&outageCommand{}, "")
	flag.Parse()
	os.Exit(int(subcommands.Execute(context.Background())))
}
