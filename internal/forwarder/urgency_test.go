package forwarder_test

import (
	"testing"

	"github.com/matryer/is"
)

// TestUrgencyIsSent guards against a request without a finish time that is taken for one
// whose program has missed it, and waits behind all others.
func TestUrgencyIsSent(t *testing.T) {
	rows := []struct{ name, finish, want string }{
		{"no finish time", "", "-1"},
		{"the finish time has passed", "-1s", "9"},
		{"a little time left", "300ms", "2"},
		{"much time left", "1m", "5"},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			is := is.New(t)
			f := newFixture(t, serveOK).applyRoutes()
			f.send("POST", "/safe/x", "one", "Program", "p", "Finish", row.finish)
			is.Equal(f.received()[0].urgency, row.want)
		})
	}
}
