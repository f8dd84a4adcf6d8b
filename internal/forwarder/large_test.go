package forwarder_test

import (
	"context"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"pimentorail.example/pimentorail/internal/emulator"
)

const maxBodyBytes = 4 << 20

// newLargeFixture returns a fixture with rows of the size that the store takes, and with
// time to read large turns.
func newLargeFixture(t *testing.T, replicas ...behaviour) *fixture {
	t.Helper()
	f := newFixture(t, replicas...).applyRoutes()
	f.restartLarge()
	return f
}

// restartLarge replaces the forwarder by one with empty memory.
func (f *fixture) restartLarge() {
	ctx, cancel := context.WithCancel(context.Background())
	f.t.Cleanup(cancel)
	f.rowBytes, f.storeTimeout = 65536, 2*time.Second
	f.startForwarder(ctx)
}

// TestATurnOfTheLargestBodyIsKept guards against turns of legal size that run, and whose
// stream then does not end since the store takes them in no call.
func TestATurnOfTheLargestBodyIsKept(t *testing.T) {
	is := is.New(t)
	f := newLargeFixture(t, streamEvents(true))
	f.store.SetFaults(emulator.StoreFaults{LoseEvery: 3})
	body := strings.Repeat("0123456789abcdef", maxBodyBytes/16)
	want := ""
	for i, id := range []string{"one", "two", "three"} {
		if i == 2 {
			f.restartLarge() // The history is read from the store.
		}
		text := body
		if i > 0 {
			text = "again "
		}
		o := f.sendAs(context.Background(), id, http.MethodPost, "/turn/", text, "Parent", []string{"", "one", "two"}[i])
		is.NoErr(o.err)
		is.Equal(o.status, 200)
		is.True(f.received()[i].body == want+text)
		want += text + "word0\nword1\n"
	}
}

// TestATurnThatCanNeverBeStoredDoesNotRun guards against running a turn and only then finding
// that it is too large.
func TestATurnThatCanNeverBeStoredDoesNotRun(t *testing.T) {
	is := is.New(t)
	f := newLargeFixture(t, streamEvents(true))
	o := f.send(http.MethodPost, "/turn/", strings.Repeat("x", 8<<20+1))
	is.Equal(o.status, http.StatusRequestEntityTooLarge)
	is.True(strings.Contains(o.body, "too large"))
	is.Equal(len(f.received()), 0)
	is.Equal(f.send(http.MethodPost, "/stream/", strings.Repeat("x", 8<<20+1)).status, 200) // It is not stored.
}

// TestAHistoryThatDoesNotFitIntoMemory checks that the turn is refused before it runs, and
// served once there is memory.
func TestAHistoryThatDoesNotFitIntoMemory(t *testing.T) {
	is := is.New(t)
	f := newLargeFixture(t, streamEvents(true))
	is.Equal(f.sendAs(context.Background(), "one", http.MethodPost, "/turn/", strings.Repeat("x", maxBodyBytes)).status, 200)
	f.historyBytes = maxBodyBytes
	f.restartLarge()
	o := f.sendAs(context.Background(), "two", http.MethodPost, "/turn/", "x", "Parent", "one")
	is.Equal(o.status, http.StatusServiceUnavailable)
	is.True(o.header.Get("Retry-After") != "")
	is.Equal(len(f.received()), 1)
	f.historyBytes = 2 * maxBodyBytes
	f.restartLarge()
	for range 3 {
		is.Equal(f.send(http.MethodPost, "/turn/", "x", "Parent", "one").status, 200) // Each returns the memory.
	}
}

// TestAnOutputThatIsTooLargeEndsTheStream guards against collecting the output of a replica
// that goes on for as long as the request's deadline allows.
func TestAnOutputThatIsTooLargeEndsTheStream(t *testing.T) {
	is := is.New(t)
	event := "data: " + strings.Repeat("y", 512<<10) + "\n\n"
	f := newLargeFixture(t, func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Content-Type", "text/event-stream")
		for r.Context().Err() == nil {
			if _, err := io.WriteString(w, event); err != nil {
				return
			}
		}
	})
	began := time.Now()
	o := f.send(http.MethodPost, "/turn/", "x")
	is.True(o.err != nil)
	is.True(len(o.body) <= 17<<20)
	is.True(time.Since(began) < 8*time.Second) // Before the deadline of 10 s.
}
