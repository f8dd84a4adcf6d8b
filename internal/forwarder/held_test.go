package forwarder_test

import (
	"net/http"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"pimentorail.example/pimentorail/internal/tracker"
)

// TestABrokenConnectionIsRetriedInAFewReplicas guards against a request that is held back as a
// suspect, and fails for its client, though its connection broke and not its replica. The
// service has two replicas.
func TestABrokenConnectionIsRetriedInAFewReplicas(t *testing.T) {
	is := is.New(t)
	var broken atomic.Bool
	breakOnce := func(w http.ResponseWriter, r *http.Request) {
		if !broken.Swap(true) {
			panic(http.ErrAbortHandler)
		}
		serveOK(w, r)
	}
	f := newFixture(t, breakOnce, breakOnce).applyRoutes()
	began := time.Now()
	is.Equal(f.send("POST", "/safe/x", "a body").status, http.StatusOK)
	is.True(broken.Load())
	is.True(time.Since(began) < time.Second)
	is.Equal(len(f.received()), 2)
}

// TestACrashInAFewReplicas guards against a request that crashes the second of two replicas
// right after the first, while all others depend on that. A call that may be repeated is not
// repeated inside, and when its client sends it again it is held back as not run, with the
// time until the first replica is usually back. A call that may not be repeated runs once.
func TestACrashInAFewReplicas(t *testing.T) {
	for _, path := range []string{"/safe/x", "/unsafe/x"} {
		t.Run(path, func(t *testing.T) {
			is := is.New(t)
			f := newFixture(t).applyRoutes()
			c := &crashes{}
			f.startCrashing(2, c)
			// The row of the crashed replica stays until it expires, and no other takes its place.
			c.stays = true
			is.Equal(f.sendBody("first", path, crashingBody).status, http.StatusBadGateway)
			time.Sleep(50 * time.Millisecond)
			is.Equal(f.sendBody("sound", path, "a sound body").status, http.StatusOK)
			r := f.sendBody("second", path, crashingBody)
			is.Equal(r.status, http.StatusServiceUnavailable)
			after, err := strconv.ParseFloat(r.header.Get("Retry-After"), 64)
			is.NoErr(err)
			is.True(after > 1 && after < 5)
			c.mu.Lock()
			is.Equal(c.ended, 1)
			c.mu.Unlock()
		})
	}
}

// TestClientsAreToldWhenAllReplicasAreAway guards against clients that use up their attempts
// at once while the few replicas of a service are away.
func TestClientsAreToldWhenAllReplicasAreAway(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, serveOK, serveOK).applyRoutes()
	var rows []tracker.Row
	for n, replica := range f.replicas {
		gone := *replica
		gone.Address, gone.StartedMS = "127.0.0.1:1", int64(n+1)
		rows = append(rows, tracker.Row{ID: gone.ID, Replica: &gone})
	}
	f.tracker.Update(rows, time.Now())
	r := f.send("POST", "/safe/x", "a body")
	is.Equal(r.status, http.StatusServiceUnavailable)
	after, err := strconv.ParseFloat(r.header.Get("Retry-After"), 64)
	is.NoErr(err)
	is.True(after >= 2)
}
