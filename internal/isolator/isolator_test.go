package isolator_test

import (
	"context"
	"fmt"
	"io"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"pimentorail.example/pimentorail/internal/emulator"
	"pimentorail.example/pimentorail/internal/follower"
	"pimentorail.example/pimentorail/internal/isolator"
	"pimentorail.example/pimentorail/internal/logger"
	"pimentorail.example/pimentorail/internal/storer"
)

// knownWithin is the time within which all daemons must know what one of them saw.
const knownWithin = 3 * time.Second

// deployment is daemons over one store, before replicas that have ended unless they are
// listed as alive.
type deployment struct {
	store  *emulator.Store
	alive  map[string]bool // Set before the first start.
	ctx    context.Context
	cancel context.CancelFunc
	starts int
}

func newDeployment() *deployment {
	d := &deployment{store: emulator.NewStore(), alive: map[string]bool{}}
	d.ctx, d.cancel = context.WithCancel(context.Background())
	return d
}

// start starts another daemon.
func (d *deployment) start() *isolator.Isolator {
	d.starts++
	lines := logger.Start(d.ctx, io.Discard)
	i := isolator.Start(d.ctx, d.store, lines, isolator.Options{Name: fmt.Sprint("daemon-", d.starts), Crashed: d.crashed})
	follower.Start(d.ctx, d.store, i, follower.Options{Table: isolator.Table, LongPoll: 2 * time.Second, PollInterval: 150 * time.Millisecond, Timeout: time.Second})
	time.Sleep(10 * time.Millisecond)
	return i
}

func (d *deployment) crashed(_ context.Context, address string) bool { return !d.alive[address] }

// stop stops all daemons and waits until they have ended.
func (d *deployment) stop() {
	d.cancel()
	time.Sleep(time.Minute)
}

// breakOff lets a replica break off requests of a daemon.
func breakOff(i *isolator.Isolator, replica string, names ...string) {
	for _, n := range names {
		i.BrokeOff("engine", replica, replica, mark(n))
	}
}

// TestCrashesAreKnownToAllDaemons guards against a request that crashes three replicas at
// each daemon anew: each daemon sees one crash, and one that starts later none.
func TestCrashesAreKnownToAllDaemons(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		d := newDeployment()
		defer d.stop()
		daemons := []*isolator.Isolator{d.start(), d.start(), d.start()}
		for n, i := range daemons {
			breakOff(i, fmt.Sprint("r", n), "guilty", fmt.Sprint("beside ", n))
			time.Sleep(300 * time.Millisecond)
		}
		time.Sleep(knownWithin - time.Second)
		daemons = append(daemons, d.start())
		for _, i := range daemons {
			is.Equal(i.Check(mark("guilty")), isolator.Verdict{Crashes: 3, Condemned: true})
			is.Equal(i.Check(mark("beside 1")), isolator.Verdict{})
		}
	})
}

// TestCrashesInAnOutageAreKnownAfterIt guards against crashes that are forgotten because the
// store was unavailable when they happened; the daemon that saw them knows them all the while.
func TestCrashesInAnOutageAreKnownAfterIt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		d := newDeployment()
		defer d.stop()
		first, second := d.start(), d.start()
		time.Sleep(3 * time.Second)
		d.store.SetFaults(emulator.StoreFaults{Down: true})
		for n := range 3 {
			breakOff(first, fmt.Sprint("r", n), "guilty")
			time.Sleep(time.Second)
		}
		is.True(first.Check(mark("guilty")).Condemned)
		is.True(!second.Check(mark("guilty")).Condemned)
		d.store.SetFaults(emulator.StoreFaults{LoseEvery: 2})
		time.Sleep(knownWithin)
		is.True(second.Check(mark("guilty")).Condemned)
	})
}

// TestABrokenConnectionIsNoCrash guards against requests that become suspect because their
// connections were reset while their replica lives.
func TestABrokenConnectionIsNoCrash(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		d := newDeployment()
		defer d.stop()
		for n := range 5 {
			d.alive[fmt.Sprint("r", n)] = true
		}
		i := d.start()
		for n := range 5 {
			breakOff(i, fmt.Sprint("r", n), "request")
			time.Sleep(time.Second)
		}
		is.Equal(i.Check(mark("request")), isolator.Verdict{})
		is.Equal(d.store.Counts().Rows, 0)
	})
}

