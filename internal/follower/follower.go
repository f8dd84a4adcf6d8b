package follower

import (
	"context"
	"errors"
	"time"

	"gopkg.in/tomb.v2"

	"pimentorail.example/pimentorail/internal/storer"
	"pimentorail.example/pimentorail/internal/supervisor"
)

// Sink receives the contents of a table from a Follower, which calls all methods from one
// goroutine.
type Sink interface {
	// Replace sets all rows of the table, as of a version.
	Replace(rows []storer.Row, version uint64)
	// Update applies changes; the table is then as of the version.
	Update(changes []storer.Change, version uint64)
	// StoreUnavailable is called with the first error after a success.
	StoreUnavailable(err error)
	// StoreRecovered is called at the first success after an error, before Replace or Update.
	StoreRecovered()
}

// Options are the table and the timing of a Follower.
type Options struct {
	Table string
	// LongPoll is how long the store may delay its reply until there are changes (long poll).
	// With zero the Follower polls at intervals of PollInterval.
	LongPoll time.Duration
	// PollInterval is the time between two polls, and between a failed attempt and its retry.
	PollInterval time.Duration
	// Timeout is the timeout of a request, in addition to LongPoll.
	Timeout time.Duration
	// VerifyAfter is how long after an outage of the store the table is listed again, so that
	// a change that the feed left out does not stay unknown. With zero it is not.
	VerifyAfter time.Duration
}

// Follower replicates one table until its context ends.
type Follower struct {
	feed    storer.Feed
	sink    Sink
	options Options
	tomb    *tomb.Tomb
	failing bool
	listed  bool
	version uint64
	// verifyAt is when the table is listed again, zero if no outage has ended since.
	verifyAt time.Time
}

// Start starts a Follower that runs until the context ends.
func Start(ctx context.Context, feed storer.Feed, sink Sink, o Options) *Follower {
	f := &Follower{feed: feed, sink: sink, options: o}
	f.tomb, _ = tomb.WithContext(ctx)
	f.tomb.Go(supervisor.Loop(f.tomb, "follower: "+o.Table, f.run))
	return f
}

// Wait returns once the follower has stopped.
func (f *Follower) Wait() error { return f.tomb.Wait() }

// run requests updates until the follower stops.
func (f *Follower) run() error {
	ctx := f.tomb.Context(nil)
	for f.tomb.Alive() {
		err := f.update(ctx)
		if !f.tomb.Alive() {
			return nil
		}
		f.reportTransition(err)
		if f.options.LongPoll > 0 && err == nil {
			continue
		}
		select {
		case <-time.After(f.options.PollInterval):
		case <-f.tomb.Dying():
		}
	}
	return nil
}

// reportTransition reports the first error, and the first success after it, to the sink.
func (f *Follower) reportTransition(err error) {
	switch {
	case err != nil && !f.failing:
		f.failing = true
		f.sink.StoreUnavailable(err)
	case err == nil && f.failing:
		f.failing = false
		if f.options.VerifyAfter > 0 {
			f.verifyAt = time.Now().Add(f.options.VerifyAfter)
		}
		f.sink.StoreRecovered()
	}
}

// update requests the changes of the table, or lists it if it has not been listed or is to
// be verified.
func (f *Follower) update(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, f.options.LongPoll+f.options.Timeout)
	defer cancel()
	if !f.listed || f.verifyDue() {
		return f.list(ctx)
	}
	changes, version, err := f.feed.Changes(ctx, f.options.Table, f.version, f.options.LongPoll)
	if errors.Is(err, storer.ErrHistoryGone) {
		f.listed = false
		return f.list(ctx)
	}
	if err != nil {
		return err
	}
	if f.failing {
		// A sink judges missing rows by the time at which the outage ended, so the end of
		// the outage is reported to it first.
		f.reportTransition(nil)
	}
	f.version = max(f.version, version)
	// After a panic of the sink, the table is listed again.
	f.listed = false
	f.sink.Update(changes, f.version)
	f.listed = true
	return nil
}

// verifyDue reports whether the table is to be listed again after an outage.
func (f *Follower) verifyDue() bool { return !f.verifyAt.IsZero() && time.Now().After(f.verifyAt) }

// list reads the complete table.
func (f *Follower) list(ctx context.Context) error {
	rows, version, err := f.feed.List(ctx, f.options.Table)
	if err != nil {
		return err
	}
	if f.failing {
		f.reportTransition(nil)
	}
	verified := f.verifyDue()
	f.listed, f.version = false, version
	f.sink.Replace(rows, version)
	f.listed = true
	if verified {
		f.verifyAt = time.Time{}
	}
	return nil
}
