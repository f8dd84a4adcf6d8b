package server

import (
	"context"
	"io"
	"time"

	"pimentorail.example/pimentorail/internal/logger"
)

// exitLogTimeout bounds the wait for the last lines at the exit of a process. It is shorter
// than exitMargin, so that an output that blocks does not use up the grace time.
const exitLogTimeout = 150 * time.Millisecond

// exitReason is why a process ends.
type exitReason string

const (
	plannedStop     exitReason = "planned-stop"
	startFailed     exitReason = "start-failed"
	goroutineFailed exitReason = "goroutine-failed"
)

// exit holds the logger of a process and writes its last line.
type exit struct {
	options   Options
	startedAt time.Time
	logger    *logger.Logger
	// stopLogger lets the logger write the queued lines and end.
	stopLogger context.CancelFunc
}

// newExit starts the logger of a process. The logger outlives the daemon.
func newExit(o Options) *exit {
	ctx, cancel := context.WithCancel(context.Background())
	return &exit{options: o, startedAt: time.Now(), logger: logger.Start(ctx, o.Output), stopLogger: cancel}
}

// report writes the queued lines and then the reason of the exit, and the reason alone to the
// error output. It returns the error.
func (e *exit) report(reason exitReason, err error) error {
	uptime := time.Since(e.startedAt)
	e.line(e.logger, reason, uptime, err)
	e.stopLogger()
	out := e.options.ErrorOutput
	if out == nil {
		out = io.Discard
	}
	ctx, cancel := context.WithCancel(context.Background())
	errorLogger := logger.Start(ctx, out)
	e.line(errorLogger, reason, uptime, err)
	cancel()
	deadline := time.Now().Add(exitLogTimeout)
	// Nothing can be done about an output that blocks.
	_ = errorLogger.WaitTimeout(exitLogTimeout)
	_ = e.logger.WaitTimeout(time.Until(deadline))
	return err
}

func (e *exit) line(l *logger.Logger, reason exitReason, uptime time.Duration, err error) {
	l.Event("server", "exit").Str("reason", string(reason)).Str("vm", e.options.VM).Str("name", e.options.Name).
		Dur("uptime", uptime).Err(err).EndLast()
}

// ReportStartFailure writes the reason of an exit before a daemon could be started.
func ReportStartFailure(o Options, err error) { _ = newExit(o).report(startFailed, err) }

// ReportStop writes that a process was told to stop before a daemon could be started.
func ReportStop(o Options) { _ = newExit(o).report(plannedStop, nil) }