// TestServedRequestsAreNotSuspect guards against requests that are refused although they can
// be served: one that many clients send is at each crash of an outage, and one that was beside
// the cause of several crashes is served when it comes again.
func TestServedRequestsAreNotSuspect(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		d := newDeployment()
		defer d.stop()
		first, second := d.start(), d.start()
		first.Served(mark("popular"), time.Now())
		for n := range 8 {
			breakOff(first, fmt.Sprint("r", n), "popular")
		}
		time.Sleep(time.Second)
		is.Equal(first.Check(mark("popular")), isolator.Verdict{})
		breakOff(first, "x", "unlucky")
		breakOff(second, "y", "unlucky")
		time.Sleep(time.Second)
		is.Equal(first.Check(mark("unlucky")).Crashes, 2)
		second.Served(mark("unlucky"), time.Now())
		time.Sleep(time.Second)
		is.Equal(first.Check(mark("unlucky")), isolator.Verdict{})
	})
}

// TestAServedRequestIsJudgedByItsLaterCrashes guards against a request that crashes replicas
// without end because it was served once: that excuses the crashes before it only.
func TestAServedRequestIsJudgedByItsLaterCrashes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		d := newDeployment()
		defer d.stop()
		first, second := d.start(), d.start()
		for n := range 2 {
			breakOff(first, fmt.Sprint("early ", n), "request")
		}
		time.Sleep(time.Second)
		second.Served(mark("request"), time.Now())
		time.Sleep(time.Second)
		is.Equal(first.Check(mark("request")), isolator.Verdict{})
		for n := range 3 {
			breakOff(first, fmt.Sprint("late ", n), "request")
			time.Sleep(time.Second)
		}
		third := d.start()
		for _, i := range []*isolator.Isolator{first, second, third} {
			is.Equal(i.Check(mark("request")), isolator.Verdict{Crashes: 3, Condemned: true})
		}
	})
}

// TestVerdictsExpire guards against a request that is refused forever, and against rows that
// are never removed.
func TestVerdictsExpire(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		d := newDeployment()
		defer d.stop()
		i, other := d.start(), d.start()
		for n := range 3 {
			breakOff(i, fmt.Sprint("r", n), "guilty")
		}
		breakOff(i, "r3", "suspect")
		time.Sleep(isolator.SuspectRetention + isolator.RemovalJitter + 5*time.Second)
		is.Equal(i.Check(mark("suspect")), isolator.Verdict{})
		is.True(other.Check(mark("guilty")).Condemned)
		time.Sleep(isolator.CondemnedRetention)
		is.Equal(i.Check(mark("guilty")), isolator.Verdict{})
		is.Equal(other.Check(mark("guilty")), isolator.Verdict{})
		is.Equal(d.store.Counts().Rows, 0)
	})
}

// TestManyRequestsDoNotFillTheMemory guards against a client that fills the memory with
// requests that differ.
func TestManyRequestsDoNotFillTheMemory(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		d := newDeployment()
		defer d.stop()
		i := d.start()
		for n := range 100 {
			for m := range 1000 {
				i.BrokeOff("engine", fmt.Sprint("r", n), "r", mark(fmt.Sprint(n, "/", m)))
				i.Served(mark(fmt.Sprint("served ", n, "/", m)), time.Now())
			}
			time.Sleep(50 * time.Millisecond)
		}
		suspects, _ := i.Counts()
		is.True(suspects <= 100*64)
	})
}

// TestUnreadableRowsAreIgnored guards against rows of other writers that stop a daemon or
// condemn a request.
func TestUnreadableRowsAreIgnored(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		d := newDeployment()
		defer d.stop()
		i := d.start()
		for n, value := range []string{"", "{", "[]", `{"instance":"x","suspects":[{"whole":"zz"}]}`, `{"suspects":7}`, `{}`} {
			_, err := d.store.Commit(context.Background(), storer.Transaction{Writes: []storer.Write{{Key: storer.Prefix(isolator.Table) + fmt.Sprint(n), Value: []byte(value)}}})
			is.NoErr(err)
		}
		for n := range 3 {
			breakOff(i, fmt.Sprint("r", n), "guilty")
		}
		time.Sleep(knownWithin)
		is.True(i.Check(mark("guilty")).Condemned)
	})
}
