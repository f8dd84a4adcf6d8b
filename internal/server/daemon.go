package server

import (
	"context"
	"io"
	"log"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"goji.io"
	"goji.io/pat"
	"gopkg.in/tomb.v2"

	"pimentorail.example/pimentorail/internal/acceptor"
	"pimentorail.example/pimentorail/internal/archivist"
	"pimentorail.example/pimentorail/internal/budgeter"
	"pimentorail.example/pimentorail/internal/cataloger"
	"pimentorail.example/pimentorail/internal/connector"
	"pimentorail.example/pimentorail/internal/forwarder"
	"pimentorail.example/pimentorail/internal/granter"
	"pimentorail.example/pimentorail/internal/isolator"
	"pimentorail.example/pimentorail/internal/logger"
	"pimentorail.example/pimentorail/internal/rationer"
	"pimentorail.example/pimentorail/internal/relayer"
	"pimentorail.example/pimentorail/internal/reporter"
	"pimentorail.example/pimentorail/internal/screener"
	"pimentorail.example/pimentorail/internal/selector"
	"pimentorail.example/pimentorail/internal/storer"
	"pimentorail.example/pimentorail/internal/supervisor"
	"pimentorail.example/pimentorail/internal/tracker"
	"pimentorail.example/pimentorail/internal/tunneler"
	"pimentorail.example/pimentorail/internal/versioner"
)

const (
	// configWait is how long the store may hold a request for configuration changes.
	configWait = 1400 * time.Millisecond
	// followTimeout is how late a reply of the store may be before the request fails.
	followTimeout = 900 * time.Millisecond
	// configBackoff is the time between two attempts to read the configuration.
	configBackoff = 150 * time.Millisecond
	// configVerifyAfter is how long after an outage of the store the configuration is read
	// in full.
	configVerifyAfter = time.Second
	// crashWait is how long the store may hold a request for new crashes of replicas.
	crashWait = 2 * time.Second
	// registryPeriod is the time between two reads of the changes of the registry of
	// replicas.
	registryPeriod = 700 * time.Millisecond
	// outageGrace is how long after an outage of the store a replica without a row stays
	// usable.
	outageGrace = 2200 * time.Millisecond
	// guardProbePeriod is the time between two attempts to reach an unavailable store.
	guardProbePeriod = 250 * time.Millisecond
	// guardOutageAfter is how long all calls must fail before the store counts as unavailable.
	guardOutageAfter = 300 * time.Millisecond
	// guardMinTimeout and guardMaxTimeout bound the timeout of one call to the store, whose
	// replies may take sixty times their usual time.
	guardMinTimeout = 100 * time.Millisecond
	guardMaxTimeout = 1300 * time.Millisecond
	// guardBackoff is the time between two attempts of one read.
	guardBackoff = 25 * time.Millisecond
	// unreadyAfter is the duration of an outage after which clients should use other daemons.
	unreadyAfter = 1500 * time.Millisecond
	// storeTimeout bounds the reads and writes of a turn before it runs.
	storeTimeout = 1200 * time.Millisecond
	// retryAfter is the minimum delay after which refused clients should retry.
	retryAfter = 250 * time.Millisecond
	// outageRetryAfter is the same while the store is unavailable; outages last seconds.
	outageRetryAfter = time.Second
	// headerTimeout and idleTimeout limit how long slow and idle clients hold a connection.
	headerTimeout  = 10 * time.Second
	idleTimeout    = 60 * time.Second
	maxHeaderBytes = 64 << 10
	evictPeriod    = time.Second
	// roundsPerCounts is the number of evict periods between two log lines with all counts.
	roundsPerCounts = 10
	// clientUserTimeout closes connections of clients that do not acknowledge sent bytes.
	clientUserTimeout = 8 * time.Second
	// peerUserTimeout and peerDialTimeout bound the wait for unresponsive daemons.
	peerUserTimeout = time.Second
	peerDialTimeout = 500 * time.Millisecond
	// turnsCacheDivisor is the inverse of the fraction of memory for the cache of histories.
	turnsCacheDivisor = 12
	// historiesDivisor is the inverse of the fraction of memory for the large turns in the
	// histories of requests in progress.
	historiesDivisor = 8
	// responsesDivisor is the inverse of the fraction of memory for responses in progress. On a
	// VM of 96 MB, one response can be an event of 1 MB while another replica uses all that it
	// may; half of that is the former array of a buffer that grows.
	responsesDivisor = 8
)

