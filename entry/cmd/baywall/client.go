package main

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"os"
	"strconv"
	"time"

	"github.com/google/subcommands"

	"baywall.example/core/timeline"
	"baywall.example/entry/api"
)

// connection holds the flag shared by all client commands.
type connection struct{ address string }

func (c *connection) setFlag(f *flag.FlagSet) {
	f.StringVar(&c.address, "entry", "", "IP:port of an entry VM")
}

// get requests a path and passes the body to read. An answer with a status other than
// 200 is printed as an error.
func (c *connection) get(ctx context.Context, path string, query url.Values, read func(io.Reader) error) subcommands.ExitStatus {
	u := url.URL{Scheme: "http", Host: c.address, Path: path, RawQuery: query.Encode()}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, u.String(), nil)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return subcommands.ExitUsageError
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return subcommands.ExitFailure
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		fmt.Fprintln(os.Stderr, resp.Status)
		_, _ = io.Copy(os.Stderr, resp.Body)
		return subcommands.ExitFailure
	}
	if err := read(resp.Body); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return subcommands.ExitFailure
	}
	return subcommands.ExitSuccess
}

func print(r io.Reader) error {
	_, err := io.Copy(os.Stdout, r)
	return err
}

// entriesCommand prints which entry VMs to use for a service.
type entriesCommand struct {
	connection
	service string
	tickets int
}

func (*entriesCommand) Name() string     { return "entries" }
func (*entriesCommand) Synopsis() string { return "print which entry VMs to use for a service" }
func (*entriesCommand) Usage() string {
	return "entries -entry IP:PORT -service NAME [-tickets N]\n"
}

func (c *entriesCommand) SetFlags(f *flag.FlagSet) {
	c.setFlag(f)
	f.StringVar(&c.service, "service", "", "name of the service")
	f.IntVar(&c.tickets, "tickets", 0, "number of tickets for non-idempotent requests")
}

func (c *entriesCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	query := url.Values{"service": {c.service}, "tickets": {strconv.Itoa(c.tickets)}}
	return c.get(ctx, "/v1/entries", query, print)
}

// getCommand prints resources with their status.
type getCommand struct{ connection }

func (*getCommand) Name() string     { return "get" }
func (*getCommand) Synopsis() string { return "print resources with their status" }
func (*getCommand) Usage() string {
	return "get -entry IP:PORT services|teams|intents|groups [NAME]\n"
}
func (c *getCommand) SetFlags(f *flag.FlagSet) { c.setFlag(f) }

func (c *getCommand) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	path, ok := resourcePath(f)
	if !ok {
		fmt.Fprint(os.Stderr, c.Usage())
		return subcommands.ExitUsageError
	}
	return c.get(ctx, path, nil, print)
}

func resourcePath(f *flag.FlagSet) (string, bool) {
	switch f.NArg() {
	case 1:
		return "/v1/" + f.Arg(0), true
	case 2:
		return "/v1/" + f.Arg(0) + "/" + f.Arg(1), true
	default:
		return "", false
	}
}

// watchCommand prints resources whenever they or their status change.
type watchCommand struct {
	connection
	revision uint64
}

func (*watchCommand) Name() string     { return "watch" }
func (*watchCommand) Synopsis() string { return "print resources whenever they or their status change" }

func (*watchCommand) Usage() string {
	return "watch -entry IP:PORT [-revision N] services|teams|intents|groups [NAME]\n"
}

func (c *watchCommand) SetFlags(f *flag.FlagSet) {
	c.setFlag(f)
	f.Uint64Var(&c.revision, "revision", 0, "print only resources newer than this revision")
}

func (c *watchCommand) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	path, ok := resourcePath(f)
	if !ok {
		fmt.Fprint(os.Stderr, c.Usage())
		return subcommands.ExitUsageError
	}
	query := url.Values{"watch": {"1"}, "revision": {strconv.FormatUint(c.revision, 10)}}
	return c.get(ctx, path, query, print)
}

// timelineCommand prints the merged timeline of all VMs.
type timelineCommand struct {
	connection
	vm, request, group string
	since              time.Duration
	limit              int
	json               bool
}

func (*timelineCommand) Name() string     { return "timeline" }
func (*timelineCommand) Synopsis() string { return "print the decisions of all VMs in causal order" }

func (*timelineCommand) Usage() string {
	return "timeline -entry IP:PORT [-vm ID] [-request ID] [-group NAME] [-since 5m] [-limit N] [-json]\n"
}

func (c *timelineCommand) SetFlags(f *flag.FlagSet) {
	c.setFlag(f)
	f.StringVar(&c.vm, "vm", "", "only events of this VM")
	f.StringVar(&c.request, "request", "", "only events of this request")
	f.StringVar(&c.group, "group", "", "only events of this group")
	f.DurationVar(&c.since, "since", 0, "only events of this last period, 0 = all retained")
	f.IntVar(&c.limit, "limit", 500, "number of newest events to print")
	f.BoolVar(&c.json, "json", false, "print JSON lines")
}

func (c *timelineCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	query := url.Values{"vm": {c.vm}, "request": {c.request}, "group": {c.group}, "limit": {strconv.Itoa(c.limit)}}
	if c.since > 0 {
		since := timeline.StampAt(time.Now().Add(-c.since))
		query.Set("since", strconv.FormatUint(uint64(since), 10))
	}
	return c.get(ctx, "/v1/timeline", query, c.print)
}

func (c *timelineCommand) print(r io.Reader) error {
	var answer api.TimelineAnswer
	if err := json.NewDecoder(r).Decode(&answer); err != nil {
		return err
	}
	encoder := json.NewEncoder(os.Stdout)
	for _, e := range answer.Events {
		if c.json {
			if err := encoder.Encode(e); err != nil {
				return err
			}
			continue
		}
		fmt.Println(formatEvent(e))
	}
	for _, id := range answer.Missing {
		fmt.Fprintf(os.Stderr, "no answer from %s: its events are missing\n", id)
	}
	return nil
}

// formatEvent formats an event as one human-readable line.
func formatEvent(e timeline.Event) string {
	line := fmt.Sprintf("%s %-14s %-15s", e.Clock.Time().UTC().Format("15:04:05.000"), e.VM, e.Kind)
	for _, field := range []struct{ name, value string }{
		{"request", e.Request}, {"group", e.Group}, {"subject", e.Subject}, {"choice", e.Choice}, {"because", e.Reason},
	} {
		if field.value != "" {
			line += fmt.Sprintf(" %s=%q", field.name, field.value)
		}
	}
	return line
}
