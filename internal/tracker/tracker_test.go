package tracker_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"pimentorail.example/pimentorail/internal/tracker"
)

const grace = 2 * time.Second

var start = time.Unix(1000, 0)

func at(s float64) time.Time { return start.Add(time.Duration(s * float64(time.Second))) }

func replica(id string) *tracker.Replica {
	return &tracker.Replica{ID: id, Service: "s", Address: "10.0.0.1:80", StartedMS: 1, Slots: 4, Sequence: 1}
}

func written(r *tracker.Replica) []tracker.Row {
	return []tracker.Row{{ID: r.ID, Replica: r}}
}

func removed(id string) []tracker.Row { return []tracker.Row{{ID: id}} }

func newTracker() *tracker.Tracker {
	t := tracker.New(tracker.Options{OutageGrace: grace})
	t.Replace([]*tracker.Replica{replica("a"), replica("b")}, at(0))
	return t
}

func TestMissingReplicas(t *testing.T) {
	rows := []struct {
		name  string
		steps func(t *tracker.Tracker)
		want  int
	}{
		{"removed while the store is available", func(t *tracker.Tracker) { t.Update(removed("a"), at(1)) }, 1},
		{"draining", func(t *tracker.Tracker) {
			d := replica("a")
			d.Draining, d.Sequence = true, 2
			t.Update(written(d), at(1))
		}, 1},
		{"removed in an outage", func(t *tracker.Tracker) {
			t.StoreUnavailable()
			t.Update(removed("a"), at(1))
			t.Expire(at(100))
		}, 2},
		{"missing just after an outage", func(t *tracker.Tracker) {
			t.StoreUnavailable()
			t.StoreRecovered(at(10))
			t.Replace([]*tracker.Replica{replica("b")}, at(10))
			t.Expire(at(11))
		}, 2},
		{"still missing after the grace period", func(t *tracker.Tracker) {
			t.StoreUnavailable()
			t.StoreRecovered(at(10))
			t.Replace([]*tracker.Replica{replica("b")}, at(10))
			t.Expire(at(12.1))
		}, 1},
		{"restored within the grace period", func(t *tracker.Tracker) {
			t.StoreUnavailable()
			t.StoreRecovered(at(10))
			t.Replace([]*tracker.Replica{replica("b")}, at(10))
			t.Update(written(replica("a")), at(11))
			t.Expire(at(13))
		}, 2},
		{"removed and written again between two reads", func(t *tracker.Tracker) {
			t.StoreUnavailable()
			t.StoreRecovered(at(10))
			t.Update(append(removed("a"), written(replica("a"))...), at(10))
			t.Expire(at(13))
		}, 2},
		{"written and removed between two reads", func(t *tracker.Tracker) {
			t.Update(append(written(replica("a")), removed("a")...), at(1))
		}, 1},
		{"missing since an outage, within the grace period", func(t *tracker.Tracker) {
			t.StoreUnavailable()
			t.Replace(nil, at(1))
			t.StoreRecovered(at(10))
			t.Expire(at(11.9))
		}, 2},
		{"removed long after an outage", func(t *tracker.Tracker) {
			t.StoreUnavailable()
			t.StoreRecovered(at(10))
			t.Update(removed("a"), at(20))
		}, 1},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			is := is.New(t)
			k := newTracker()
			row.steps(k)
			is.Equal(len(k.Usable("s")), row.want)
		})
	}
}

// TestConfirmedRemovals guards against a daemon that was cut off and goes on using replicas
// whose rows were removed, and against replicas that are dropped in an outage of the store.
func TestConfirmedRemovals(t *testing.T) {
	rows := []struct {
		name  string
		steps func(t *tracker.Tracker)
		want  int
	}{
		{"missing when the daemon is back", func(t *tracker.Tracker) {
			t.Replace([]*tracker.Replica{replica("b")}, at(10))
			t.ConfirmRemovals(at(10))
		}, 1},
		{"confirmed before the rows are read", func(t *tracker.Tracker) {
			t.ConfirmRemovals(at(10))
			t.Replace([]*tracker.Replica{replica("b")}, at(10))
		}, 1},
		{"removed just after that", func(t *tracker.Tracker) {
			t.ConfirmRemovals(at(10))
			t.Update(removed("a"), at(10.5))
		}, 1},
		{"another outage has begun", func(t *tracker.Tracker) {
			t.Replace([]*tracker.Replica{replica("b")}, at(10))
			t.StoreUnavailable()
			t.ConfirmRemovals(at(10))
		}, 2},
		{"another outage has ended", func(t *tracker.Tracker) {
			t.Replace([]*tracker.Replica{replica("b")}, at(10))
			t.StoreUnavailable()
			t.StoreRecovered(at(11))
			t.ConfirmRemovals(at(10))
		}, 2},
		{"missing rows of a later outage", func(t *tracker.Tracker) {
			t.ConfirmRemovals(at(10))
			t.StoreUnavailable()
			t.StoreRecovered(at(20))
			t.Update(removed("a"), at(20))
		}, 2},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			is := is.New(t)
			k := newTracker()
			k.StoreUnavailable()
			k.StoreRecovered(at(10))
			row.steps(k)
			is.Equal(len(k.Usable("s")), row.want)
		})
	}
}

