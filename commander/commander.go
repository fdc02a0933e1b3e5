// Package commander implements the command line, with one file for each subcommand. It handles the
// process's signals and determines its exit code.
package commander

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kingpin/v2"
	"github.com/pkg/errors"
)

// Exit codes.
const (
	ExitOK      = 0
	ExitFailure = 1 // the command failed
	ExitUsage   = 2 // the command line, or a file named on it, is invalid
	ExitStale   = 3 // the base version of a patch is outdated
	ExitUnknown = 4 // the outcome of a patch is unknown; retry with the same patch ID
)

// exitError is an error with the exit code of the process.
type exitError struct {
	code int
	err  error
}

func (e exitError) Error() string { return e.err.Error() }
func (e exitError) Unwrap() error { return e.err }

func withExitCode(code int, err error) error {
	if err == nil {
		return nil
	}
	return exitError{code, err}
}

// cli holds the flags and output streams that the subcommands share.
type cli struct {
	out, err io.Writer
	output   string // "text" or "json"
	operator operatorFlags
}

// Run executes one command line until it ends or the process gets SIGINT or SIGTERM, and returns the exit
// code.
func Run(args []string, out, errOut io.Writer) int {
	return RunContext(signalContext(), args, out, errOut)
}

// RunContext executes one command line. Cancelling ctx stops it gracefully.
func RunContext(ctx context.Context, args []string, out, errOut io.Writer) int {
	c := &cli{out: out, err: errOut}
	app := kingpin.New("apricotspool", "Serves language models and plain services on a fixed fleet to urgent and lower-rank callers.")
	helpPrinted := false // Terminate is called after printing help, in place of os.Exit
	app.UsageWriter(out).ErrorWriter(errOut).Terminate(func(int) { helpPrinted = true })
	app.HelpFlag.Short('h')
	actions := map[string]func(ctx context.Context) error{}
	for _, add := range []func(*kingpin.Application, map[string]func(context.Context) error){
		c.addServe, c.addGateway, c.addCheck, c.addConfig, c.addStatus, c.addDrain, c.addRelease, c.addDev, c.addVersion,
	} {
		add(app, actions)
	}
	command, err := app.Parse(args)
	if helpPrinted {
		return ExitOK
	}
	if err != nil {
		fmt.Fprintf(errOut, "apricotspool: %v; try --help\n", err)
		return ExitUsage
	}
	return c.exitCode(actions[command](ctx))
}

func (c *cli) exitCode(err error) int {
	if err == nil {
		return ExitOK
	}
	fmt.Fprintf(c.err, "apricotspool: %v\n", err)
	var exitErr exitError
	if errors.As(err, &exitErr) {
		return exitErr.code
	}
	return ExitFailure
}

// signalContext returns a context that is cancelled at the first SIGINT or SIGTERM. A second signal exits
// the process immediately.
func signalContext() context.Context {
	ctx, cancel := context.WithCancel(context.Background())
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM)
	go func() {
		<-signals
		cancel()
		<-signals
		os.Exit(ExitFailure)
	}()
	return ctx
}
