package forwarder_test

import (
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"
)

// endlessBound is the time in which a response without end must be given up. The client's
// deadline is 10 s.
const endlessBound = 3 * time.Second

// refuseWithoutEnd states that the request did not run, in a body that stalls.
func refuseWithoutEnd(w http.ResponseWriter, r *http.Request) {
	notRun(w, r)
	_, _ = io.WriteString(w, "not")
	_ = http.NewResponseController(w).Flush()
	<-r.Context().Done()
}

// endlessEvent sends one event of short lines that never ends.
func endlessEvent(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Content-Type", "text/event-stream")
	for r.Context().Err() == nil {
		if _, err := io.WriteString(w, "data: more of it\n"); err != nil {
			return
		}
	}
}

// endlessHead sends header lines until the caller closes.
func endlessHead(w http.ResponseWriter, _ *http.Request) {
	c, _, err := w.(http.Hijacker).Hijack()
	if err != nil {
		return
	}
	defer c.Close()
	_, err = io.WriteString(c, "HTTP/1.1 200 OK\r\n")
	for err == nil {
		_, err = io.WriteString(c, "X-More: and more of it\r\n")
	}
}

// TestResponsesWithoutEnd guards against replicas in trouble whose responses never end: the
// client gets another replica's response, or an honest failure, long before its deadline.
func TestResponsesWithoutEnd(t *testing.T) {
	rows := []struct {
		name      string
		behaviour behaviour
		path      string
		status    int
	}{
		{"a refusal is tried elsewhere", refuseWithoutEnd, "/unsafe/x", 200},
		{"a head, repeatable", endlessHead, "/safe/x", 200},
		{"a head, not repeatable", endlessHead, "/unsafe/x", 502},
		{"an event, not repeatable", endlessEvent, "/turn/x", 502},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			is := is.New(t)
			f := newFixture(t, row.behaviour, serveOK).applyRoutes()
			reached := false
			for !reached { // Until the first replica is chosen.
				began := time.Now()
				a := f.send("POST", row.path, "one")
				is.True(time.Since(began) < endlessBound)
				for _, r := range f.received() {
					reached = reached || r.replica == 0
				}
				if reached {
					is.Equal(a.status, row.status)
				}
			}
		})
	}
}
