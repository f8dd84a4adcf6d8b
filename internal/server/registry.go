package server

import (
	"slices"
	"strings"
	"time"

	"github.com/pkg/errors"

	"pimentorail.example/pimentorail/internal/follower"
	"pimentorail.example/pimentorail/internal/logger"
	"pimentorail.example/pimentorail/internal/storer"
	"pimentorail.example/pimentorail/internal/supervisor"
	"pimentorail.example/pimentorail/internal/tracker"
)

// registryOptions returns the options with which the registry is followed. The table is
// listed again at the end of the grace period, before replicas whose rows are missing
// since an outage are removed.
func registryOptions(table string) follower.Options {
	return follower.Options{Table: table, PollInterval: registryPeriod, Timeout: followTimeout, VerifyAfter: outageGrace}
}

const (
	// ignoredPeriod is the least time between two log lines about one row that is ignored, and
	// maxIgnoredRows the number of rows about which there are lines in that time.
	ignoredPeriod  = time.Minute
	maxIgnoredRows = 16
)

// registrySink decodes the rows of the registry of replicas and updates the tracker with
// them.
type registrySink struct {
	tracker *tracker.Tracker
	// feed is what the follower reads.
	feed      *timedFeed
	decode    func(id string, value []byte) (*tracker.Replica, error)
	logger    *logger.Logger
	outageLog *outageLog
	// own are the addresses at which this daemon itself listens.
	own []string
	// ignored bounds the lines about invalid rows.
	ignored *logger.Limit
	// peers are told of the contact with the registry and asked for theirs; nil without peers.
	peers  registryPeers
	outage registryOutage
}

// Replace implements follower.Sink.
func (g *registrySink) Replace(rows []storer.Row, version uint64) {
	var list []*tracker.Replica
	for _, r := range rows {
		if x := g.decodeRow(r); x != nil {
			list = append(list, x)
		}
	}
	now := time.Now()
	g.read(now)
	g.logChanges(g.tracker.Replace(list, now), version)
	g.logChanges(g.tracker.Expire(now), version)
	g.tracker.ReachedVersion(version)
	g.logChanges(g.tracker.ReadCompleted(g.feed.began), version)
}

// Update implements follower.Sink. An invalid row names no replica, so it has the effect of a
// removed one, as it has in Replace.
func (g *registrySink) Update(changes []storer.Change, version uint64) {
	rows := make([]tracker.Row, 0, len(changes))
	for _, c := range changes {
		row := tracker.Row{ID: c.Name()}
		if !c.Removed {
			row.Replica = g.decodeRow(c.Row)
		}
		rows = append(rows, row)
	}
	now := time.Now()
	g.read(now)
	g.logChanges(g.tracker.Update(rows, now), version)
	g.logChanges(g.tracker.Expire(now), version)
	g.tracker.ReachedVersion(version)
	g.logChanges(g.tracker.ReadCompleted(g.feed.began), version)
}

// read records a read of the registry.
func (g *registrySink) read(now time.Time) {
	g.outage.read(now)
	if g.peers != nil {
		g.peers.RegistryRead()
	}
}

// StoreUnavailable implements follower.Sink.
func (g *registrySink) StoreUnavailable(err error) {
	g.outage.begin(time.Now())
	if g.peers != nil {
		g.peers.RegistryLost()
	}
	g.tracker.StoreUnavailable()
	g.outageLog.begin("registry", err)
}

// StoreRecovered implements follower.Sink. Peers are asked meanwhile whether it was an outage
// of the store or only of this daemon.
func (g *registrySink) StoreRecovered() {
	now := time.Now()
	g.tracker.StoreRecovered(now)
	g.outageLog.end("registry")
	if began, known := g.outage.end(now); known && g.peers != nil {
		go (&registryComparison{sink: g, began: began, ended: now}).run()
	}
}

// decodeRow returns the replica of a row, or nil if the row is invalid.
func (g *registrySink) decodeRow(r storer.Row) *tracker.Replica {
	id := r.Name()
	var x *tracker.Replica
	err := supervisor.Do("server: decoder of registry rows", func() (err error) {
		x, err = g.decode(id, r.Value)
		return err
	})
	switch {
	case strings.Contains(id, "/"):
		err = errors.Errorf("id %q contains a slash", id)
	case err == nil && slices.Contains(g.own, x.Address):
		err = errors.Errorf("address %q is this daemon's own", x.Address)
	}
	if err == nil {
		return x
	}
	if skipped, ok := g.ignored.Allow(r.Key, time.Now()); ok {
		g.logger.Event("server", "registry row ignored").Str("key", r.Key).Uint("row-version", r.Version).Int("lines-skipped", skipped).Err(err).End()
	}
	return nil
}

func (g *registrySink) logChanges(changes []tracker.Change, version uint64) {
	for _, c := range changes {
		g.logger.Event("server", "replica "+c.Kind).Str("replica", c.Replica.ID).Str("service", c.Replica.Service).
			Str("address", c.Replica.Address).Str("zone", c.Replica.Zone).Str("version", c.Replica.Version).Bool("draining", c.Replica.Draining).
			Uint("list-version", version).End()
	}
}
