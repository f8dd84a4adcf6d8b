package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"syscall"
	"time"

	"github.com/alecthomas/kong"
	"github.com/pkg/errors"
	"k8s.io/klog/v2"

	"pimentorail.example/pimentorail/internal/signaler"
	"pimentorail.example/pimentorail/internal/validator"
	"pimentorail.example/pimentorail/pkg/classifier"
	"pimentorail.example/pimentorail/platform"
)

// Exit codes, as documented in docs/ERRORS.md.
const (
	exitFailure        = 1
	exitUsage          = 2
	exitInvalid        = 3
	exitConflict       = 4
	exitNotInForce     = 5
	exitBrokenPromises = 6
	exitSettings       = 7
)

// Commands of the daemons, which run until they are told to stop.
const (
	serveName  = "serve"
	daemonName = "daemon <settings>"
)

func isDaemon(command string) bool { return command == serveName || command == daemonName }

// unhandledSignals returns the signals to which a command reacts as any process does. A daemon
// is not ended by SIGHUP. No command is ended by an output whose reader has ended.
func unhandledSignals(command string) []os.Signal {
	switch command {
	case serveName:
		return nil
	case daemonName:
		return []os.Signal{syscall.SIGQUIT}
	}
	return []os.Signal{syscall.SIGHUP, syscall.SIGQUIT}
}

var errBrokenPromises = errors.New("the report lists broken promises")

// commands defines the command line.
type commands struct {
	Verbosity int `help:"Log verbosity." short:"v" default:"0"`

	// Daemon runs package runner: it serves declared targets and owns partitions.
	Daemon daemonCommand `cmd:"" help:"Run a daemon until SIGTERM or SIGINT."`

	// Serve runs package server through package platform: it serves replicas that register
	// themselves, and owns nothing.
	Serve serveCommand `cmd:"" help:"Run a daemon with the settings of the users' platform."`

	Schema   schemaCommand   `cmd:"" help:"Print the schema of settings, answers or declarations."`
	Check    checkCommand    `cmd:"" help:"Check declarations."`
	Generate generateCommand `cmd:"" help:"Generate declarations from the answers to the questionnaire."`
	Diff     diffCommand     `cmd:"" help:"Show the changes that applying declarations would make."`
	Apply    applyCommand    `cmd:"" help:"Apply declarations and wait until they are in force on all daemons."`
	Rollback rollbackCommand `cmd:"" help:"Apply an earlier version again, as a new version."`
	History  historyCommand  `cmd:"" help:"Show the audit trail of changes."`
	Status   statusCommand   `cmd:"" help:"Show the daemons and the versions in force."`
	Drain    drainCommand    `cmd:"" help:"Stop sending new work to a replica."`
	Undrain  undrainCommand  `cmd:"" help:"Resume sending new work to a replica."`

	// Platform serves the interface of the reference platform (storer.Client), not that of
	// the users' platform (package platform).
	Platform platformCommand `cmd:"" help:"Run a fake of the platform's table service, object store and list of VMs."`
	Engine   engineCommand   `cmd:"" help:"Run a fake model engine."`
	Tool     toolCommand     `cmd:"" help:"Run a fake plain service."`
	Balancer balancerCommand `cmd:"" help:"Run a fake load balancer."`
	Credit   creditCommand   `cmd:"" help:"Break down the time of programs by phase, from log lines of serve."`
	Load     loadCommand     `cmd:"" help:"Run seeded programs against a deployment and check the promises."`
	Summary  summaryCommand  `cmd:"" help:"Print medians and ranges of the reports of load."`
}

func main() {
	var c commands
	parser := kong.Must(&c, kong.Name("pimentorail"), kong.UsageOnError(),
		kong.Description("A scheduler for agent programs."))
	run, err := parser.Parse(os.Args[1:])
	if err != nil {
		fmt.Fprintln(os.Stderr, "pimentorail:", err)
		os.Exit(exitUsage)
	}
	setLogging(c.Verbosity)
	signaler.Reset(unhandledSignals(run.Command())...)
	if isDaemon(run.Command()) {
		unblockStandardError()
	}
	// The signals stay handled until the process exits, so that one in its last millisecond does
	// not change its exit code.
	run.BindTo(signaler.Context(), (*context.Context)(nil))
	err = run.Run()
	klog.Flush()
	if err != nil {
		reportFailure(err)
		os.Exit(exitCode(err))
	}
}

// reportTimeout bounds the wait for a standard error that blocks.
const reportTimeout = 150 * time.Millisecond

// failureReport writes the error of a failed command to standard error.
type failureReport struct {
	err  error
	done chan struct{}
}

func (r *failureReport) run() {
	defer close(r.done)
	fmt.Fprintln(os.Stderr, "pimentorail:", r.err)
}

// reportFailure writes an error to standard error, unless that blocks.
func reportFailure(err error) {
	r := &failureReport{err: err, done: make(chan struct{})}
	go r.run()
	select {
	case <-r.done:
	case <-time.After(reportTimeout):
	}
}

func setLogging(verbosity int) {
	flags := flag.NewFlagSet("klog", flag.ContinueOnError)
	klog.InitFlags(flags)
	_ = flags.Set("logtostderr", "true")
	_ = flags.Set("v", fmt.Sprint(verbosity))
}

// exitCode returns the exit code of a failed command.
func exitCode(err error) int {
	var faults validator.Faults
	var f *classifier.Fault
	var settings *platform.SettingsError
	switch {
	case errors.As(err, &settings):
		return exitSettings
	case errors.Is(err, errBrokenPromises):
		return exitBrokenPromises
	case errors.As(err, &faults):
		return exitInvalid
	case errors.As(err, &f) && f.Code == classifier.ConfigConflict:
		return exitConflict
	case errors.As(err, &f) && f.Code == classifier.ConfigNotInForce:
		return exitNotInForce
	}
	return exitFailure
}
