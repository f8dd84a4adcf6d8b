package server

// reloader reads the settings again on each signal.
type reloader struct{ daemon *Daemon }

func (r *reloader) run() error {
	for {
		select {
		case s := <-r.daemon.options.ReloadSignals:
			r.daemon.logger.Event("server", "signal").Str("name", s.String()).End()
			r.daemon.logger.Event("server", "reload").Err(r.daemon.options.Reload()).End()
		case <-r.daemon.tomb.Dying():
			return nil
		}
	}
}
