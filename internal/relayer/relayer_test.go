package relayer_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"

	"pimentorail.example/pimentorail/internal/emulator"
	"pimentorail.example/pimentorail/internal/recorder"
	"pimentorail.example/pimentorail/internal/relayer"
	"pimentorail.example/pimentorail/internal/storer"
)

// network is a set of listeners in memory.
type network struct {
	mu        sync.Mutex
	listeners map[string]*listener
}

// listener accepts in-memory connections.
type listener struct {
	net.Listener
	conns chan net.Conn
	done  chan struct{}
	once  sync.Once
}

func (l *listener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.done:
		return nil, net.ErrClosed
	}
}

func (l *listener) Close() error {
	l.once.Do(func() { close(l.done) })
	return nil
}

func (n *network) listen(address string) (net.Listener, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	l := &listener{conns: make(chan net.Conn), done: make(chan struct{})}
	n.listeners[address] = l
	return l, nil
}

func (n *network) dial(ctx context.Context, address string) (net.Conn, error) {
	n.mu.Lock()
	l := n.listeners[address]
	n.mu.Unlock()
	if l == nil {
		return nil, net.ErrClosed
	}
	a, b := net.Pipe()
	select {
	case l.conns <- b:
		return a, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// access is one daemon's way to the store, which may be closed to it alone.
type access struct {
	store   *emulator.Store
	closed  atomic.Bool
	commits atomic.Int64
	queues  *queues
}

// commitTime is how long a partition works on one transaction.
const commitTime = 5 * time.Millisecond

// queues make the transactions of a partition wait for each other.
type queues struct {
	mu   sync.Mutex
	free map[string]time.Time
}

// enter waits for the partition; the transaction is done also if its caller leaves.
func (q *queues) enter(ctx context.Context, key string) error {
	q.mu.Lock()
	if q.free == nil {
		q.free = map[string]time.Time{}
	}
	partition := strings.Split(key, "/")[1]
	done := time.Now().Add(commitTime)
	if next := q.free[partition].Add(commitTime); next.After(done) {
		done = next
	}
	q.free[partition] = done
	q.mu.Unlock()
	select {
	case <-time.After(time.Until(done)):
		return nil
	case <-ctx.Done():
		return storer.ErrUnavailable
	}
}

func (a *access) enter() error {
	if a.closed.Load() {
		return storer.ErrRefused
	}
	return nil
}

func (a *access) Get(ctx context.Context, key string) (storer.Row, error) {
	if err := a.enter(); err != nil {
		return storer.Row{}, err
	}
	return a.store.Get(ctx, key)
}

func (a *access) Scan(ctx context.Context, prefix, after string, limit int) ([]storer.Row, error) {
	if err := a.enter(); err != nil {
		return nil, err
	}
	return a.store.Scan(ctx, prefix, after, limit)
}

func (a *access) Commit(ctx context.Context, tx storer.Transaction) (uint64, error) {
	if err := a.enter(); err != nil {
		return 0, err
	}
	a.commits.Add(1)
	left := a.queues.enter(ctx, tx.Writes[0].Key)
	version, err := a.store.Commit(context.WithoutCancel(ctx), tx)
	if left != nil {
		return 0, left
	}
	return version, err
}

func (a *access) List(ctx context.Context, table string) ([]storer.Row, uint64, error) {
	rows, err := a.Scan(ctx, storer.Prefix(table), "", 1000)
	return rows, 1, err
}

func (a *access) Changes(ctx context.Context, table string, after uint64, _ time.Duration) ([]storer.Change, uint64, error) {
	rows, err := a.Scan(ctx, storer.Prefix(table), "", 1000)
	var changes []storer.Change
	for _, r := range rows {
		if r.Version > after {
			changes = append(changes, storer.Change{Row: r})
		}
	}
	return changes, 0, err
}

// zone is three daemons of one availability zone.
type zone struct {
	ways     []*access
	relayers []*relayer.Relayer
	guards   []*storer.Guard
	cancel   context.CancelFunc
}

func newZone(t *testing.T) *zone {
	t.Helper()
	return newZoneOf(t, emulator.NewStore(), "a", "b", "c")
}

// newZoneOf starts daemons over a store, and waits until all know each other.
func newZoneOf(t *testing.T, store *emulator.Store, names ...string) *zone {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	z := &zone{cancel: cancel}
	n := &network{listeners: map[string]*listener{}}
	queues := &queues{}
	for _, name := range names {
		w := &access{store: store, queues: queues}
		g := storer.NewGuard(w, w, storer.Limits{
			Least: 100 * time.Millisecond, Most: time.Second, Silence: 300 * time.Millisecond, Probe: 200 * time.Millisecond, Pause: 20 * time.Millisecond,
		})
		z.ways, z.guards = append(z.ways, w), append(z.guards, g)
		x := relayer.New(g, recorder.Start(ctx, io.Discard), relayer.Options{
			Name: name, Zone: "z", Address: name, Dial: n.dial, Listen: n.listen,
		})
		x.Start(ctx)
		z.relayers = append(z.relayers, x)
	}
	time.Sleep(11 * time.Second) // All know each other.
	return z
}

// end stops the daemons and waits for their goroutines.
func (z *zone) end() {
	z.cancel()
	time.Sleep(time.Minute)
}

func write(key, value string) storer.Transaction {
	return storer.Transaction{Writes: []storer.Write{{Key: key, Value: []byte(value)}}}
}

func TestOneDaemonIsTurnedAway(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		z := newZone(t)
		defer z.end()
		is.Equal(z.relayers[0].Members(), 3)
		ctx := context.Background()
		z.ways[0].closed.Store(true)
		_, err := z.relayers[0].Commit(ctx, write("t//k", "x"))
		is.True(errors.Is(err, storer.ErrRefused)) // It is not yet known that the store is away.
		time.Sleep(time.Second)
		version, err := z.relayers[0].Commit(ctx, write("t//k", "x"))
		is.NoErr(err)
		row, err := z.relayers[0].Get(ctx, "t//k")
		is.NoErr(err)
		is.Equal(row.Version, version)
		tx := write("t//k", "y")
		tx.Conditions = []storer.Condition{{Key: "t//k", Version: 1}}
		_, err = z.relayers[0].Commit(ctx, tx)
		is.True(errors.Is(err, storer.ErrConflict))
		is.True(z.relayers[0].Reaches())
		z.ways[0].closed.Store(false)
		time.Sleep(time.Second)
		is.Equal(z.guards[0].Away(), time.Duration(0)) // The return is noticed without traffic.
		before := z.ways[0].commits.Load()
		_, err = z.relayers[0].Commit(ctx, write("t//k", "z"))
		is.NoErr(err)
		is.Equal(z.ways[0].commits.Load(), before+1)
	})
}

