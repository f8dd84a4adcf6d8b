package tracker_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"pimentorail.example/pimentorail/internal/tracker"
)

// known returns a replica's row with a sequence number, and a tracker that knows of it from a
// read that began at second 0.
func known() (*tracker.Tracker, *tracker.Replica) {
	t := newTracker()
	t.ReadCompleted(at(0))
	return t, t.Find("a")
}

// readAt applies a read of the registry that began at a time and shows a row of replica a.
func readAt(t *tracker.Tracker, s float64, sequence, startedMS int64) []tracker.Change {
	r := replica("a")
	r.Sequence, r.StartedMS = sequence, startedMS
	t.Update(written(r), at(s+0.01))
	return t.ReadCompleted(at(s))
}

// A connection that was opened to the next process before the registry was read counted as
// one to the instance of the row.
func TestOnlyALaterReadProvesAConnection(t *testing.T) {
	is := is.New(t)
	tr, r := known()
	is.True(tr.Owns(r, at(-1)))
	is.True(!tr.Owns(r, at(0.1)))  // No read has begun since.
	is.True(!tr.Owns(r, at(-0.1))) // The next process may not have written its row yet.
	tr.Update(nil, at(0.8))
	tr.ReadCompleted(at(0.7))
	is.True(tr.Owns(r, at(0.1)))
	is.True(!tr.Owns(r, at(0.6)))
	readAt(tr, 1.4, 1, 2) // Another process has the id and the address.
	is.True(!tr.Owns(r, at(0.1)))
	next := tr.Find("a")
	is.True(!tr.Owns(next, at(1.3)))
	is.True(tr.Owns(next, at(1.0)))
	is.True(!tr.SawEnd(r.Instance(), at(2))) // What is seen of the old process does not concern the next one.
	is.Equal(len(tr.Unconfirmed("s")), 0)
}

// An instance whose process was seen to end counted as alive because of a row that it had
// written before.
func TestARowWrittenBeforeTheEndConfirmsNothing(t *testing.T) {
	is := is.New(t)
	tr, r := known()
	is.True(tr.SawEnd(r.Instance(), at(1)))
	is.True(!tr.SawEnd(r.Instance(), at(1.1)))
	is.Equal(tr.Unconfirmed("s"), []string{r.Instance()})
	is.True(tr.SawEndSince(r, at(0.5)))
	is.True(!tr.SawEndSince(r, at(1.2)))
	is.Equal(len(readAt(tr, 1.05, 2, 1)), 0) // The read began before the end was seen last.
	is.Equal(len(readAt(tr, 1.7, 3, 1)), 0)  // Written before the end, and read after it.
	is.Equal(len(readAt(tr, 2.4, 3, 1)), 0)
	is.Equal(tr.Unconfirmed("s"), []string{r.Instance()})
	is.True(!tr.Owns(r, at(0.5)))
	is.True(tr.Owns(r, at(-0.5))) // A connection that works belongs to the process of before.
	is.Equal(readAt(tr, 3.1, 4, 1)[0].Kind, "confirmed")
	is.Equal(len(tr.Unconfirmed("s")), 0)
	is.True(tr.Owns(r, at(2.7)))
	is.True(!tr.SawEndSince(r, at(0.5)))
}

// A replica that was seen to end stayed unconfirmed under its next instance.
func TestTheNextInstanceIsConfirmed(t *testing.T) {
	is := is.New(t)
	tr, r := known()
	tr.SawEnd(r.Instance(), at(1))
	readAt(tr, 2, 1, 2)
	is.Equal(len(tr.Unconfirmed("s")), 0)
	is.True(!tr.SawEndSince(r, at(0)))
}

// The connections that a planned stop closes made a replica count as ended.
func TestAPlannedStopIsNoEnd(t *testing.T) {
	is := is.New(t)
	tr, r := known()
	tr.Leave(r.Instance(), at(1))
	is.True(!tr.SawEnd(r.Instance(), at(2)))
	b := tr.Find("b")
	d := replica("b")
	d.Draining, d.Sequence = true, 2
	tr.Update(written(d), at(2))
	is.True(!tr.SawEnd(b.Instance(), at(3)))
	is.True(!tr.SawEnd("unknown", at(3)))
}

// Connections were proven by reads that no longer showed the replica's row.
func TestAMissingRowProvesNothing(t *testing.T) {
	is := is.New(t)
	tr, r := known()
	tr.StoreUnavailable()
	tr.StoreRecovered(at(1))
	tr.Update(removed("a"), at(1.1))
	tr.ReadCompleted(at(1.1))
	is.True(!tr.Owns(r, at(0.5)))
}

