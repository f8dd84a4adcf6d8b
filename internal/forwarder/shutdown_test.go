package forwarder_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"pimentorail.example/pimentorail/internal/forwarder"
)

// TestLateRequestsEndBeforeTheDaemon guards against a request that a stopping daemon takes
// late, and that ends at its deadline just when the daemon exits.
func TestLateRequestsEndBeforeTheDaemon(t *testing.T) {
	start := time.Unix(1000, 0)
	at := func(s float64) time.Time { return start.Add(time.Duration(s * float64(time.Second))) }
	rows := []struct {
		name          string
		now, deadline float64
		want          bool
	}{
		{"early, however long", 2.7, 60, true},
		{"late and short", 5, 6.5, true},
		{"late, ends with time to answer", 5, 7.4, true},
		{"late, ends just before the daemon", 5, 7.7, false},
		{"late and long", 3, 9, false},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			is.New(t).Equal(forwarder.Admits(at(2.8), at(7.75), at(row.now), at(row.deadline)), row.want)
		})
	}
}
