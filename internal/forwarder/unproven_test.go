package forwarder_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

// writeTime is more than the store takes to write a record.
const writeTime = 50 * time.Millisecond

// newQuietFixture is newVersionedFixture with a registry that leaves out rows of which the sequence
// alone changed.
func newQuietFixture(t *testing.T, versions ...string) *fixture {
	t.Helper()
	f := newVersionedFixture(t, versions...)
	f.mu.Lock()
	f.quietRows = true
	f.mu.Unlock()
	return f
}

// goesOn resumes streams at a daemon that has seen nothing, and reports how many go on at a replica
// of the given ones.
func (f *fixture) goesOn(streams map[string]int, replicas func(began int) []int) (wentOn int) {
	f.startForwarder(context.Background())
	for stream, began := range streams {
		before := len(f.received())
		f.resume(stream)
		if len(f.received()) == before {
			continue
		}
		for _, r := range replicas(began) {
			if f.lastArrival().replica == r {
				wentOn++
			}
		}
	}
	return wentOn
}

func same(began int) []int { return []int{began} }

// A stream that broke off before a read of the registry proved its connection was begun anew.
func TestAStreamThatBreaksOffAtOnceIsResumed(t *testing.T) {
	is := is.New(t)
	f := newQuietFixture(t, "v1", "v2")
	for i := range f.replicas {
		began := f.beginStreamsAt(i, 1)
		time.Sleep(writeTime)
		is.Equal(f.goesOn(began, same), 1)
	}
}

// Once one connection to a replica broke off, no later stream there was ever recorded, since an
// unchanged row proved nothing more.
func TestStreamsAreResumedAfterABrokenConnection(t *testing.T) {
	is := is.New(t)
	f := newQuietFixture(t, "v1", "v2")
	for i := range f.replicas {
		f.beginStreamsAt(i, 1)
		f.tracker.SawEnd(f.tracker.Find(fmt.Sprint(i)).Instance(), time.Now())
		time.Sleep(recordTime)
		began := f.beginStreamsAt(i, 4)
		time.Sleep(recordTime)
		is.Equal(f.goesOn(began, same), 4)
	}
}

// Streams that a crash of their replica broke off were begun anew, though other replicas of its
// version served.
func TestStreamsOfACrashedReplicaGoOnAtItsVersion(t *testing.T) {
	is := is.New(t)
	f := newQuietFixture(t, "v1", "v2", "v1")
	began := f.beginStreamsAt(0, 1)
	time.Sleep(writeTime)
	f.servers[0].Close()
	is.Equal(f.goesOn(began, func(int) []int { return []int{2} }), 1)
}

// A stream went on at the version of an earlier process of its replica: the process that began it
// was at the address before its row, and is there still, or ended before the stream was resumed.
func TestAnUnprovenStreamGoesOnAtNoOtherProcess(t *testing.T) {
	for _, ended := range []bool{false, true} {
		t.Run(fmt.Sprint("ended ", ended), func(t *testing.T) {
			is := is.New(t)
			f := newQuietFixture(t, "v1", "v1")
			f.registry.stop()
			f.startForwarder(context.Background())
			f.restart(0, "v2")
			began := f.beginStreamsAt(0, 3)
			time.Sleep(writeTime)
			if ended {
				f.restart(0, "v1") // A third process.
			}
			is.Equal(f.goesOn(began, func(int) []int { return []int{0, 1} }), 0)
			f.readRegistry()
			is.Equal(f.goesOn(began, func(int) []int { return []int{0, 1} }), 0)
		})
	}
}
