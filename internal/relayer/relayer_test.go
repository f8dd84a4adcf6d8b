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
	"pimentorail.example/pimentorail/internal/logger"
	"pimentorail.example/pimentorail/internal/relayer"
	"pimentorail.example/pimentorail/internal/storer"
)

// network is an in-memory network of listeners by address.
type network struct {
	mu        sync.Mutex
	listeners map[string]*listener
	// cut holds the daemons that reach no other one.
	cut   map[string]bool
	conns []*networkConn
}

// networkConn is a connection between two daemons, of which one end is known here.
type networkConn struct {
	net.Conn
	from, to string
}

// setCut cuts a daemon off from all others, or ends that.
func (n *network) setCut(name string, cut bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.cut == nil {
		n.cut = map[string]bool{}
	}
	n.cut[name] = cut
	for _, c := range n.conns {
		if cut && (c.from == name || c.to == name) {
			_ = c.Close()
		}
	}
}

// networkDialer dials for one daemon.
type networkDialer struct {
	network *network
	from    string
}

func (d networkDialer) dial(ctx context.Context, address string) (net.Conn, error) {
	n := d.network
	n.mu.Lock()
	cut := n.cut[d.from] || n.cut[address]
	n.mu.Unlock()
	if cut {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	c, err := n.dial(ctx, address)
	if err != nil {
		return nil, err
	}
	x := &networkConn{c, d.from, address}
	n.mu.Lock()
	n.conns = append(n.conns, x)
	n.mu.Unlock()
	return x, nil
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

func (n *network) listen(_ context.Context, address string) (net.Listener, error) {
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
	case <-l.done:
		return nil, net.ErrClosed
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// storeAccess is one daemon's access to the store; closing it affects no other daemon.
type storeAccess struct {
	store  *emulator.Store
	closed atomic.Bool
	// readOnly makes all writes fail.
	readOnly atomic.Bool
	commits  atomic.Int64
	queues   *queues
}

// commitTime is the time that a partition of the store takes to apply one transaction.
const commitTime = 5 * time.Millisecond

// queues serialize the transactions of each partition.
type queues struct {
	mu        sync.Mutex
	busyUntil map[string]time.Time
}

// wait queues a transaction at its partition and waits until it is applied. The queue
// advances even if the caller's context ends first.
func (q *queues) wait(ctx context.Context, key string) error {
	q.mu.Lock()
	if q.busyUntil == nil {
		q.busyUntil = map[string]time.Time{}
	}
	partition := strings.Split(key, "/")[1]
	done := time.Now().Add(commitTime)
	if next := q.busyUntil[partition].Add(commitTime); next.After(done) {
		done = next
	}
	q.busyUntil[partition] = done
	q.mu.Unlock()
	select {
	case <-time.After(time.Until(done)):
		return nil
	case <-ctx.Done():
		return storer.ErrUnavailable
	}
}

// check returns an error if the access is closed.
func (a *storeAccess) check() error {
	if a.closed.Load() {
		return storer.ErrRefused
	}
	return nil
}

func (a *storeAccess) Get(ctx context.Context, key string) (storer.Row, error) {
	if err := a.check(); err != nil {
		return storer.Row{}, err
	}
	return a.store.Get(ctx, key)
}

func (a *storeAccess) Scan(ctx context.Context, prefix, after string, limit int) ([]storer.Row, error) {
	if err := a.check(); err != nil {
		return nil, err
	}
	return a.store.Scan(ctx, prefix, after, limit)
}

func (a *storeAccess) Commit(ctx context.Context, tx storer.Transaction) (uint64, error) {
	if err := a.check(); err != nil {
		return 0, err
	}
	a.commits.Add(1)
	if a.readOnly.Load() {
		return 0, storer.ErrRefused
	}
	waitErr := a.queues.wait(ctx, tx.Writes[0].Key)
	version, err := a.store.Commit(context.WithoutCancel(ctx), tx)
	if waitErr != nil {
		return 0, waitErr
	}
	return version, err
}

func (a *storeAccess) List(ctx context.Context, table string) ([]storer.Row, uint64, error) {
	if err := a.check(); err != nil {
		return nil, 0, err
	}
	return a.store.List(ctx, table)
}

func (a *storeAccess) Changes(ctx context.Context, table string, after uint64, wait time.Duration) ([]storer.Change, uint64, error) {
	if err := a.check(); err != nil {
		return nil, 0, err
	}
	return a.store.Changes(ctx, table, after, wait)
}

// zone holds the relayers of one availability zone, with their guards and store accesses.
type zone struct {
	accesses []*storeAccess
	relayers []*relayer.Relayer
	guards   []*storer.Guard
	ctx      context.Context
	cancel   context.CancelFunc
	// kills end the processes of the daemons.
	kills   []context.CancelFunc
	store   *emulator.Store
	network *network
	queues  *queues
}

// newZone starts three daemons over a new store.
func newZone(t *testing.T) *zone {
	t.Helper()
	return newZoneWith(t, emulator.NewStore(), "a", "b", "c")
}

// newZoneWith starts daemons over a store and waits until all have discovered each other.
func newZoneWith(t *testing.T, store *emulator.Store, names ...string) *zone {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	z := &zone{ctx: ctx, cancel: cancel, store: store, network: &network{listeners: map[string]*listener{}}, queues: &queues{}}
	for _, name := range names {
		z.add(name)
	}
	time.Sleep(11 * time.Second) // Two reads of the member rows.
	return z
}

// add starts another daemon.
func (z *zone) add(name string) {
	a := &storeAccess{store: z.store, queues: z.queues}
	g := storer.NewGuard(a, a, storer.Limits{
		MinTimeout: 100 * time.Millisecond, MaxTimeout: time.Second, OutageAfter: 300 * time.Millisecond, ProbeInterval: 200 * time.Millisecond, RetryBackoff: 20 * time.Millisecond,
	})
	z.accesses, z.guards = append(z.accesses, a), append(z.guards, g)
	ctx, kill := context.WithCancel(z.ctx)
	z.kills = append(z.kills, kill)
	x := relayer.New(g, logger.Start(z.ctx, io.Discard), relayer.Options{
		VM: name, Process: name + "-process", Zone: "z", OtherZones: []string{"y", "x"}, Address: name, Dial: networkDialer{z.network, name}.dial, Listen: z.network.listen,
	})
	x.Start(ctx)
	z.relayers = append(z.relayers, x)
}

// stop ends the daemons and waits for their goroutines.
func (z *zone) stop() {
	z.cancel()
	time.Sleep(time.Minute)
}

func write(key, value string) storer.Transaction {
	return storer.Transaction{Writes: []storer.Write{{Key: key, Value: []byte(value)}}}
}

func TestCallsAreRelayedDuringOneDaemonsOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		z := newZone(t)
		defer z.stop()
		is.Equal(z.relayers[0].MemberCount(), 3)
		ctx := context.Background()
		z.accesses[0].closed.Store(true)
		_, err := z.relayers[0].Commit(ctx, write("t//k", "x"))
		is.True(errors.Is(err, storer.ErrRefused)) // The outage is not detected yet.
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
		is.True(z.relayers[0].StoreReachable())
		z.accesses[0].closed.Store(false)
		time.Sleep(time.Second)
		is.Equal(z.guards[0].OutageDuration(), time.Duration(0)) // The recovery is detected without traffic.
		before := z.accesses[0].commits.Load()
		_, err = z.relayers[0].Commit(ctx, write("t//k", "z"))
		is.NoErr(err)
		is.Equal(z.accesses[0].commits.Load(), before+1)
	})
}

