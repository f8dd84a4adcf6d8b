package server

import (
	"time"

	"pimentorail.example/pimentorail/internal/recorder"
	"pimentorail.example/pimentorail/internal/storer"
	"pimentorail.example/pimentorail/internal/tracker"
)

// registry brings the registry's rows to the tracker.
type registry struct {
	tracker  *tracker.Tracker
	decode   func(id string, value []byte) (*tracker.Replica, error)
	recorder *recorder.Recorder
	link     *link
}

// Replace implements follower.Sink.
func (g *registry) Replace(rows []storer.Row, version uint64) {
	var list []*tracker.Replica
	for _, r := range rows {
		if x := g.read(r); x != nil {
			list = append(list, x)
		}
	}
	g.log(g.tracker.Replace(list, time.Now()), version)
}

// Update implements follower.Sink.
func (g *registry) Update(changes []storer.Change, version uint64) {
	var put []*tracker.Replica
	var removed []string
	for _, c := range changes {
		if c.Removed {
			removed = append(removed, c.Name())
		} else if x := g.read(c.Row); x != nil {
			put = append(put, x)
		}
	}
	now := time.Now()
	g.log(g.tracker.Update(put, removed, now), version)
	g.log(g.tracker.Expire(now), version)
}

// Lost implements follower.Sink.
func (g *registry) Lost(err error) {
	g.tracker.StoreUnavailable()
	g.link.lost("registry", err)
}

// Regained implements follower.Sink.
func (g *registry) Regained() {
	g.tracker.StoreRecovered(time.Now())
	g.link.regained("registry")
}

func (g *registry) read(r storer.Row) *tracker.Replica {
	x, err := g.decode(r.Name(), r.Value)
	if err != nil {
		g.recorder.Event("server", "registry row ignored").Str("key", r.Key).Uint("row-version", r.Version).Err(err).End()
		return nil
	}
	return x
}

func (g *registry) log(changes []tracker.Change, version uint64) {
	for _, c := range changes {
		g.recorder.Event("server", "replica "+c.Kind).Str("replica", c.Replica.ID).Str("service", c.Replica.Service).
			Str("address", c.Replica.Address).Str("zone", c.Replica.Zone).Bool("draining", c.Replica.Draining).
			Uint("list-version", version).End()
	}
}