// Daemon is one process that forwards client requests to replicas.
type Daemon struct {
	options    Options
	platform   Platform
	logger     *logger.Logger
	metrics    *reporter.Reporter
	catalog    *cataloger.Keeper
	tracker    *tracker.Tracker
	failures   *supervisor.Observer
	outageLog  *outageLog
	store      *storer.Guard
	relayer    *relayer.Relayer
	turns      *archivist.Archivist
	budgets    *budgeter.Budgeter
	programs   *granter.Granter
	placements *selector.Selector
	isolator   *isolator.Isolator
	versions   *versioner.Versioner
	limits     *rationer.Rationer
	conns      *connector.Connector
	// tunnels lead through peers, and tunnelService serves those of peers.
	tunnels       *tunneler.Tunneler
	tunnelService *tunneler.Service
	// endings are the replicas that lately ended.
	endings endings
	// cutOffSince is when this daemon was found to reach no replica itself, zero if it does.
	cutOffSince time.Time
	forwarder   *forwarder.Forwarder
	stopping    atomic.Bool
	acceptor    *acceptor.Acceptor
	// listening is set once clients can connect.
	listening    atomic.Bool
	clientServer *http.Server
	clientConns  *clientConns
	screener     *screener.Screener
	readyServer  *http.Server
	// metricsServer is nil without an address for metrics.
	metricsServer *http.Server
	tomb          *tomb.Tomb
}

// Run runs a daemon until the context ends, and then performs a planned stop.
func Run(ctx context.Context, o Options, p Platform) error {
	e := newExit(o)
	if o.RedirectLibraries != nil {
		o.RedirectLibraries(e.logger.Writer("library"))
	}
	if ctx.Err() != nil {
		logSignal(e.logger, context.Cause(ctx).Error())
		return e.report(plannedStop, nil)
	}
	runCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	d := newDaemon(runCtx, o, p, e.logger)
	defer d.failures.Close()
	d.start(runCtx)
	select {
	case <-ctx.Done():
		logSignal(d.logger, context.Cause(ctx).Error())
	case <-d.tomb.Dying():
	}
	d.stop()
	cancel()
	switch err := d.tomb.Wait(); {
	case err == nil || errors.Is(err, context.Canceled):
		return e.report(plannedStop, nil)
	case !d.listening.Load() && ctx.Err() != nil:
		_ = e.report(plannedStop, err) // It was told to stop, so that the failure makes no difference.
		return nil
	case !d.listening.Load():
		return e.report(startFailed, err)
	default:
		return e.report(goroutineFailed, err)
	}
}

