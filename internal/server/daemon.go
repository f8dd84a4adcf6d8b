package server

import (
	"context"
	"io"
	"log"
	"net"
	"net/http"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"goji.io"
	"goji.io/pat"
	"golang.org/x/sys/unix"
	"gopkg.in/tomb.v2"

	"pimentorail.example/pimentorail/internal/archivist"
	"pimentorail.example/pimentorail/internal/budgeter"
	"pimentorail.example/pimentorail/internal/cataloger"
	"pimentorail.example/pimentorail/internal/follower"
	"pimentorail.example/pimentorail/internal/forwarder"
	"pimentorail.example/pimentorail/internal/recorder"
	"pimentorail.example/pimentorail/internal/tracker"
)

const (
	// followers is the number of tables that are followed.
	followers = 2
	// catalogWait is how long the store holds a request for a new configuration.
	catalogWait = time.Second
	// followPatience is how late an answer may be before the connection is given up.
	followPatience = 900 * time.Millisecond
	// catalogPause is the time between two tries to reach the store.
	catalogPause = 150 * time.Millisecond
	// registryPeriod is the time between two reads of the registry's changes.
	registryPeriod = 500 * time.Millisecond
	// returnGrace is how long rows that lapsed in an outage are waited for after it.
	returnGrace = 2200 * time.Millisecond
	// unreadyAfter is the outage after which clients should go to other daemons.
	unreadyAfter = 1500 * time.Millisecond
	// storePatience bounds the reads and writes of a turn before it runs.
	storePatience = 1200 * time.Millisecond
	// comeBack is when refused clients should come back at least.
	comeBack = 250 * time.Millisecond
	// linger is how long a stopping daemon takes new requests, while the balancer notices.
	linger = 3500 * time.Millisecond
	// stopMargin is the part of the grace time that is left unused.
	stopMargin = 700 * time.Millisecond
	// headerTimeout and idleTimeout bound slow and idle clients.
	headerTimeout = 10 * time.Second
	idleTimeout   = 60 * time.Second
	headerBytes   = 64 << 10
	trimPeriod    = time.Second
	// silentClient ends connections of clients that do not acknowledge bytes.
	silentClient = 8 * time.Second
	// turnsShare is the part of the memory for histories, as its inverse.
	turnsShare = 12
)

// Daemon is one process before the replicas.
type Daemon struct {
	options   Options
	platform  Platform
	recorder  *recorder.Recorder
	metrics   *metrics
	catalog   *cataloger.Keeper
	tracker   *tracker.Tracker
	link      *link
	turns     *archivist.Archivist
	budgets   *budgeter.Budgeter
	forwarder *forwarder.Forwarder
	stopping  atomic.Bool
	front     *http.Server
	ready     *http.Server
	tomb      *tomb.Tomb
}

// Run runs a daemon until the context ends, and then stops it as planned.
func Run(ctx context.Context, o Options, p Platform) error {
	life, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	d := newDaemon(life, o, p)
	if err := d.start(life); err != nil {
		return err
	}
	select {
	case <-ctx.Done():
	case <-d.tomb.Dying():
	}
	d.stop()
	cancel()
	err := d.tomb.Wait()
	_ = d.recorder.Wait()
	return err
}

func newDaemon(life context.Context, o Options, p Platform) *Daemon {
	d := &Daemon{options: o, platform: p, catalog: &cataloger.Keeper{}, metrics: newMetrics()}
	d.recorder = recorder.Start(life, o.Output)
	d.link = newLink(d.recorder)
	d.tracker = tracker.New(tracker.Options{ReturnGrace: returnGrace})
	d.turns = archivist.New(p.Table, archivist.Options{RowBytes: o.RowBytes, CacheBytes: int(o.MemoryBytes / turnsShare)})
	d.budgets = budgeter.Start(life, p.Table, o.Name)
	d.forwarder = forwarder.New(forwarder.Parts{
		Catalog: d.catalog, Replicas: d.tracker, Turns: d.turns, Budgets: d.budgets,
		Recorder: d.recorder, Scope: d.metrics.scope, Wire: p.Wire,
	}, forwarder.Options{Zone: o.Zone, StorePatience: storePatience, ComeBack: comeBack})
	return d
}

