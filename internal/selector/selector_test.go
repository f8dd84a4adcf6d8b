package selector_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"

	"pimentorail.example/pimentorail/internal/ranker"
	"pimentorail.example/pimentorail/internal/seeder"
	"pimentorail.example/pimentorail/internal/selector"
)

func TestMain(m *testing.M) {
	seeder.Prepare()
	os.Exit(m.Run())
}

func newRequest(parts ...ranker.Part) selector.Request {
	return selector.Request{
		Service:  selector.Service{Name: service, CacheTokens: 300_000},
		Work:     ranker.Work{Parts: parts, Prompt: 14_000, Output: 100, Model: true},
		Deadline: time.Now().Add(3 * time.Second),
	}
}

// turn is one request of a load peak.
type turn struct {
	daemon       *daemon
	replicaLoads *replicaLoads
	prompt       int
	duration     time.Duration
}

func (u *turn) run() {
	c, err := u.daemon.selector.Choose(context.Background(), newRequest(ranker.Part{ID: fmt.Sprint(u.prompt), Tokens: 12_600}))
	if err != nil {
		return
	}
	u.replicaLoads.add(c.Instance, 1)
	time.Sleep(u.duration)
	u.replicaLoads.add(c.Instance, -1)
	c.ReportLoad(ranker.Load{Running: 1, Slots: 12, Slowness: 1})
	c.End(selector.Served)
}

// runPeak sends 270 turns per second of 250 ms each through 30 daemons to 15 replicas
// for three seconds, and returns the highest number of requests that were in flight at
// one replica.
func runPeak(alone bool) int {
	z := newZone(30, 15, 12, alone)
	defer z.stop()
	random := rand.New(rand.NewPCG(7, 7))
	l := &replicaLoads{}
	for range 3 * 270 {
		u := &turn{daemon: z.daemons[random.IntN(30)], replicaLoads: l, prompt: random.IntN(20), duration: 250 * time.Millisecond}
		go u.run()
		time.Sleep(time.Second / 270)
	}
	time.Sleep(time.Second)
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.peak
}

// maxInFlight is the highest number of requests that one replica of 12 slots should have
// in flight. A turn takes about 140 ms at a replica that caches its shared prompt, and
// reading the prompt at another replica takes 49 ms, so waiting behind four requests is
// faster than changing the replica and waiting behind five is not.
const maxInFlight = 12 + 4

// TestACoordinatorKeepsQueuesShort guards against queues at single replicas during a load peak in
// a large zone, where each daemon sends a replica less than one request per second. The
// replicas have three times the capacity needed. Without a coordinator, queues are longer
// because the daemons' own estimates are stale.
func TestACoordinatorKeepsQueuesShort(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		peak := runPeak(false)
		is.True(peak <= maxInFlight)
		is.True(runPeak(true) > peak)
	})
}

// TestAnUnresponsiveCoordinatorDelaysOneRequest guards against every request waiting for
// the timeout of an unresponsive coordinator: only the first may.
func TestAnUnresponsiveCoordinatorDelaysOneRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		z := newZone(3, 2, 4, false)
		defer z.stop()
		coordinator := z.coordinator()
		coordinator.unresponsive.Store(true)
		caller := z.daemons[0]
		if caller == coordinator {
			caller = z.daemons[1]
		}
		slow := 0
		for range 20 {
			began := time.Now()
			c, err := caller.selector.Choose(context.Background(), newRequest())
			is.NoErr(err)
			c.End(selector.Served)
			if time.Since(began) > 0 {
				slow++
			}
			time.Sleep(10 * time.Millisecond)
		}
		is.Equal(slow, 1)
	})
}

// TestSeatsAreFreedWithoutReports guards against placements that stay in flight forever
// after their report is lost: they are released when they expire.
func TestSeatsAreFreedWithoutReports(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		z := newZone(2, 1, 4, false)
		defer z.stop()
		coordinator := z.coordinator()
		caller := z.daemons[0]
		if caller == coordinator {
			caller = z.daemons[1]
		}
		coordinator.dropsReports.Store(true)
		c, err := caller.selector.Choose(context.Background(), newRequest())
		is.NoErr(err)
		is.Equal(c.CoordinatorName, coordinator.address)
		c.End(selector.Served)
		time.Sleep(time.Second)
		local, _ := coordinator.selector.Choose(context.Background(), newRequest())
		is.Equal(local.Busy, 1.0) // The report was lost.
		local.End(selector.Served)
		time.Sleep(10 * time.Second)
		local, _ = coordinator.selector.Choose(context.Background(), newRequest())
		is.Equal(local.Busy, 0.0)
	})
}

func TestALeavingCoordinatorPlacesNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		z := newZone(2, 1, 4, false)
		defer z.stop()
		z.coordinator().selector.Leave()
		for _, d := range z.daemons {
			c, err := d.selector.Choose(context.Background(), newRequest())
			is.NoErr(err)
			is.Equal(c.CoordinatorName, "")
			c.End(selector.Served)
		}
	})
}

func TestTriedReplicasAreLeftOut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		z := newZone(3, 3, 4, false)
		defer z.stop()
		for _, d := range z.daemons {
			q := newRequest()
			q.Tried = map[string]bool{}
			for range 3 {
				c, err := d.selector.Choose(context.Background(), q)
				is.NoErr(err)
				is.True(!q.Tried[c.Instance])
				q.Tried[c.Instance] = true
				c.End(selector.Refused)
			}
			_, err := d.selector.Choose(context.Background(), q)
			is.True(errors.Is(err, selector.ErrNoReplica))
		}
	})
}

// TestALeavingReplicaGetsNothingMore guards against a replica that announced its end to one
// daemon and is offered to it again by a coordinator that does not know yet: the daemon
// does not use it, tells the coordinator, and the coordinator offers it to nobody.
func TestALeavingReplicaGetsNothingMore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		z := newZone(3, 2, 4, false)
		defer z.stop()
		coordinator := z.coordinator()
		var callers []*daemon
		for _, d := range z.daemons {
			if d != coordinator {
				callers = append(callers, d)
			}
		}
		coordinator.dropsReports.Store(true)
		c, err := callers[0].selector.Choose(context.Background(), newRequest())
		is.NoErr(err)
		is.True(c.ReportLeaving())
		c.End(selector.Served)
		time.Sleep(time.Second)
		coordinator.dropsReports.Store(false) // The report was lost.
		for range 60 {                        // The coordinator offers either replica, as soon as it no longer counts the first request.
			other, err := callers[0].selector.Choose(context.Background(), newRequest())
			is.NoErr(err)
			is.True(other.Instance != c.Instance)
			other.End(selector.Served)
			time.Sleep(time.Second)
		}
		for range 10 {
			other, err := callers[1].selector.Choose(context.Background(), newRequest())
			is.NoErr(err)
			is.Equal(other.CoordinatorName, coordinator.address)
			is.True(other.Instance != c.Instance) // The coordinator has learned it.
			other.End(selector.Served)
		}
	})
}
