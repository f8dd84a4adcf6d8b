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

// begin reads the stream for 300 ms.
func (s *brokenStream) begin(daemon int, done *sync.WaitGroup) {
	defer done.Done()
	s.last, _, _ = s.client.read(daemon, s.id, 300*time.Millisecond, s.versions)
}

// resume goes on with the stream, and keeps why it was refused.
func (s *brokenStream) resume(daemon int, try string, done *sync.WaitGroup) {
	defer done.Done()
	last, _, why := s.client.read(daemon, s.id+try, resumptionAllowance+500*time.Millisecond, s.versions, "Last-Event", fmt.Sprint(s.last), "Resumes", s.id)
	s.refused = ""
	if last < 0 {
		s.refused = why
	}
}

// During a release, replicas of a new version joined, one of them at the id and address of an
// older one, while one daemon stood still for seconds. Streams that had begun at the new replicas
// through other daemons went on at another version there, or were refused for good.
func TestADaemonOutOfStepJoinsNoStreams(t *testing.T) {
	for _, reports := range []bool{true, false} {
		t.Run(fmt.Sprint("reports ", reports), func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			store, number := emulator.NewStore(), int(zones.Add(1))
			z := &strandedZone{number: number}
			var replicas []*crashingReplica
			for i := range 4 {
				replicas = append(replicas, &crashingReplica{t: t, store: store, id: fmt.Sprint("r", i), address: fmt.Sprint(z.ip(3), ":", 7100+i), reports: reports})
			}
			for _, r := range replicas[:3] {
				r.start("v1")
				t.Cleanup(r.crash)
			}
			time.Sleep(2 * firstRowAfter)
			feed := &heldFeed{Feed: store}
			daemons := startStreamDaemons(t, 3, number, store, feed)
			time.Sleep(knownAfter)
			release := feed.hold()
			t.Cleanup(release)
			replicas[2].crash()
			replicas[2].start("v2")
			replicas[3].start("v2")
			t.Cleanup(replicas[3].crash)
			time.Sleep(knownAfter)

			var streams []*brokenStream
			var done sync.WaitGroup
			for i := range 40 {
				s := &brokenStream{client: &streamClient{daemons: daemons, number: i}, id: fmt.Sprint("s", i), versions: map[string]bool{}}
				streams = append(streams, s)
				done.Add(1)
				go s.begin(1+i%2, &done)
			}
			done.Wait()
			time.Sleep(recordedAfter)
			began := map[string]int{}
			for _, s := range streams {
				is.Equal(len(s.versions), 1)
				for v := range s.versions {
					began[v]++
				}
				done.Add(1)
				go s.resume(0, "-a", &done)
			}
			done.Wait()
			refused := map[string]int{}
			for _, s := range streams {
				is.Equal(len(s.versions), 1)
				refused[s.refused]++
			}
			release()
			time.Sleep(knownAfter)
			went := 0
			for _, s := range streams {
				if s.refused != "" {
					done.Add(1)
					go s.resume(0, "-b", &done)
				}
			}
			done.Wait()
			for _, s := range streams {
				is.Equal(len(s.versions), 1)
				if s.refused == "" {
					went++
				}
			}
			t.Logf("began: %v; refused while the daemon stood still: %v; went on in the end: %d of %d", began, refused, went, len(streams))
			is.True(began["v2"] > 0)
			is.Equal(refused["503 4007"], 0) // The daemon does not know that the version is gone.
			is.True(refused["503 3001"] >= began["v2"])
			is.Equal(went, len(streams))
		})
	}
}