func (d *Daemon) start(life context.Context) error {
	d.tomb, _ = tomb.WithContext(life)
	ctx := d.tomb.Context(nil)
	d.recorder.Event("server", "start").Str("name", d.options.Name).Str("zone", d.options.Zone).Str("front", d.options.Front).End()
	follower.Start(ctx, d.platform.Feed, &catalogs{
		keeper: d.catalog, key: d.platform.CatalogKey, decode: d.platform.DecodeCatalog, recorder: d.recorder, link: d.link,
	}, follower.Options{Table: d.platform.CatalogTable, Wait: catalogWait, Pause: catalogPause, Patience: followPatience})
	follower.Start(ctx, d.platform.Feed, &registry{
		tracker: d.tracker, decode: d.platform.DecodeReplica, recorder: d.recorder, link: d.link,
	}, follower.Options{Table: d.platform.ReplicaTable, Pause: registryPeriod, Patience: followPatience})
	d.front = d.newServer(d.whileServing(d.platform.Ingress(d.forwarder, d.catalog)))
	d.ready = d.newServer(d.readiness())
	if err := d.serve(d.front, d.options.Front); err != nil {
		return err
	}
	if err := d.serve(d.ready, d.options.Ready); err != nil {
		return err
	}
	if d.options.Metrics != "" {
		if err := d.serve(d.newServer(d.metrics.handler()), d.options.Metrics); err != nil {
			d.recorder.Event("server", "no metrics").Err(err).End()
		}
	}
	d.tomb.Go(d.run)
	return nil
}

func (d *Daemon) newServer(h http.Handler) *http.Server {
	return &http.Server{
		Handler: h, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: headerBytes,
		ErrorLog: log.New(io.Discard, "", 0),
	}
}

// accepting serves one listener.
type accepting struct {
	server   *http.Server
	listener net.Listener
}

func (a *accepting) run() error {
	if err := a.server.Serve(a.listener); !errors.Is(err, http.ErrServerClosed) {
		return errors.Wrap(err, "serve")
	}
	return nil
}

func (d *Daemon) serve(s *http.Server, address string) error {
	c := net.ListenConfig{KeepAlive: -1, Control: boundSilence}
	l, err := c.Listen(context.Background(), "tcp", address)
	if err != nil {
		return errors.Wrapf(err, "listen on %s", address)
	}
	a := &accepting{server: s, listener: l}
	d.tomb.Go(a.run)
	return nil
}

func boundSilence(_, _ string, raw syscall.RawConn) error {
	var err error
	outer := raw.Control(func(fd uintptr) {
		err = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(silentClient.Milliseconds()))
	})
	if outer != nil {
		return outer
	}
	return err
}

// whileServing asks clients to close their connections during a planned stop.
func (d *Daemon) whileServing(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if d.stopping.Load() {
			w.Header().Set("Connection", "close")
		}
		h.ServeHTTP(w, r)
	})
}

func (d *Daemon) readiness() http.Handler {
	mux := goji.NewMux()
	mux.HandleFunc(pat.Get(d.options.ReadyPath), func(w http.ResponseWriter, _ *http.Request) {
		if !d.isReady() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	return mux
}

// isReady says whether new clients should come here.
func (d *Daemon) isReady() bool {
	return !d.stopping.Load() && d.catalog.Current() != nil && d.tracker.Len() > 0 && d.link.away() < unreadyAfter
}

// run frees what is no longer needed and updates the gauges.
func (d *Daemon) run() error {
	for {
		select {
		case <-time.After(trimPeriod):
			d.forwarder.Trim()
			d.metrics.update(d)
		case <-d.tomb.Dying():
			return nil
		}
	}
}

// stop lets the balancer notice, finishes what is under way, and leaves.
func (d *Daemon) stop() {
	began := time.Now()
	d.stopping.Store(true)
	d.recorder.Event("server", "stop").Int("active", d.forwarder.Active()).End()
	if d.tomb.Alive() {
		time.Sleep(min(linger, d.options.Grace/2))
	}
	ctx, cancel := context.WithDeadline(context.Background(), began.Add(d.options.Grace-stopMargin))
	defer cancel()
	err := d.front.Shutdown(ctx)
	d.budgets.Settle(ctx)
	d.recorder.Event("server", "stopped").Int("active", d.forwarder.Active()).Dur("took", time.Since(began)).Err(err).End()
	_ = d.ready.Close()
	d.forwarder.Close()
	d.tomb.Kill(nil)
}
