// Package process holds the code that the commands of both programs share: logging, the
// lifecycle from start to graceful shutdown, reloading of settings and the version
// command.
package process

import (
	"context"
	"flag"
	"fmt"
	"io"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/google/subcommands"
	"github.com/rs/zerolog"

	"baywall.example/core/settings"
)

// Logger returns a logger that writes JSON lines at the given level and above.
func Logger(w io.Writer, level string) zerolog.Logger {
	parsed, err := zerolog.ParseLevel(level)
	if err != nil {
		parsed = zerolog.InfoLevel
	}
	zerolog.TimeFieldFormat = time.RFC3339Nano
	return zerolog.New(w).Level(parsed).With().Timestamp().Logger()
}

// Service is the server that a process runs.
type Service interface {
	// Start begins serving and returns without waiting for the service to stop.
	Start() error
	// Stop drains and shuts down the service. The drain is aborted when the context
	// ends.
	Stop(ctx context.Context) error
}

// Serve runs the service until SIGTERM or SIGINT, then shuts it down gracefully. A second
// signal aborts the drain.
func Serve(ctx context.Context, log zerolog.Logger, s Service) subcommands.ExitStatus {
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	defer signal.Stop(signals)
	if err := s.Start(); err != nil {
		log.Error().Err(err).Msg("start failed")
		return subcommands.ExitFailure
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go logSuspensions(ctx, log)
	<-signals
	log.Info().Msg("draining")
	go func() {
		<-signals
		cancel()
	}()
	if err := s.Stop(ctx); err != nil {
		log.Error().Err(err).Msg("stopped before the drain was complete")
		return subcommands.ExitFailure
	}
	log.Info().Msg("stopped")
	return subcommands.ExitSuccess
}

// Check loads settings from a file and prints whether they are valid.
func Check(path string, s settings.Validator) subcommands.ExitStatus {
	if err := settings.Load(path, s); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return subcommands.ExitFailure
	}
	fmt.Println(path + ": valid")
	return subcommands.ExitSuccess
}

// VersionCommand prints the program's build information.
type VersionCommand struct{}

// Name returns the command's name.
func (*VersionCommand) Name() string { return "version" }

// Synopsis returns the command's one-line description.
func (*VersionCommand) Synopsis() string { return "print build information" }

// Usage returns the command's usage.
func (*VersionCommand) Usage() string { return "version\n" }

// SetFlags sets no flags.
func (*VersionCommand) SetFlags(*flag.FlagSet) {}

// Execute prints the build information.
func (*VersionCommand) Execute(context.Context, *flag.FlagSet, ...any) subcommands.ExitStatus {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return subcommands.ExitFailure
	}
	fmt.Println(info.Path, info.Main.Version, info.GoVersion)
	return subcommands.ExitSuccess
}