func newDaemon(ctx context.Context, o Options, p Platform, l *logger.Logger) *Daemon {
	d := &Daemon{options: o, platform: p, logger: l, catalog: &cataloger.Keeper{}, metrics: reporter.New(reportPeriod), clientConns: newClientConns(), screener: screener.New(o.MemoryBytes)}
	d.failures = supervisor.Observe(d.logFailure)
	d.outageLog = newOutageLog(d.logger)
	d.tracker = tracker.New(tracker.Options{OutageGrace: outageGrace})
	d.acceptor = acceptor.New(ctx, listen, listenLog{d.logger})
	d.store = newGuard(p.Table, p.Feed)
	d.relayer = relayer.New(d.store, d.logger, relayer.Options{
		VM: o.VM, Process: o.Name, Zone: o.Zone, OtherZones: o.OtherZones, Address: o.PeerAddress, Dial: dialPeer, Listen: d.listenForPeers,
	})
	d.turns = archivist.New(d.relayer, archivist.Options{RowBytes: o.RowBytes, CacheBytes: int(o.MemoryBytes / turnsCacheDivisor), HistoryBytes: int(o.MemoryBytes / historiesDivisor)})
	d.budgets = budgeter.Start(ctx, d.relayer, o.Name)
	d.programs = granter.Start(ctx, d.turns, d.budgets, d.relayer, d.logger, granter.Options{VM: o.VM, Name: o.Name, Elsewhere: d.relayer.ElsewhereNow})
	d.placements = selector.Start(ctx, d.tracker, d.relayer, d.logger, selector.Options{
		Zone: o.Zone, VM: o.VM, Name: o.Name, Zones: o.Zones, Daemons: d.estimateDaemons, Table: d.relayer,
	})
	d.relayer.Register(granter.ServiceName, d.programs.Service())
	d.relayer.Register(selector.ServiceName, d.placements.Coordinator())
	d.conns = connector.New()
	d.conns.ObserveEnds(d.sawEnd)
	d.tunnels = tunneler.New(o.Name, d.relayer, d.logger)
	d.tunnelService = tunneler.NewService(d.tracker, d.conns, d.logger)
	d.relayer.RegisterStream(tunneler.StreamKind, d.tunnelService)
	d.isolator = isolator.Start(ctx, d.relayer, d.logger, isolator.Options{Name: o.Name, Crashed: d.hasEnded})
	d.versions = versioner.Start(ctx, d.relayer)
	d.limits = rationer.New(rationer.Dependencies{Peers: d.relayer, Table: d.relayer, Feed: d.relayer, Logger: d.logger}, rationer.Options{
		VM: o.VM, Process: o.Name, Address: o.PeerAddress, Tolerance: o.Tolerance, Needed: d.hasAccounts,
	})
	d.relayer.Register(rationer.ServiceName, d.limits.Service())
	d.forwarder = forwarder.New(forwarder.Dependencies{
		Catalog: d.catalog, Placements: d.placements, Programs: d.programs, Isolator: d.isolator, Versions: d.versions, Limits: d.limits, Connector: d.conns, Tunnels: d.tunnels, Reports: p.Reports,
		Registry: &rowReader{table: d.relayer, name: p.ReplicaTable, decode: p.DecodeReplica},
		Logger:   d.logger, Scope: d.metrics.Scope(), Codec: p.Codec,
	}, forwarder.Options{
		StoreTimeout: storeTimeout, RetryAfter: retryAfter, OutageRetryAfter: outageRetryAfter, ConfigAge: o.configAge(), Daemons: d.estimateDaemons, ResponseBytes: o.MemoryBytes / responsesDivisor,
	})
	return d
}

// newGuard returns the guard before a daemon's store.
func newGuard(t storer.Table, f storer.Feed) *storer.Guard {
	return storer.NewGuard(t, f, storer.Limits{
		MinTimeout: guardMinTimeout, MaxTimeout: guardMaxTimeout, OutageAfter: guardOutageAfter, ProbeInterval: guardProbePeriod, RetryBackoff: guardBackoff,
	})
}

// start begins to open the daemon's listeners; the daemon starts with the first of them.
func (d *Daemon) start(runCtx context.Context) {
	d.tomb, _ = tomb.WithContext(runCtx)
	d.logStart()
	d.clientServer = d.newServer(d.platform.Ingress(d.forwarder, d.catalog))
	d.clientServer.ConnState = d.clientConns.observe
	d.screener.Guard(d.clientServer)
	d.readyServer = d.newServer(d.readyHandler())
	d.screener.Guard(d.readyServer)
	if d.options.MetricsAddress != "" {
		d.metricsServer = d.newServer(d.metrics.Handler())
		d.screener.Guard(d.metricsServer)
	}
	d.tomb.Go(supervisor.Loop(d.tomb, "server: signals", (&signalLoop{daemon: d}).run))
	d.tomb.Go(supervisor.Loop(d.tomb, "server: housekeeping", d.run))
	d.tomb.Go(supervisor.Loop(d.tomb, "server: ends of replicas", (&endVerifier{daemon: d}).run))
	d.tomb.Go((&opening{daemon: d, lifetime: runCtx}).run)
}

func (d *Daemon) newServer(h http.Handler) *http.Server {
	return &http.Server{
		Handler: &recovery{next: h}, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes,
		ErrorLog: log.New(io.Discard, "", 0),
	}
}

// dialPeer connects to another daemon, with short timeouts for an unresponsive one.
func dialPeer(ctx context.Context, address string) (net.Conn, error) {
	d := net.Dialer{Timeout: peerDialTimeout, KeepAlive: -1, Control: connector.UserTimeoutControl(peerUserTimeout)}
	return d.DialContext(ctx, "tcp", address)
}

// estimateDaemons estimates the number of daemons in the deployment. All zones have about
// the same number.
func (d *Daemon) estimateDaemons() int { return d.relayer.MemberCount() * max(1, d.options.Zones) }

