package server

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"pimentorail.example/pimentorail/internal/connector"
	"pimentorail.example/pimentorail/internal/follower"
	"pimentorail.example/pimentorail/internal/logger"
	"pimentorail.example/pimentorail/internal/supervisor"
)

// opening opens the daemon's listeners, each as soon as its port is free.
//
// The port for readiness comes first, and nothing else begins before it: a predecessor that
// drains holds that port until its end, and of several successors only one has it. So two
// processes of a VM never share its ports or write the same member row.
type opening struct {
	daemon *Daemon
	// lifetime ends after a planned stop, which the daemon's calls to peers outlast.
	lifetime context.Context
}

func (o *opening) run() error { return supervisor.Do("server: opening of ports", o.open) }

// open returns an error that ends the daemon.
func (o *opening) open() error {
	d := o.daemon
	began := time.Now()
	ctx := d.tomb.Context(nil)
	ready, err := d.acceptor.Open(ctx, "readiness", d.options.ReadyAddress)
	if err != nil {
		return openingError(err)
	}
	d.tomb.Go((&acceptLoop{server: d.readyServer, listener: d.screener.Wrap(ready), stopping: &d.stopping}).run)
	o.follow(ctx)
	if d.metricsServer != nil {
		d.tomb.Go(supervisor.Task("server: metrics", (&metricsOpening{daemon: d}).run))
	}
	clients, err := d.acceptor.Open(ctx, "clients", d.options.ClientAddress)
	if err != nil {
		return openingError(err)
	}
	d.tomb.Go((&acceptLoop{server: d.clientServer, listener: d.clientConns.wrap(d.screener.Wrap(clients)), stopping: &d.stopping}).run)
	d.listening.Store(true)
	d.logger.Event("server", "listening").Dur("took", time.Since(began)).End()
	return nil
}

// openingError returns an error of Open, nil for the end of a wait by a stop.
func openingError(err error) error {
	if errors.Is(err, context.Canceled) {
		return nil
	}
	return err
}

// follow joins the daemon's peers and begins to follow the tables of the platform.
func (o *opening) follow(ctx context.Context) {
	d := o.daemon
	d.relayer.Start(o.lifetime)
	d.limits.Start(o.lifetime)
	config := &configFeed{Feed: d.relayer, keeper: d.catalog, maxAge: d.options.configAge()}
	follower.Start(ctx, config, &configSink{
		keeper: d.catalog, feed: config, key: d.platform.CatalogKey, decode: d.platform.DecodeCatalog, logger: d.logger, outageLog: d.outageLog, ignored: logger.NewLimit(ignoredPeriod, maxIgnoredRows),
	}, configOptions(d.platform.CatalogTable))
	registry := &timedFeed{Feed: d.relayer}
	follower.Start(ctx, registry, &registrySink{
		tracker: d.tracker, feed: registry, decode: d.platform.DecodeReplica, logger: d.logger, outageLog: d.outageLog, peers: d.relayer,
		own:     []string{d.options.ClientAddress, d.options.ReadyAddress, d.options.MetricsAddress, d.options.PeerAddress},
		ignored: logger.NewLimit(ignoredPeriod, maxIgnoredRows),
	}, registryOptions(d.platform.ReplicaTable))
	follower.Start(ctx, d.relayer, d.isolator, crashOptions())
}

// metricsOpening opens the listener for metrics. A daemon serves clients without it.
type metricsOpening struct{ daemon *Daemon }

func (m *metricsOpening) run() error {
	d := m.daemon
	l, err := d.acceptor.Open(d.tomb.Context(nil), "metrics", d.options.MetricsAddress)
	if err == nil {
		return (&acceptLoop{server: d.metricsServer, listener: d.screener.Wrap(l), stopping: &d.stopping}).run()
	}
	if err = openingError(err); err != nil {
		d.logger.Event("server", "no metrics").Err(err).End()
	}
	return nil
}

// acceptLoop runs an HTTP server on one listener.
type acceptLoop struct {
	server   *http.Server
	listener net.Listener
	// stopping is set before the daemon itself closes the listener.
	stopping *atomic.Bool
}

// run returns an error only if the listener was lost. The daemon is of no use then, and stops.
func (a *acceptLoop) run() error { return supervisor.Do("server: accept", a.serve) }

func (a *acceptLoop) serve() error {
	err := a.server.Serve(a.listener)
	if errors.Is(err, http.ErrServerClosed) || a.stopping.Load() && errors.Is(err, net.ErrClosed) {
		return nil
	}
	return errors.Wrap(err, "serve")
}

// listen opens a listener whose connections close if the peer does not acknowledge sent
// bytes.
func listen(ctx context.Context, address string) (net.Listener, error) {
	c := net.ListenConfig{KeepAlive: -1, Control: connector.UserTimeoutControl(clientUserTimeout)}
	l, err := c.Listen(ctx, "tcp", address)
	return l, errors.Wrapf(err, "listen on %s", address)
}

// listenForPeers opens the listener for other daemons as soon as its port is free.
func (d *Daemon) listenForPeers(ctx context.Context, address string) (net.Listener, error) {
	l, err := d.acceptor.Open(ctx, "peers", address)
	if err != nil {
		return nil, err // A nil *Listener would be a net.Listener that is not nil.
	}
	return d.screener.Wrap(l), nil
}
