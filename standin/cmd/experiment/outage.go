package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"time"

	"github.com/google/subcommands"

	"baywall.example/standin/outage"
)

// outageCommand compares policies that decide which requests wait, are refused and run first
// after a group of ranks has made no steps for some seconds.
type outageCommand struct {
	seeds        int
	outageLength time.Duration
	rate         float64
	plot         string
}

func (*outageCommand) Name() string { return "outage" }
func (*outageCommand) Synopsis() string {
	return "compare policies for the seconds after a group of ranks stood"
}

func (*outageCommand) Usage() string {
	return "outage [-seeds N] [-stand D] [-rate R] [-plot FILE.svg]\n"
}

func (c *outageCommand) SetFlags(f *flag.FlagSet) {
	usual := outage.Crash(0)
	f.IntVar(&c.seeds, "seeds", 5, "plays of each policy, from 1")
	f.DurationVar(&c.outageLength, "stand", usual.Outage, "for how long the group makes no passes, from 0s to 10s")
	f.Float64Var(&c.rate, "rate", usual.Rate, "requests a second, above 0")
	f.StringVar(&c.plot, "plot", "", "also write a picture to this file, as SVG")
}

func (c *outageCommand) Execute(context.Context, *flag.FlagSet, ...any) subcommands.ExitStatus {
	switch {
	case c.seeds < 1:
		fmt.Fprintf(os.Stderr, "outage: -seeds: %d, allowed: 1 or more\n", c.seeds)
		return subcommands.ExitUsageError
	case c.rate <= 0:
		fmt.Fprintf(os.Stderr, "outage: -rate: %g, allowed: above 0\n", c.rate)
		return subcommands.ExitUsageError
	case c.outageLength < 0 || c.outageLength > 10*time.Second:
		fmt.Fprintf(os.Stderr, "outage: -stand: %s, allowed: 0s to 10s\n", c.outageLength)
		return subcommands.ExitUsageError
	}
	if err := c.run(); err != nil {
		fmt.Fprintln(os.Stderr, "outage:", err)
		return subcommands.ExitFailure
	}
	return subcommands.ExitSuccess
}

func (c *outageCommand) run() error {
	load := func(seed uint64) outage.Load {
		l := outage.Crash(seed)
		l.Outage, l.Rate = c.outageLength, c.rate
		return l
	}
	result := outage.Compare(load, outage.Policies(), c.seeds)
	if err := result.Table(os.Stdout); err != nil || c.plot == "" {
		return err
	}
	return writePlot(c.plot, result.Plot)
}
