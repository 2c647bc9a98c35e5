package main

import (
	"context"
	"flag"
	"fmt"
	"os"

	"github.com/google/subcommands"

	"baywall.example/standin/report"
)

// answersCommand counts from a fleet's logs how its requests ended in each second.
type answersCommand struct {
	log, service, plot string
}

func (*answersCommand) Name() string     { return "answers" }
func (*answersCommand) Synopsis() string { return "tell from logs how requests ended, by second" }

func (*answersCommand) Usage() string {
	return "answers -log FILE [-service S] [-plot FILE.svg]\n"
}

func (c *answersCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.log, "log", "", "the logs of the fleet's processes, in any order")
	f.StringVar(&c.service, "service", "", "only requests of this service")
	f.StringVar(&c.plot, "plot", "", "also write a picture to this file, as SVG")
}

func (c *answersCommand) Execute(context.Context, *flag.FlagSet, ...any) subcommands.ExitStatus {
	if c.log == "" {
		fmt.Fprintln(os.Stderr, "answers: -log is missing")
		return subcommands.ExitUsageError
	}
	if err := c.run(); err != nil {
		fmt.Fprintln(os.Stderr, "answers:", err)
		return subcommands.ExitFailure
	}
	return subcommands.ExitSuccess
}

func (c *answersCommand) run() error {
	in, err := os.Open(c.log)
	if err != nil {
		return err
	}
	defer in.Close()
	r, err := report.Read(in, c.service)
	if err != nil {
		return err
	}
	if err := r.Table(os.Stdout); err != nil || c.plot == "" {
		return err
	}
	return writePlot(c.plot, r.Plot)
}
