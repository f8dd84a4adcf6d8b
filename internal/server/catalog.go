package server

import (
	"pimentorail.example/pimentorail/internal/cataloger"
	"pimentorail.example/pimentorail/internal/recorder"
	"pimentorail.example/pimentorail/internal/storer"
)

// catalogSink decodes the configuration row and applies each newer version.
type catalogSink struct {
	keeper    *cataloger.Keeper
	key       string
	decode    func(value []byte) (*cataloger.Catalog, error)
	recorder  *recorder.Recorder
	outageLog *outageLog
}

// Replace implements follower.Sink.
func (c *catalogSink) Replace(rows []storer.Row, _ uint64) {
	for _, r := range rows {
		c.apply(r)
	}
}

// Update implements follower.Sink.
func (c *catalogSink) Update(changes []storer.Change, _ uint64) {
	for _, x := range changes {
		if !x.Removed {
			c.apply(x.Row)
		}
	}
}

// Lost implements follower.Sink.
func (c *catalogSink) Lost(err error) { c.outageLog.begin("configuration", err) }

// Regained implements follower.Sink.
func (c *catalogSink) Regained() { c.outageLog.end("configuration") }

func (c *catalogSink) apply(r storer.Row) {
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