// hasAccounts reports whether the configuration names accounts.
func (d *Daemon) hasAccounts() bool {
	c := d.catalog.Current()
	return c != nil && c.HasAccounts()
}

func (d *Daemon) readyHandler() http.Handler {
	mux := goji.NewMux()
	mux.HandleFunc(pat.Get(d.options.ReadyPath), func(w http.ResponseWriter, _ *http.Request) {
		if !d.isReady() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	return mux
}

// isReady reports whether the balancer should send new clients to this daemon.
func (d *Daemon) isReady() bool {
	return !d.stopping.Load() && d.listening.Load() && d.catalog.Current() != nil && d.tracker.Len() > 0 && d.limits.Ready() && (d.store.OutageDuration() < unreadyAfter || d.relayer.StoreReachable())
}

// run periodically evicts idle entries, updates the gauges and logs the counts.
func (d *Daemon) run() error {
	for round := 1; ; round++ {
		select {
		case <-time.After(evictPeriod):
			d.forwarder.EvictIdle()
			d.updateGauges()
			d.logCutOff()
			if round%roundsPerCounts == 0 {
				d.logCounts()
			}
		case <-d.tomb.Dying():
			return nil
		}
	}
}

// logCounts logs the totals since the start. The names of the counts are fixed. In them, a
// home is the coordinator of a program and a desk that of a service; "missed" counts the
// turns and requests that fell back to this daemon. Turns opened and requests seated
// (placed) for peers are those of other daemons. "dialed", "reused" and "failed" concern
// connections to replicas and exchanges on them, and "foreign" counts responses to another
// request than the one sent. "identified" counts the reports that replicas were asked for before a
// stream was resumed.
func (d *Daemon) logCounts() {
	s, c := d.store.Counts(), d.forwarder.Connections()
	hits, misses, repeats := d.turns.Counts()
	b := d.budgets.Counts()
	relayed, served := d.relayer.Counts()
	asked, missed, opened := d.programs.Counts()
	recorded, dropped := d.versions.Counts()
	coordinatorsAsked, fellBack, placed := d.placements.Counts()
	limits := d.limits.Counts()
	clients := d.screener.Counts()
	u := readUsage()
	u.update(d.metrics.Scope())
	line := d.logger.Event("server", "counts").Int("active", d.forwarder.Active()).
		Int("store-reads", int(s.Reads)).Int("store-commits", int(s.Commits)).Int("store-lists", int(s.Lists)).
		Int("store-changes", int(s.Changes)).Int("store-refused", int(s.Refused)).
		Int("turns-in-memory", int(hits)).Int("turns-read", int(misses)).Int("turn-repeats", int(repeats)).
		Int("budget-writes", int(b.Writes)).Int("budget-conflicts", int(b.Conflicts)).Int("budget-doubts", int(b.Ambiguous)).Int("budget-unsettled", int(b.Unsettled)).
		Int("homes-asked", int(asked)).Int("homes-missed", int(missed)).Int("opened-for-peers", int(opened)).
		Int("desks-asked", int(coordinatorsAsked)).Int("desks-missed", int(fellBack)).Int("seated-for-peers", int(placed)).
		Int("credits-granted", int(limits.Granted)).Int("credits-exhausted", int(limits.Exhausted)).Int("credits-unknown", int(limits.Unknown)).
		Int("credits-asked", int(limits.Asked)).Int("credits-relayed", int(limits.Served)).Int("credits-reserved", int(limits.Reserved)).
		Int("streams-recorded", int(recorded)).Int("streams-unrecorded", int(dropped)).
		Int("relayed", int(relayed)).Int("relays-served", int(served)).
		Int("detoured", int(c.Detoured)).Int("tunnels-served", d.tunnelService.Active()).
		Int("dialed", int(c.Dialed)).Int("reused", int(c.Reused)).Int("failed", int(c.Failed)).Int("foreign", int(c.Foreign)).Int("identified", int(c.Identified)).
		Int("heads-refused", int(clients.Refused)).Int("clients-evicted", int(clients.Evicted)).Int("clients-open", clients.Open).Int("head-bytes", int(clients.HeadBytes)).
		Int("lines-dropped", int(d.logger.Dropped())).Int("lines-unwritten", int(d.logger.Unwritten()))
	u.appendTo(line).End()
}
