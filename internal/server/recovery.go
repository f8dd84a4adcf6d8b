package server

import (
	"net/http"

	"pimentorail.example/pimentorail/internal/supervisor"
)

// recovery reports the panics of a handler. The client's connection is closed, which promises
// nothing about the request.
type recovery struct{ next http.Handler }

// ServeHTTP implements http.Handler.
func (h *recovery) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	defer func() {
		v := recover()
		if v == nil {
			return
		}
		if v != http.ErrAbortHandler {
			_ = supervisor.Report("server: request "+r.URL.Path, v)
		}
		panic(http.ErrAbortHandler)
	}()
	h.next.ServeHTTP(w, r)
}

// logFailure logs a panic that the daemon has survived, or the error of one of its loops.
func (d *Daemon) logFailure(f supervisor.Failure) {
	l := d.logger.Event("server", "recovered").Str("from", f.Name()).Err(f.Err())
	if f.Unreported() > 0 {
		l.Int("unreported", f.Unreported())
	}
	l.Str("stack", f.Stack()).End()
}