func TestAllDaemonsAreTurnedAway(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		z := newZone(t)
		defer z.end()
		for _, w := range z.ways {
			w.closed.Store(true)
		}
		time.Sleep(11 * time.Second) // The members' reads notice it.
		began := time.Now()
		_, err := z.relayers[1].Commit(context.Background(), write("t//k", "x"))
		is.True(errors.Is(err, storer.ErrRefused)) // Nothing was done, and that is certain.
		is.True(time.Since(began) < 100*time.Millisecond)
		is.True(!z.relayers[1].Reaches())
	})
}

// TestManyDaemonsJoinTogether replays the start of a large zone, where the writes
// of all daemons wait for each other: they must not be repeated in step, and
// leave the partition free in which replicas register.
func TestManyDaemonsJoinTogether(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var names []string
		for i := range 130 {
			names = append(names, fmt.Sprintf("d%d", i))
		}
		store := emulator.NewStore()
		z := newZoneOf(t, store, names...)
		defer z.end()
		commits := int64(0)
		for i, x := range z.relayers {
			is.Equal(x.Members(), len(names))
			commits += z.ways[i].commits.Load()
		}
		is.True(commits < 6*int64(len(names)))
		rows, err := storer.All(context.Background(), store, "members-z//")
		is.NoErr(err)
		is.Equal(len(rows), 0)
	})
}
