package server_test

import (
	"bytes"
	"context"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"pimentorail.example/pimentorail/internal/cataloger"
	"pimentorail.example/pimentorail/internal/emulator"
	"pimentorail.example/pimentorail/internal/forwarder"
	"pimentorail.example/pimentorail/internal/server"
	"pimentorail.example/pimentorail/internal/storer"
)

// countingStore counts the calls of a daemon.
type countingStore struct {
	*emulator.Store
	calls atomic.Int64
}

func (c *countingStore) Get(ctx context.Context, key string) (storer.Row, error) {
	c.calls.Add(1)
	return c.Store.Get(ctx, key)
}

func (c *countingStore) Commit(ctx context.Context, tx storer.Transaction) (uint64, error) {
	c.calls.Add(1)
	return c.Store.Commit(ctx, tx)
}

func (c *countingStore) List(ctx context.Context, table string) ([]storer.Row, uint64, error) {
	c.calls.Add(1)
	return c.Store.List(ctx, table)
}

// logBuffer is the output of a daemon.
type logBuffer struct {
	mu   sync.Mutex
	text bytes.Buffer
}

func (l *logBuffer) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.Write(p)
}

func (l *logBuffer) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.String()
}

// openingDaemon runs a daemon with addresses of a test.
type openingDaemon struct {
	store *countingStore
	log   *logBuffer
	ended chan error
}

func newOpeningDaemon(ctx context.Context, o server.Options) *openingDaemon {
	d := &openingDaemon{store: &countingStore{Store: emulator.NewStore()}, log: &logBuffer{}, ended: make(chan error, 1)}
	o.Name, o.VM, o.Zone, o.Zones, o.ReadyPath, o.Grace = "d-1", "d", "z", 1, "/ready", 3*time.Second
	o.RowBytes, o.MemoryBytes, o.Output = 1000, 64<<20, d.log
	go d.run(ctx, o, server.Platform{
		Table: d.store, Feed: d.store, Codec: plainCodec{}, CatalogTable: "config", CatalogKey: "all", DecodeCatalog: decodeCatalog,
		ReplicaTable: "replicas", DecodeReplica: decodeReplica,
		Ingress: func(f *forwarder.Forwarder, _ *cataloger.Keeper) http.Handler { return ingress{f} },
	})
	return d
}

func (d *openingDaemon) run(ctx context.Context, o server.Options, p server.Platform) {
	d.ended <- server.Run(ctx, o, p)
}

// logs waits until the daemon has logged a text.
func (d *openingDaemon) logs(text string, timeout time.Duration) bool {
	for end := time.Now().Add(timeout); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if strings.Contains(d.log.String(), text) {
			return true
		}
	}
	return false
}

// TestAWaitingDaemonLeavesStoreAndPeersAlone guards against a successor that reads the store,
// takes the port for peers or writes the member row while its predecessor drains.
func TestAWaitingDaemonLeavesStoreAndPeersAlone(t *testing.T) {
	is := is.New(t)
	held, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	peers := freeAddress(t)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	d := newOpeningDaemon(ctx, server.Options{ClientAddress: freeAddress(t), ReadyAddress: held.Addr().String(), PeerAddress: peers})
	time.Sleep(1500 * time.Millisecond)
	is.Equal(d.store.calls.Load(), int64(0))
	_, err = net.Dial("tcp", peers)
	is.True(err != nil)
	is.Equal(strings.Count(d.log.String(), waitingLine), 1)
	is.NoErr(held.Close())
	is.True(d.logs(listeningLine, 5*time.Second))
	is.True(d.store.calls.Load() > 0)
	cancel()
	is.NoErr(<-d.ended)
}

// TestAnAddressThatCannotBeOpenedEndsTheDaemon guards against a daemon that waits for an
// address which can never be opened, and against lines that are lost when it ends.
func TestAnAddressThatCannotBeOpenedEndsTheDaemon(t *testing.T) {
	for _, o := range []server.Options{
		{ClientAddress: "127.0.0.1", ReadyAddress: freeAddress(t)}, {ClientAddress: freeAddress(t), ReadyAddress: "127.0.0.1:70000"},
	} {
		is := is.New(t)
		d := newOpeningDaemon(t.Context(), o)
		select {
		case err := <-d.ended:
			is.True(err != nil)
			is.True(strings.Contains(d.log.String(), "server: stopped"))
		case <-time.After(5 * time.Second):
			t.Errorf("does not end; log:\n%s", d.log)
		}
	}
}
