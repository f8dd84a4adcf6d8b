package server

import (
	"context"
	"net"
	"net/http"
	"time"

	"pimentorail.example/pimentorail/internal/cataloger"
	"pimentorail.example/pimentorail/internal/follower"
	"pimentorail.example/pimentorail/internal/logger"
	"pimentorail.example/pimentorail/internal/storer"
	"pimentorail.example/pimentorail/internal/tracker"
)

// OutageGrace is how long after an outage a replica without a row stays usable.
const OutageGrace = outageGrace

// Options with which a daemon follows the tables of the platform.
var (
	RegistryOptions = registryOptions
	ConfigOptions   = configOptions
)

// NewRegistrySink returns the sink that a daemon uses for the registry of replicas.
func NewRegistrySink(t *tracker.Tracker, decode func(string, []byte) (*tracker.Replica, error), l *logger.Logger) follower.Sink {
	return NewOwnRegistrySink(t, decode, l, nil)
}

// NewOwnRegistrySink returns the same for a daemon with its own addresses.
func NewOwnRegistrySink(t *tracker.Tracker, decode func(string, []byte) (*tracker.Replica, error), l *logger.Logger, own []string) follower.Sink {
	return &registrySink{tracker: t, decode: decode, feed: &timedFeed{}, logger: l, outageLog: newOutageLog(l), own: own, ignored: logger.NewLimit(ignoredPeriod, maxIgnoredRows)}
}

// NewComparingRegistrySink returns the same with peers that are asked after an outage.
func NewComparingRegistrySink(t *tracker.Tracker, decode func(string, []byte) (*tracker.Replica, error), l *logger.Logger, peers registryPeers) follower.Sink {
	return &registrySink{tracker: t, decode: decode, feed: &timedFeed{}, logger: l, outageLog: newOutageLog(l), peers: peers, ignored: logger.NewLimit(ignoredPeriod, maxIgnoredRows)}
}

// NewConfigSink returns the sink that a daemon uses for the configuration.
func NewConfigSink(k *cataloger.Keeper, key string, decode func([]byte) (*cataloger.Catalog, error), l *logger.Logger) follower.Sink {
	return &configSink{keeper: k, feed: &configFeed{}, key: key, decode: decode, logger: l, outageLog: newOutageLog(l), ignored: logger.NewLimit(ignoredPeriod, maxIgnoredRows)}
}

// NewConfigFollower returns the feed and the sink that a daemon uses for the configuration.
func NewConfigFollower(f storer.Feed, k *cataloger.Keeper, key string, decode func([]byte) (*cataloger.Catalog, error), l *logger.Logger, maxAge time.Duration) (storer.Feed, follower.Sink) {
	feed := &configFeed{Feed: f, keeper: k, maxAge: maxAge}
	return feed, &configSink{keeper: k, feed: feed, key: key, decode: decode, logger: l, outageLog: newOutageLog(l), ignored: logger.NewLimit(ignoredPeriod, maxIgnoredRows)}
}

// NewRecovery returns the handler around all handlers of the daemon's servers.
func NewRecovery(next http.Handler) http.Handler { return &recovery{next: next} }

// ClientConns are the open connections of clients.
type ClientConns struct{ conns *clientConns }

// NewClientConns returns the same for a server without connections.
func NewClientConns(h *http.Server) *ClientConns {
	c := newClientConns()
	h.ConnState = c.observe
	return &ClientConns{c}
}

// Wrap returns a listener whose connections are followed.
func (c *ClientConns) Wrap(l net.Listener) net.Listener { return c.conns.wrap(l) }

// Drain lets the server close its connections.
func (c *ClientConns) Drain(h *http.Server) { c.conns.drain(h) }

// Await waits until no connection has a request.
func (c *ClientConns) Await(ctx context.Context) error { return c.conns.await(ctx) }
