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
		if !r.ProtoAtLeast(1, 1) {
			reset(w)
		}
		panic(http.ErrAbortHandler)
	}()
	h.next.ServeHTTP(w, r)
}

// reset resets the client's connection. Over HTTP/1.0 a response without a length ends when its
// connection is closed, so that one that broke off would look complete.
func reset(w http.ResponseWriter) {
	c, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return // The server closes the connection.
	}
	if l, ok := c.(interface{ SetLinger(seconds int) error }); ok {
		_ = l.SetLinger(0)
	}
	_ = c.Close()
}

// logFailure logs a panic that the daemon has survived, or the error of one of its loops.
func (d *Daemon) logFailure(f supervisor.Failure) {
	l := d.logger.Event("server", "recovered").Str("from", f.Name()).Err(f.Err())
	if f.Unreported() > 0 {
		l.Int("unreported", f.Unreported())
	}
	l.Str("stack", f.Stack()).End()
}