func TestAnOldRowChangesNothing(t *testing.T) {
	is := is.New(t)
	k := newTracker()
	restarted := replica("a")
	restarted.StartedMS, restarted.Sequence, restarted.Address = 2, 1, "10.0.0.2:80"
	changes := k.Update(written(restarted), at(1))
	is.Equal(len(changes), 1)
	stale := replica("a")
	stale.Sequence = 50
	is.Equal(len(k.Update(written(stale), at(2))), 0)
	for _, r := range k.Usable("s") {
		is.True(r.ID != "a" || r.StartedMS == 2)
	}
}

// TestALeavingReplicaStaysUnusable guards against a replica that has announced its end and
// is used again because of a registry that does not know yet: its row still says ready, or
// returns after an outage. Another instance with the same id is another replica.
func TestALeavingReplicaStaysUnusable(t *testing.T) {
	rows := []struct {
		name  string
		steps func(t *tracker.Tracker)
		want  int
	}{
		{"nothing more is heard", func(*tracker.Tracker) {}, 1},
		{"the row says ready", func(t *tracker.Tracker) {
			r := replica("a")
			r.Sequence = 9
			t.Update(written(r), at(2))
		}, 1},
		{"the row expires and returns", func(t *tracker.Tracker) {
			t.Update(removed("a"), at(2))
			t.Replace([]*tracker.Replica{replica("a"), replica("b")}, at(3))
		}, 1},
		{"a later instance at the same address", func(t *tracker.Tracker) {
			r := replica("a")
			r.StartedMS = 2
			t.Update(written(r), at(2))
		}, 2},
		{"another replica at the same address", func(t *tracker.Tracker) { t.Update(written(replica("c")), at(2)) }, 2},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			is := is.New(t)
			k := newTracker()
			a := replica("a")
			k.Update(written(a), at(0))
			is.True(k.Leave(a.Instance(), at(1)))
			is.True(!k.Leave(a.Instance(), at(1))) // Only the first announcement is news.
			row.steps(k)
			k.Expire(at(10))
			is.Equal(len(k.Usable("s")), row.want)
		})
	}
}

// TestALeavingReplicaIsGoneWithItsRow guards against a leaving replica that counts as
// possibly alive because its row was removed in an outage.
func TestALeavingReplicaIsGoneWithItsRow(t *testing.T) {
	is := is.New(t)
	k := newTracker()
	a := replica("a")
	k.Update(written(a), at(0))
	k.Leave(a.Instance(), at(1))
	k.StoreUnavailable()
	k.Update(removed("a"), at(2))
	is.Equal(k.Len(), 1)
}

// A replica whose rows have no start time kept the version of its earlier process until the
// sequence of its rows was as high again.
func TestAVersionWithoutAStartTimeIsTaken(t *testing.T) {
	is := is.New(t)
	tr := tracker.New(tracker.Options{})
	for i, row := range []struct {
		version  string
		sequence int64
		kind     string
	}{{"v1", 40, "added"}, {"v2", 1, "changed"}, {"v2", 2, ""}, {"v2", 1, ""}} {
		r := replica("a")
		r.StartedMS, r.Sequence, r.Version = 0, row.sequence, row.version
		changes := tr.Update(written(r), at(float64(i)))
		is.Equal(len(changes) > 0, row.kind != "")
		if len(changes) > 0 {
			is.Equal(changes[0].Kind, row.kind)
		}
		is.Equal(tr.Find("a").Version, row.version)
	}
}
