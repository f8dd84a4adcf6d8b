package server

import (
	"strings"
	"time"

	"pimentorail.example/pimentorail/internal/cataloger"
	"pimentorail.example/pimentorail/internal/follower"
	"pimentorail.example/pimentorail/internal/isolator"
	"pimentorail.example/pimentorail/internal/logger"
	"pimentorail.example/pimentorail/internal/storer"
	"pimentorail.example/pimentorail/internal/supervisor"
)

// configOptions returns the options with which the configuration is followed.
func configOptions(table string) follower.Options {
	return follower.Options{Table: table, LongPoll: configWait, PollInterval: configBackoff, Timeout: followTimeout, VerifyAfter: configVerifyAfter}
}

// crashOptions returns the options with which the crashes of replicas are followed.
func crashOptions() follower.Options {
	return follower.Options{Table: isolator.Table, LongPoll: crashWait, PollInterval: configBackoff, Timeout: followTimeout, VerifyAfter: configVerifyAfter}
}

// configSink decodes the configuration row to a catalog and applies each newer version.
type configSink struct {
	keeper *cataloger.Keeper
	// feed is what the follower reads.
	feed      *configFeed
	key       string
	decode    func(value []byte) (*cataloger.Catalog, error)
	logger    *logger.Logger
	outageLog *outageLog
	// ignored bounds the lines about invalid rows.
	ignored *logger.Limit
}

// Replace implements follower.Sink.
func (c *configSink) Replace(rows []storer.Row, _ uint64) {
	for _, r := range rows {
		c.apply(r)
	}
	c.keeper.Confirm(c.feed.asOf)
}

// Update implements follower.Sink.
func (c *configSink) Update(changes []storer.Change, _ uint64) {
	for _, x := range changes {
		if !x.Removed {
			c.apply(x.Row)
		}
	}
	c.keeper.Confirm(c.feed.asOf)
}

// StoreUnavailable implements follower.Sink.
func (c *configSink) StoreUnavailable(err error) { c.outageLog.begin("configuration", err) }

// StoreRecovered implements follower.Sink.
func (c *configSink) StoreRecovered() { c.outageLog.end("configuration") }

func (c *configSink) apply(r storer.Row) {
	if r.Name() != c.key {
		return
	}
	var next *cataloger.Catalog
	err := supervisor.Do("server: decoder of the configuration", func() (err error) {
		next, err = c.decode(r.Value)
		return err
	})
	c.keeper.SetUnreadable(err != nil)
	if err != nil {
		if skipped, ok := c.ignored.Allow(r.Key, time.Now()); ok {
			c.logger.Event("server", "configuration unreadable").Uint("row-version", r.Version).Int("lines-skipped", skipped).Err(err).End()
		}
		return
	}
	before := c.keeper.Current()
	old := before.Version()
	applied := c.keeper.Apply(next)
	c.logger.Event("server", "configuration").Uint("version", next.Version()).Uint("old", old).
		Uint("row-version", r.Version).Bool("applied", applied).Str("unknown-fields", strings.Join(next.UnknownFields(), " ")).End()
	if applied {
		c.logLimits(before, next)
	}
}
