package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kong"
	"github.com/pkg/errors"
	"k8s.io/klog/v2"

	"pimentorail.example/pimentorail/internal/validator"
	"pimentorail.example/pimentorail/pkg/classifier"
)

// The exit codes; docs/ERRORS.md lists them.
const (
	exitFailure  = 1
	exitUsage    = 2
	exitInvalid  = 3
	exitConflict = 4
	exitLagging  = 5
	exitBroken   = 6
)

var errBroken = errors.New("a promise was broken")

// commands are all commands of the program.
type commands struct {
	Verbosity int `help:"Log verbosity." short:"v" default:"0"`

	Daemon daemonCommand `cmd:"" help:"Run a daemon until it is told to stop (SIGTERM, SIGINT)."`

	Serve serveCommand `cmd:"" help:"Run a daemon by the settings of the users' platform."`

	Schema   schemaCommand   `cmd:"" help:"Print the schema of settings, answers or declarations."`
	Check    checkCommand    `cmd:"" help:"Check declarations."`
	Generate generateCommand `cmd:"" help:"Generate declarations from the answers of a questionnaire."`
	Diff     diffCommand     `cmd:"" help:"Show what applying declarations would change."`
	Apply    applyCommand    `cmd:"" help:"Apply declarations and wait until they are in force everywhere."`
	Rollback rollbackCommand `cmd:"" help:"Return to an earlier version, as a new version."`
	History  historyCommand  `cmd:"" help:"Show the audit trail of changes."`
	Status   statusCommand   `cmd:"" help:"Show the daemons and the versions in force."`
	Drain    drainCommand    `cmd:"" help:"Let a replica get no new work."`
	Undrain  undrainCommand  `cmd:"" help:"Let a replica get work again."`

	Platform platformCommand `cmd:"" help:"Run the stand-in of the platform's table service, object store and list of VMs."`
	Engine   engineCommand   `cmd:"" help:"Run the stand-in of a model engine."`
	Tool     toolCommand     `cmd:"" help:"Run the stand-in of a plain service."`
	Balancer balancerCommand `cmd:"" help:"Run the stand-in of the balancer."`
	Credit   creditCommand   `cmd:"" help:"Show from log lines of serve where the time of programs went."`
	Load     loadCommand     `cmd:"" help:"Play seeded programs and check the promises."`
	Summary  summaryCommand  `cmd:"" help:"Print medians and ranges of the load tool's reports."`
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
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	run.BindTo(ctx, (*context.Context)(nil))
	err = run.Run()
	stop()
	klog.Flush()
	if err != nil {
		fmt.Fprintln(os.Stderr, "pimentorail:", err)
		os.Exit(exitCode(err))
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
	switch {
	case errors.Is(err, errBroken):
		return exitBroken
	case errors.As(err, &faults):
		return exitInvalid
	case errors.As(err, &f) && f.Code == classifier.ConfigConflict:
		return exitConflict
	case errors.As(err, &f) && f.Code == classifier.ConfigNotInForce:
		return exitLagging
	}
	return exitFailure
}