func TestOutageOfAllDaemonsIsRefusedAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		z := newZone(t)
		defer z.stop()
		for _, a := range z.accesses {
			a.closed.Store(true)
		}
		time.Sleep(11 * time.Second) // The reads of the member rows detect the outage.
		start := time.Now()
		_, err := z.relayers[1].Commit(context.Background(), write("t//k", "x"))
		is.True(errors.Is(err, storer.ErrRefused)) // The write certainly did not happen.
		is.True(time.Since(start) < 100*time.Millisecond)
		is.True(!z.relayers[1].StoreReachable())
	})
}

// TestADaemonThatJoinsIsKnownAtOnce guards against daemons of a zone that know of a new one
// at different times, up to five seconds apart, and use two coordinators until then.
func TestADaemonThatJoinsIsKnownAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		z := newZone(t)
		defer z.stop()
		z.add("d")
		time.Sleep(300 * time.Millisecond)
		for _, x := range z.relayers {
			is.Equal(x.MemberCount(), 4)
		}
	})
}

// TestManyDaemonsJoinTogether starts 130 daemons at once, so that all their writes queue
// at one partition. Retries must have jitter, so that they are not repeated in step, and
// no member row may use the partition with the empty name, where replicas register.
func TestManyDaemonsJoinTogether(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var names []string
		for i := range 130 {
			names = append(names, fmt.Sprintf("d%d", i))
		}
		store := emulator.NewStore()
		z := newZoneWith(t, store, names...)
		defer z.stop()
		commits := int64(0)
		for i, x := range z.relayers {
			is.Equal(x.MemberCount(), len(names))
			commits += z.accesses[i].commits.Load()
		}
		is.True(commits < 6*int64(len(names)))
		rows, err := storer.ScanAll(context.Background(), store, "members-z//")
		is.NoErr(err)
		is.Equal(len(rows), 0)
	})
}
