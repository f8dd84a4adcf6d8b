package server_test

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"pimentorail.example/pimentorail/internal/cataloger"
	"pimentorail.example/pimentorail/internal/emulator"
	"pimentorail.example/pimentorail/internal/forwarder"
	"pimentorail.example/pimentorail/internal/logger"
	"pimentorail.example/pimentorail/internal/server"
	"pimentorail.example/pimentorail/internal/storer"
	"pimentorail.example/pimentorail/internal/tracker"
)

// lines is the output of a daemon.
type lines struct {
	mu   sync.Mutex
	text bytes.Buffer
}

// Write implements io.Writer.
func (l *lines) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.Write(p)
}

// await waits for a line with all parts. Only the test's own time limit bounds it.
func (l *lines) await(parts ...string) {
	for ; ; time.Sleep(10 * time.Millisecond) {
		l.mu.Lock()
		text := l.text.String()
		l.mu.Unlock()
		for line := range strings.Lines(text) {
			found := true
			for _, p := range parts {
				found = found && strings.Contains(line, p)
			}
			if found {
				return
			}
		}
	}
}

// decodeOrPanic is decodeReplica with a row at which it panics.
func decodeOrPanic(id string, value []byte) (*tracker.Replica, error) {
	if id == "odd" {
		panic("odd number")
	}
	return decodeReplica(id, value)
}

// A row at which the decoder panicked ended the process. If it didn't, the rows after it would
// not be applied.
func TestRegistryRowThatPanicsCostsItselfOnly(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithCancel(context.Background())
	out := &lines{}
	lines := logger.Start(ctx, out)
	x := tracker.New(tracker.Options{})
	s := server.NewRegistrySink(x, decodeOrPanic, lines)
	row := func(id string) storer.Row {
		return storer.Row{Key: "replicas//" + id, Value: []byte(`{"ID":"` + id + `","Service":"s","Address":"` + id + `:1"}`), Version: 1}
	}
	s.Replace([]storer.Row{row("a"), row("odd"), row("b")}, 1)
	is.Equal(x.Len(), 2)
	s.Update([]storer.Change{{Row: row("odd")}, {Row: row("c")}}, 2)
	is.Equal(x.Len(), 3)
	cancel()
	_ = lines.Wait()
	out.await("registry row ignored", "replicas//odd", "odd number")
}

// A configuration at which the decoder panicked ended the process.
func TestConfigurationThatPanicsIsIgnored(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	k := &cataloger.Keeper{}
	s := server.NewConfigSink(k, "all", func(value []byte) (*cataloger.Catalog, error) {
		if len(value) == 0 {
			panic("no route")
		}
		return decodeCatalog(value)
	}, logger.Start(ctx, io.Discard))
	s.Replace([]storer.Row{{Key: "config//all", Value: []byte("3 s"), Version: 1}}, 1)
	s.Update([]storer.Change{{Row: storer.Row{Key: "config//all", Version: 2}}}, 2)
	is.Equal(k.Current().Version(), uint64(3))
	s.Update([]storer.Change{{Row: storer.Row{Key: "config//all", Value: []byte("4 s"), Version: 3}}}, 3)
	is.Equal(k.Current().Version(), uint64(4))
}

// A panic in a loop of the daemon ended the process, and one in a request left no line.
func TestDaemonServesAfterPanics(t *testing.T) {
	is := is.New(t)
	reloads := make(chan os.Signal, 1)
	out := &lines{}
	var d *daemon
	for d == nil || !d.waitUntilListening() {
		if d != nil {
			_ = d.stop()
		}
		ctx, cancel := context.WithCancel(context.Background())
		d = &daemon{t: t, store: emulator.NewStore(), front: freeAddress(t), ready: freeAddress(t), cancel: cancel, ended: make(chan error, 1), lines: &lineFinder{found: make(chan string, 1)}}
		go d.run(ctx, server.Options{
			Name: "d-1", VM: "d", Zone: "z", Zones: 1, ClientAddress: d.front, ReadyAddress: d.ready, ReadyPath: "/ready",
			Grace: 3 * time.Second, RowBytes: 1000, MemoryBytes: 64 << 20, Output: io.MultiWriter(d.lines, out), Signals: server.Signals{Reloads: reloads}, Reload: func() error { panic("odd settings") },
		}, server.Platform{
			Table: d.store, Feed: d.store, Codec: plainCodec{}, CatalogTable: "config", CatalogKey: "all", DecodeCatalog: decodeCatalog,
			ReplicaTable: "replicas", DecodeReplica: decodeReplica,
			Ingress: func(f *forwarder.Forwarder, _ *cataloger.Keeper) http.Handler { return panickyIngress{ingress{f}} },
		})
	}
	t.Cleanup(func() { is.NoErr(d.stop()) })
	d.register("a", "s", newReplica(t, "one"))
	d.put("config//all", "3 s")
	d.await("http://"+d.ready+"/ready", 200, "")
	for range 2 {
		reloads <- os.Interrupt
		out.await("server: recovered", "odd settings", "server: signals")
		status, _ := get("http://" + d.front + "/panic")
		is.Equal(status, 0) // A closed connection promises nothing.
		out.await("server: recovered", "odd request", "panickyIngress")
		d.await("http://"+d.front+"/x", 200, "one")
	}
}

// panickyIngress panics at requests to /panic.
type panickyIngress struct{ ingress }

// ServeHTTP implements http.Handler.
func (p panickyIngress) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/panic" {
		panic("odd request")
	}
	p.ingress.ServeHTTP(w, r)
}
