package server_test

import (
	"encoding/json"
	"fmt"
	"testing"

	"pimentorail.example/pimentorail/internal/tracker"
)

// TestALargeNumberDoesNotHideLaterRows guards against a daemon that stops to follow a replica,
// and sends requests to it while it drains, because another writer put a row with a sequence or
// a start time within the bounds, but above the replica's, in the place of its row.
func TestALargeNumberDoesNotHideLaterRows(t *testing.T) {
	const future = 4_102_444_800_000 // The year 2100; rows may name start times until 2109.
	for _, odd := range []struct{ sequence, startedMS int64 }{{1 << 40, 1}, {2, future}} {
		t.Run(fmt.Sprintf("sequence %d, born %d", odd.sequence, odd.startedMS), func(t *testing.T) {
			followRegistry(t, nil, func(w *registryWorld) {
				w.put("r0", 1, false)
				w.put("r1", 1, false)
				w.settle()
				row, err := json.Marshal(tracker.Replica{ID: "r1", Service: "s", Address: "10.0.0.1:80", Slots: 4, StartedMS: odd.startedMS, Sequence: odd.sequence})
				w.is.NoErr(err)
				w.write("replicas//r1", row, false)
				w.settle()
				for sequence := range int64(5) {
					w.put("r1", 2+sequence, true) // The replica drains.
					w.settle()
				}
				if u := w.usable(); u != "r0" {
					t.Errorf("10 s after the replica's rows say that it drains, %q are usable, want only r0", u)
				}
			})
		})
	}
}
