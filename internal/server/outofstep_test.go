package server_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"pimentorail.example/pimentorail/internal/emulator"
	"pimentorail.example/pimentorail/internal/storer"
)

const (
	// knownAfter is more than the time after which the daemons know replicas that joined, and
	// recordedAfter more than that after which the origin of a stream is recorded.
	knownAfter    = 1500 * time.Millisecond
	recordedAfter = 3 * time.Second
)

// heldFeed is a feed whose replies to reads of the registry are delivered late, as to a daemon
// that stands still: they show what held when the read began.
type heldFeed struct {
	storer.Feed
	mu   sync.Mutex
	held chan struct{}
}

// hold holds the replies from now on, until the returned function is called.
func (f *heldFeed) hold() (release func()) {
	c := make(chan struct{})
	f.mu.Lock()
	defer f.mu.Unlock()
	f.held = c
	return sync.OnceFunc(func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		f.held = nil
		close(c)
	})
}

// await waits until the replies are no longer held.
func (f *heldFeed) await(table string) {
	f.mu.Lock()
	held := f.held
	f.mu.Unlock()
	if held != nil && table == "replicas" {
		<-held
	}
}

// List implements storer.Feed.
func (f *heldFeed) List(ctx context.Context, table string) ([]storer.Row, uint64, error) {
	rows, version, err := f.Feed.List(ctx, table)
	f.await(table)
	return rows, version, err
}

// Changes implements storer.Feed.
func (f *heldFeed) Changes(ctx context.Context, table string, after uint64, wait time.Duration) ([]storer.Change, uint64, error) {
	changes, version, err := f.Feed.Changes(ctx, table, after, wait)
	f.await(table)
	return changes, version, err
}

// brokenStream is a stream that its client began at one daemon and resumes at another.
type brokenStream struct {
	client   *streamClient
	id       string
	versions map[string]bool
	last     int
	refused  string
}

// begin reads the stream for a second, in which it is not complete.
func (s *brokenStream) begin(daemon int, done *sync.WaitGroup) {
	defer done.Done()
	s.last, _, _ = s.client.read(daemon, s.id, time.Second, s.versions)
}

// resume goes on with the stream, and keeps why it was refused.
func (s *brokenStream) resume(daemon int, try string, done *sync.WaitGroup) {
	defer done.Done()
	last, _, why := s.client.read(daemon, s.id+try, resumptionAllowance+time.Second, s.versions, "Last-Event", fmt.Sprint(s.last), "Resumes", s.id)
	s.refused = ""
	if last < 0 {
		s.refused = why
	}
}

// release is a release during which one daemon stands still.
type release struct {
	t       *testing.T
	held    int
	daemons []*daemon
	feeds   []storer.Feed
	// replicas are three at first, all of version v1. The third is restarted and a fourth joins.
	replicas []*crashingReplica
	streams  []*brokenStream
}

// startRelease starts the daemons and the replicas of the first version.
func startRelease(t *testing.T, held int, reports bool) *release {
	t.Helper()
	store, number := emulator.NewStore(), int(zones.Add(1))
	l := &release{t: t, held: held}
	z := &strandedZone{number: number}
	for i := range 4 {
		r := &crashingReplica{t: t, store: store, id: fmt.Sprint("r", i), address: fmt.Sprint(z.ip(3), ":", 7100+i), reports: reports}
		l.replicas = append(l.replicas, r)
		if i < 3 {
			l.start(i, "v1")
		}
	}
	time.Sleep(2 * firstRowAfter)
	for range 3 {
		l.feeds = append(l.feeds, &heldFeed{Feed: store})
	}
	l.daemons = startStreamDaemons(t, 3, number, store, l.feeds...)
	time.Sleep(knownAfter)
	return l
}

func (l *release) start(replica int, version string) {
	l.replicas[replica].start(version)
	l.t.Cleanup(l.replicas[replica].crash)
}

// begin begins streams at the daemons that are in step.
func (l *release) begin(n int) {
	var done sync.WaitGroup
	for i := range n {
		s := &brokenStream{client: &streamClient{daemons: l.daemons, number: i}, id: fmt.Sprint("s", i), versions: map[string]bool{}}
		l.streams = append(l.streams, s)
		done.Add(1)
		go s.begin((l.held+1+i%2)%3, &done)
	}
	done.Wait()
}

// version returns the version at which the stream began.
func (s *brokenStream) version() string {
	for v := range s.versions {
		return v
	}
	return ""
}

// resume resumes the streams that have not gone on, at one daemon after they began at another.
// Every third goes on at a daemon that is in step.
func (l *release) resume(try string) {
	var done sync.WaitGroup
	for i, s := range l.streams {
		if try != "" && s.refused == "" {
			continue
		}
		done.Add(1)
		go s.resume(l.next(i), "-r"+try, &done)
	}
	done.Wait()
}

// next returns the daemon at which a stream is resumed.
func (l *release) next(stream int) int {
	if stream%3 == 0 {
		return (l.held + 2 - stream%2) % 3
	}
	return l.held
}

// During a release, replicas of a new version joined, one of them at the id and address of an
// older one, while one daemon, which may be the coordinator, stood still for seconds. Streams that
// had begun at the new replicas through other daemons went on at another version, or were refused
// for good.
func TestADaemonOutOfStepJoinsNoStreams(t *testing.T) {
	for held := range 3 {
		for _, reports := range []bool{true, false} {
			t.Run(fmt.Sprint("daemon ", held, " reports ", reports), func(t *testing.T) {
				t.Parallel()
				testRelease(t, startRelease(t, held, reports))
			})
		}
	}
}

func testRelease(t *testing.T, l *release) {
	t.Helper()
	is := is.New(t)
	resumeReads := l.feeds[l.held].(*heldFeed).hold()
	t.Cleanup(resumeReads)
	l.replicas[2].crash()
	l.start(2, "v2")
	l.start(3, "v2")
	time.Sleep(knownAfter)
	l.begin(40)
	began := map[string]int{}
	for _, s := range l.streams {
		is.Equal(len(s.versions), 1)
		began[s.version()]++
	}
	time.Sleep(recordedAfter)
	l.resume("")
	refused := map[string]int{}
	for i, s := range l.streams {
		is.Equal(len(s.versions), 1)
		why := s.version() + " " + s.refused
		if l.next(i) != l.held {
			why = "in step " + s.refused
		}
		refused[why]++
	}
	resumeReads()
	time.Sleep(knownAfter)
	l.resume("again")
	went := 0
	for _, s := range l.streams {
		is.Equal(len(s.versions), 1)
		if s.refused == "" {
			went++
		}
	}
	t.Logf("began: %v; refused while the daemon stood still: %v; went on in the end: %d of %d", began, refused, went, len(l.streams))
	is.True(refused["v2 503 3001"] > 0)
	is.Equal(refused["v2 503 4007"]+refused["v1 503 4007"], 0) // The daemon does not know that a version is gone.
	is.Equal(refused["v2 "], 0)                                // It knows no replica of the new version.
	is.Equal(refused["in step "], (len(l.streams)+2)/3)        // All go on where the registry is read, whoever coordinates.
	is.Equal(went, len(l.streams))
}
