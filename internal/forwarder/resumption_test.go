package forwarder_test

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"pimentorail.example/pimentorail/internal/cataloger"
	"pimentorail.example/pimentorail/internal/emulator"
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

// A stream that nothing recorded went on at any version: one that an earlier daemon began
// while the store was away, or one that the client's request does not name.
func TestAStreamOfUnknownVersionIsRefused(t *testing.T) {
	is := is.New(t)
	f := newVersionedFixture(t, "v1", "v2")
	for stream := range f.beginStreams(1) {
		time.Sleep(recordTime)
		arrived := len(f.received())
		for _, r := range []response{
			f.resume("nobody's"), f.resume(stream, "Caller", "another"), f.send("POST", "/stream/", "x", "Last-Event", "1"),
		} {
			is.Equal(r.status, http.StatusServiceUnavailable)
			is.True(strings.Contains(r.body, `"code":4007`))
			is.Equal(r.header.Get("Retry-After"), "")
		}
		f.store.SetFaults(emulator.StoreFaults{Down: true})
		r := f.resume(stream)
		is.Equal(r.status, http.StatusServiceUnavailable)
		is.True(strings.Contains(r.body, `"code":3001`))
		is.True(r.header.Get("Retry-After") != "") // It can be resumed when the store is back.
		is.Equal(len(f.received()), arrived)
	}
}

// A stream that was resumed twice went on at the version of the second attempt's replica.
func TestAStreamResumesAgain(t *testing.T) {
	is := is.New(t)
	f := newVersionedFixture(t, "v1", "v2")
	for stream, replica := range f.beginStreams(4) {
		time.Sleep(recordTime)
		for range 3 {
			f.resume(stream)
			is.Equal(f.lastArrival().replica, replica)
		}
	}
}

// A stream of a route that leads to several services went on at another service than its own,
// or at a service to which the route no longer leads.
func TestAStreamResumesAtItsService(t *testing.T) {
	is := is.New(t)
	f := newVersionedFixture(t, "v1", "v1")
	other := *f.replicas[1]
	other.Service, other.Version, other.StartedMS = "other", "v1", time.Now().UnixMilli()+1
	f.tracker.Update([]tracker.Row{{ID: other.ID, Replica: &other}}, time.Now())
	f.routeStreams(2, cataloger.Share{Service: "s", Weight: 1}, cataloger.Share{Service: "other", Weight: 1})
	began := f.beginStreams(12)
	time.Sleep(recordTime)
	for stream, replica := range began {
		f.resume(stream)
		is.Equal(f.lastArrival().replica, replica)
	}
	f.routeStreams(3, cataloger.Share{Service: "s", Weight: 1}, cataloger.Share{Service: "other"})
	for stream, replica := range began {
		r := f.resume(stream)
		if replica == 1 {
			is.Equal(r.status, http.StatusServiceUnavailable)
		} else {
			is.Equal(f.lastArrival().replica, replica)
		}
	}
}

// routeStreams applies a configuration in which the route of streams leads to other services.
func (f *fixture) routeStreams(version uint64, shares ...cataloger.Share) {
	r := &cataloger.Route{Name: "stream", Host: "h", Prefix: "/stream/", Kind: cataloger.Streaming, MaxRuns: 1, Resumable: true, Shares: shares, Timeout: 20 * time.Second}
	f.catalog.Apply(cataloger.New(version, []*cataloger.Route{r}, []*cataloger.Service{{Name: "s"}, {Name: "other"}}, cataloger.Limits{}))
}
