package server

import (
	"time"

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

// registrySink decodes the rows of the registry of replicas and updates the tracker with
// them.
type registrySink struct {
	tracker *tracker.Tracker
	// feed is what the follower reads.
	feed      *timedFeed
	decode    func(id string, value []byte) (*tracker.Replica, error)
	logger    *logger.Logger
	outageLog *outageLog
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
	g.logChanges(g.tracker.ReadCompleted(g.feed.began), version)
}

// Update implements follower.Sink.
func (g *registrySink) Update(changes []storer.Change, version uint64) {
	rows := make([]tracker.Row, 0, len(changes))
	for _, c := range changes {
		if c.Removed {
			rows = append(rows, tracker.Row{ID: c.Name()})
		} else if x := g.decodeRow(c.Row); x != nil {
			rows = append(rows, tracker.Row{ID: c.Name(), Replica: x})
		}
	}
	now := time.Now()
	g.read(now)
	g.logChanges(g.tracker.Update(rows, now), version)
	g.logChanges(g.tracker.Expire(now), version)
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

func (g *registrySink) decodeRow(r storer.Row) *tracker.Replica {
	var x *tracker.Replica
	err := supervisor.Do("server: decoder of registry rows", func() (err error) {
		x, err = g.decode(r.Name(), r.Value)
		return err
	})
	if err != nil {
		g.logger.Event("server", "registry row ignored").Str("key", r.Key).Uint("row-version", r.Version).Err(err).End()
		return nil
	}
	return x
}

func (g *registrySink) logChanges(changes []tracker.Change, version uint64) {
	for _, c := range changes {
		g.logger.Event("server", "replica "+c.Kind).Str("replica", c.Replica.ID).Str("service", c.Replica.Service).
			Str("address", c.Replica.Address).Str("zone", c.Replica.Zone).Str("version", c.Replica.Version).Bool("draining", c.Replica.Draining).
			Uint("list-version", version).End()
	}
}
