package forwarder_test

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"pimentorail.example/pimentorail/internal/tracker"
)

// recordTime is more than the store of a fixture takes to record a stream.
const recordTime = 200 * time.Millisecond

// newVersionedFixture returns a fixture with one replica for each version.
func newVersionedFixture(t *testing.T, versions ...string) *fixture {
	t.Helper()
	var replicas []behaviour
	for range versions {
		replicas = append(replicas, streamEvents(false))
	}
	f := newFixture(t, replicas...).applyRoutes()
	f.setVersions(versions...)
	return f
}

// setVersions makes each replica a new instance of the given version, and removes those
// without a version.
func (f *fixture) setVersions(versions ...string) {
	var rows []tracker.Row
	for i, v := range versions {
		row := tracker.Row{ID: fmt.Sprint(i)}
		if v != "" {
			r := *f.replicas[i]
			r.Version = v
			r.StartedMS = time.Now().UnixMilli()
			row.Replica = &r
		}
		rows = append(rows, row)
	}
	f.tracker.Update(rows, time.Now())
}

// beginStreams begins n streams that break off after two events, and returns the replica
// of each by request id.
func (f *fixture) beginStreams(n int) map[string]int {
	began := map[string]int{}
	for range n {
		f.send("POST", "/stream/", "x")
		began[fmt.Sprint("id-", f.lastID)] = f.lastArrival().replica
	}
	return began
}

func (f *fixture) lastArrival() arrival {
	list := f.received()
	return list[len(list)-1]
}

func (f *fixture) resume(stream string, header ...string) response {
	return f.send("POST", "/stream/", "x", append([]string{"Resumes", stream, "Last-Event", "1"}, header...)...)
}

// A stream that broke off went on at a replica of another version, after all daemons had
// lost their memory.
func TestAStreamResumesAtItsVersion(t *testing.T) {
	is := is.New(t)
	f := newVersionedFixture(t, "v1", "v2")
	began := f.beginStreams(24)
	versions := map[int]bool{}
	for _, replica := range began {
		versions[replica] = true
	}
	is.Equal(len(versions), 2) // Streams began at both versions.
	time.Sleep(recordTime)
	f.startForwarder(context.Background())
	for stream, replica := range began {
		before := len(f.received())
		f.resume(stream)
		is.Equal(len(f.received()), before+1) // It goes on, since its version serves.
		is.Equal(f.lastArrival().replica, replica)
	}
}

// A stream whose version has no replica left is refused at once, as not run and without a
// time to come back, so that its client begins it anew.
func TestAStreamOfAVersionThatIsGoneIsRefused(t *testing.T) {
	is := is.New(t)
	f := newVersionedFixture(t, "v1")
	began := f.beginStreams(3)
	time.Sleep(recordTime)
	f.setVersions("v2")
	arrived := len(f.received())
	for stream := range began {
		r := f.resume(stream)
		is.Equal(r.status, http.StatusServiceUnavailable)
		is.True(strings.Contains(r.body, `"ran":"no"`))
		is.Equal(r.header.Get("Retry-After"), "")
	}
	is.Equal(len(f.received()), arrived)
}