// A connection that was proven for one version counted as proven for the next process, whose
// rows have no start time either.
func TestAVersionWithoutAStartTimeOwnsItsConnections(t *testing.T) {
	is := is.New(t)
	tr := tracker.New(tracker.Options{})
	old := replica("a")
	old.StartedMS, old.Sequence, old.Version = 0, 40, "v1"
	tr.Update(written(old), at(0))
	tr.ReadCompleted(at(0))
	is.True(tr.Owns(old, at(-1)))
	next := replica("a")
	next.StartedMS, next.Sequence, next.Version = 0, 1, "v2"
	tr.Update(written(next), at(1))
	tr.ReadCompleted(at(1))
	is.Equal(tr.Find("a").Version, "v2")
	is.True(!tr.Owns(old, at(0.1)))
	is.True(tr.Owns(next, at(0.1)))
}

// waiter waits until a connection that was opened at second 1 is known to lead to a replica.
type waiter struct {
	tracker *tracker.Tracker
	replica *tracker.Replica
	owned   chan bool
}

func (w *waiter) run(ctx context.Context) { w.owned <- w.tracker.AwaitOwned(ctx, w.replica, at(1)) }

// A request waited for a process that had been replaced, or did not learn that its connection
// was proven.
func TestAwaitOwned(t *testing.T) {
	for name, row := range map[string]struct {
		step func(tr *tracker.Tracker, r *tracker.Replica)
		want bool
	}{
		"a later read":       {func(tr *tracker.Tracker, _ *tracker.Replica) { readAt(tr, 2, 1, 1) }, true},
		"another process":    {func(tr *tracker.Tracker, _ *tracker.Replica) { readAt(tr, 2, 1, 2) }, false},
		"named by itself":    {func(tr *tracker.Tracker, r *tracker.Replica) { tr.Identified(r, at(1)) }, true},
		"an end seen before": {func(tr *tracker.Tracker, r *tracker.Replica) { tr.SawEnd(r.Instance(), at(1.5)); readAt(tr, 2, 1, 1) }, false},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				tr, r := known()
				ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
				defer cancel()
				w := &waiter{tracker: tr, replica: r, owned: make(chan bool, 1)}
				go w.run(ctx)
				synctest.Wait()
				is.Equal(len(w.owned), 0)
				row.step(tr, r)
				is.Equal(<-w.owned, row.want)
			})
		})
	}
}

// A replica that named itself stayed unconfirmed because of a connection that had broken off
// before.
func TestAReplicaConfirmsItself(t *testing.T) {
	is := is.New(t)
	tr, r := known()
	tr.SawEnd(r.Instance(), at(1))
	tr.Identified(r, at(0.5)) // That was before.
	is.Equal(len(tr.Unconfirmed("s")), 1)
	tr.Identified(r, at(1.5))
	is.Equal(len(tr.Unconfirmed("s")), 0)
	is.True(tr.Owns(r, at(1.5)))
	is.True(!tr.Owns(r, at(1.6)))
}

// A row that was written before a connection was opened, or that had not changed, showed that
// the instance had lived after that.
func TestOnlyALaterRowShowsThatAnInstanceLived(t *testing.T) {
	is := is.New(t)
	tr, r := known()
	readAt(tr, 0.7, 1, 1)
	is.True(tr.Owns(r, at(0.1)))
	is.True(!tr.Outlived(r, at(0.1)))
	readAt(tr, 1.4, 2, 1) // Written after 0.7.
	is.True(tr.Outlived(r, at(0.7)))
	is.True(!tr.Outlived(r, at(0.8)))
	readAt(tr, 2.1, 2, 1)
	is.True(!tr.Outlived(r, at(0.8)))
	tr.Identified(r, at(2))
	is.True(tr.Outlived(r, at(2)))
	readAt(tr, 2.8, 1, 2)
	is.True(!tr.Outlived(r, at(0.7)))
	is.True(!tr.Outlived(tr.Find("a"), at(0.7)))
}

// A version of which no replica was known counted as gone, though the registry had last been read
// before its replicas joined.
func TestOnlyALaterReadShowsThatAReplicaIsGone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		tr := newTracker()
		is.True(!tr.Covers(0, at(0))) // Nothing was read.
		tr.ReachedVersion(7)
		tr.ReadCompleted(at(1))
		is.True(tr.Covers(7, at(2)))  // As of the same version.
		is.True(!tr.Covers(8, at(2))) // A later one, and the read began before.
		is.True(!tr.Covers(0, at(2))) // Without a version only the time counts.
		is.True(tr.Covers(8, at(1)))
		tr.ReachedVersion(6)
		is.True(tr.Covers(7, at(2))) // A view does not get older.
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		is.True(!tr.AwaitCovered(ctx, 8, at(2)))
		go (&laterRead{tr, at(2)}).run()
		is.True(tr.AwaitCovered(t.Context(), 8, at(2)))
	})
}

// laterRead is a read of the registry that ends after a second.
type laterRead struct {
	tracker *tracker.Tracker
	began   time.Time
}

func (r *laterRead) run() {
	time.Sleep(time.Second)
	r.tracker.ReadCompleted(r.began)
}
