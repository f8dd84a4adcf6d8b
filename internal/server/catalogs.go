package server

import (
	"pimentorail.example/pimentorail/internal/cataloger"
	"pimentorail.example/pimentorail/internal/recorder"
	"pimentorail.example/pimentorail/internal/storer"
)

// catalogs puts the configuration's rows in force.
type catalogs struct {
	keeper   *cataloger.Keeper
	key      string
	decode   func(value []byte) (*cataloger.Catalog, error)
	recorder *recorder.Recorder
	link     *link
}

// Replace implements follower.Sink.
func (c *catalogs) Replace(rows []storer.Row, _ uint64) {
	for _, r := range rows {
		c.take(r)
	}
}

// Update implements follower.Sink.
func (c *catalogs) Update(changes []storer.Change, _ uint64) {
	for _, x := range changes {
		if !x.Removed {
			c.take(x.Row)
		}
	}
}

// Lost implements follower.Sink.
func (c *catalogs) Lost(err error) { c.link.lost("configuration", err) }

// Regained implements follower.Sink.
func (c *catalogs) Regained() { c.link.regained("configuration") }

func (c *catalogs) take(r storer.Row) {
	if r.Name() != c.key {
		return
	}
	next, err := c.decode(r.Value)
	if err != nil {
		c.recorder.Event("server", "configuration unreadable").Uint("row-version", r.Version).Err(err).End()
		return
	}
	old := c.keeper.Current().Version()
	applied := c.keeper.Apply(next)
	c.recorder.Event("server", "configuration").Uint("version", next.Version()).Uint("old", old).
		Uint("row-version", r.Version).Bool("applied", applied).End()
}
