package forwarder_test

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"pimentorail.example/pimentorail/internal/cataloger"
	"pimentorail.example/pimentorail/internal/emulator"
	"pimentorail.example/pimentorail/internal/tracker"
	"pimentorail.example/pimentorail/internal/versioner"
)

// recordTime is more than a fixture takes to record a stream: its registry is read again, and
// shows the replica whose connection broke off as confirmed.
const recordTime = 600 * time.Millisecond

// newVersionedFixture returns a fixture with one replica for each version.
func newVersionedFixture(t *testing.T, versions ...string) *fixture {
	t.Helper()
	var replicas []behaviour
	for range versions {
		replicas = append(replicas, streamEvents(false))
	}
	f := newFixture(t, replicas...).applyRoutes()
	f.setVersions(versions...)
	f.startRegistry(0)
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
	f.putRows(rows...)
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

// beginStreamsAt begins n streams at one replica. The others refuse them as not run meanwhile,
// since equal requests that broke off go to the same replica until it is known to live.
func (f *fixture) beginStreamsAt(replica, n int) map[string]int {
	f.setOnlyServing(&replica)
	defer f.setOnlyServing(nil)
	return f.beginStreams(n)
}

func (f *fixture) setOnlyServing(replica *int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.onlyServing = replica
}

// A stream that broke off went on at a replica of another version, after all daemons had
// lost their memory.
func TestAStreamResumesAtItsVersion(t *testing.T) {
	is := is.New(t)
	f := newVersionedFixture(t, "v1", "v2")
	began := map[string]int{}
	for i := range f.replicas {
		for stream, replica := range f.beginStreamsAt(i, 12) {
			is.Equal(replica, i)
			began[stream] = replica
		}
	}
	is.Equal(len(began), 24)
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
	f.putRows(tracker.Row{ID: other.ID, Replica: &other})
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

// newRestartedFixture returns a fixture whose replica 0 is another process, of another version,
// and a forwarder that has seen nothing and has no connections, with streams that began at both
// replicas before.
func newRestartedFixture(t *testing.T) (f *fixture, began map[string]int) {
	t.Helper()
	f = newVersionedFixture(t, "v1", "v1")
	began = f.beginStreams(8)
	time.Sleep(recordTime)
	f.registry.stop()
	f.startForwarder(context.Background())
	f.restart(0, "v2")
	return f, began
}

// A stream that was resumed went on at the next process at its replica's address, which had
// another version, before the daemon had read its row.
func TestAResumedStreamReachesNoLaterProcess(t *testing.T) {
	is := is.New(t)
	f, began := newRestartedFixture(t)
	for stream := range began {
		before := len(f.received())
		f.resume(stream)
		is.Equal(len(f.received()), before+1) // It goes on, since its version serves.
		is.Equal(f.lastArrival().replica, 1)
	}
	is.True(f.reportsAsked() <= 2*len(began))
}

// resumption is a request that resumes a stream while others do.
type resumption struct {
	fixture *fixture
	stream  string
	done    *sync.WaitGroup
}

func (r *resumption) run() {
	defer r.done.Done()
	r.fixture.sendAs(context.Background(), r.stream+"-r", "POST", "/stream/", "x", "Resumes", r.stream, "Last-Event", "1")
}

// The same happened if the replica's report does not name its start, so that only the next read
// of the registry tells.
func TestAResumedStreamWaitsForTheRegistry(t *testing.T) {
	is := is.New(t)
	f, began := newRestartedFixture(t)
	f.mu.Lock()
	f.silentReports = true
	f.mu.Unlock()
	before := len(f.received())
	var done sync.WaitGroup
	for stream := range began {
		done.Add(1)
		go (&resumption{f, stream, &done}).run()
	}
	f.startRegistry(400 * time.Millisecond)
	done.Wait()
	arrived := f.received()[before:]
	is.True(len(arrived) > 0)
	for _, a := range arrived {
		is.Equal(a.replica, 1)
	}
}

// A stream that began at the next process at a replica's address was recorded under the version
// of the earlier one.
func TestAStreamIsRecordedOnlyForTheProcessOfItsRow(t *testing.T) {
	is := is.New(t)
	f := newVersionedFixture(t, "v1", "v1")
	f.registry.stop()
	f.startForwarder(context.Background())
	f.restart(0, "v2")
	f.restart(1, "v2")
	start := time.Now()
	began := f.beginStreams(6)
	is.True(time.Since(start) < 300*time.Millisecond) // No first event waits.
	is.Equal(f.reportsAsked(), 0)
	time.Sleep(recordTime)
	f.readRegistry()
	time.Sleep(recordTime)
	f.restart(0, "v1")
	f.readRegistry() // Both versions serve.
	for stream := range began {
		r := f.resume(stream)
		is.Equal(r.status, http.StatusServiceUnavailable)
		is.True(strings.Contains(r.body, `"ran":"no"`))
	}
	is.Equal(len(f.received()), 6)
}

// Streams that began just after a connection was opened were never recorded, or a day without
// failures made further calls.
func TestAStreamOnANewConnectionIsRecorded(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, streamEvents(true)).applyRoutes()
	f.setVersions("v1")
	f.send("POST", "/stream/", "x")
	stream := fmt.Sprint("id-", f.lastID)
	time.Sleep(recordTime)
	f.readRegistry()
	time.Sleep(recordTime)
	f.readRegistry()
	is.Equal(f.resume(stream).status, http.StatusOK)
	is.Equal(f.reportsAsked(), 0) // The replica has written a row since the connection was opened.
}

// A daemon whose configuration did not yet let the route resume streams took a resumption for a
// new request, and the stream went on at any version.
func TestAResumptionIsNoNewRequestUnderAnOlderConfiguration(t *testing.T) {
	for _, kind := range []cataloger.Kind{cataloger.Streaming, cataloger.Unsafe} {
		is := is.New(t)
		f := newVersionedFixture(t, "v1", "v2")
		began := f.beginStreams(12)
		time.Sleep(recordTime)
		f.startForwarder(context.Background())
		r := &cataloger.Route{Name: "all", Host: "h", Prefix: "/", Kind: kind, MaxRuns: 1, Shares: []cataloger.Share{{Service: "s", Weight: 1}}, Timeout: 20 * time.Second}
		f.catalog = &cataloger.Keeper{}
		f.catalog.Apply(cataloger.New(1, []*cataloger.Route{r}, []*cataloger.Service{{Name: "s"}}, cataloger.Limits{}))
		f.startForwarder(context.Background())
		for stream, replica := range began {
			f.resume(stream)
			is.Equal(f.lastArrival().replica, replica)
		}
		arrived := len(f.received())
		is.Equal(f.resume("nobody's").status, http.StatusServiceUnavailable)
		is.Equal(len(f.received()), arrived)
	}
}

// The next process at a replica's address wrote its first row late. A stream that began there was
// recorded under the version of the process before, whose row was still read, and resumed there.
func TestAStreamIsNotRecordedByTheRowOfAnEarlierProcess(t *testing.T) {
	is := is.New(t)
	f := newVersionedFixture(t, "v1", "v1")
	f.setVersions("v1", "")
	f.registry.stop()
	f.startForwarder(context.Background())
	began := f.beginStreams(4) // At another process than that of the row.
	for range 4 {
		time.Sleep(200 * time.Millisecond)
		start := time.Now()
		f.tracker.Update(nil, time.Now())
		f.tracker.ReadCompleted(start)
	}
	f.restart(0, "v2") // Its row is written.
	other := *f.replicas[1]
	other.Version, other.StartedMS = "v1", time.Now().UnixMilli()
	f.putRows(tracker.Row{ID: "1", Replica: &other})
	time.Sleep(100 * time.Millisecond)
	for stream := range began {
		is.Equal(f.resume(stream).status, http.StatusServiceUnavailable)
	}
	is.Equal(len(f.received()), len(began))
}

// recordAtOther records that a stream began at a version, as another daemon does.
func (f *fixture) recordAtOther(stream, version string) {
	f.t.Helper()
	v := versioner.Start(f.t.Context(), f.store)
	v.Record(versioner.Stream{Hostname: "h", RequestID: stream}, versioner.Origin{Service: "s", Version: version})
	for range 100 {
		if recorded, _ := v.Counts(); recorded == 1 {
			return
		}
		time.Sleep(5 * time.Millisecond)
	}
	f.t.Fatal("the origin of the stream is not recorded")
}

// A daemon that had not read the registry since replicas of a new version joined told clients for
// good that no replica had the version of their stream.
func TestAnOldViewDoesNotRefuseAStreamForGood(t *testing.T) {
	is := is.New(t)
	f := newVersionedFixture(t, "v1", "v1")
	f.registry.stop()
	f.recordAtOther("1", "v2")
	r := f.resume("1")
	is.Equal(r.status, http.StatusServiceUnavailable)
	is.True(strings.Contains(r.body, `"ran":"no"`))
	is.True(strings.Contains(r.body, `"code":3001`))
	is.True(r.header.Get("Retry-After") != "")
	is.Equal(len(f.received()), 0)
	f.restart(1, "v2")
	f.startRegistry(300 * time.Millisecond)
	f.resume("1") // It waits for the read.
	is.Equal(len(f.received()), 1)
	is.Equal(f.lastArrival().replica, 1)
}
