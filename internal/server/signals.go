package server

import (
	"os"

	"pimentorail.example/pimentorail/internal/logger"
)

// Signals are the signals that a daemon receives. Channels may be nil.
type Signals struct {
	// Reloads asks for a reload of the settings, Dumps for the stacks of all goroutines.
	Reloads, Dumps <-chan os.Signal
	// Repeats receives signals to stop after the first, which ended the daemon's context.
	// They are only logged.
	Repeats <-chan os.Signal
}

// signalLoop handles the signals until the daemon has stopped.
type signalLoop struct{ daemon *Daemon }

func (l *signalLoop) run() error {
	d := l.daemon
	for {
		select {
		case s := <-d.options.Signals.Reloads:
			logSignal(d.logger, s.String())
			d.reload()
		case s := <-d.options.Signals.Dumps:
			logSignal(d.logger, s.String())
			logStacks(d.logger)
		case s := <-d.options.Signals.Repeats:
			logSignal(d.logger, s.String())
		case <-d.tomb.Dying():
			return nil
		}
	}
}

func logSignal(l *logger.Logger, name string) {
	l.Event("server", "signal").Str("name", name).End()
}

// reload reads the settings again.
func (d *Daemon) reload() {
	if d.options.Reload != nil {
		d.logger.Event("server", "reload").Err(d.options.Reload()).End()
	}
}
