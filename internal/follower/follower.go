package follower

import (
	"context"
	"errors"
	"time"

	"gopkg.in/tomb.v2"

	"pimentorail.example/pimentorail/internal/storer"
)

// Sink takes what a Follower learns; its methods are called from one goroutine.
type Sink interface {
	// Replace takes the whole table as of a version.
	Replace(rows []storer.Row, version uint64)
	// Update takes what changed.
	Update(changes []storer.Change, version uint64)
	// Lost takes the first error after a success.
	Lost(err error)
	// Regained takes the first success after an error.
	Regained()
}

// Options are the table and the times of a Follower.
type Options struct {
	Table string
	// Wait is how long the store may hold a request for changes; zero polls.
	Wait time.Duration
	// Pause is the time between two polls, and between two tries.
	Pause time.Duration
	// Patience is how long an answer may be late before the connection is given up.
	Patience time.Duration
}

// Follower follows one table until its context ends.
type Follower struct {
	feed    storer.Feed
	sink    Sink
	options Options
	tomb    *tomb.Tomb
	lost    bool
	listed  bool
	version uint64
}

// Start follows a table until the context ends.
func Start(ctx context.Context, feed storer.Feed, sink Sink, o Options) *Follower {
	f := &Follower{feed: feed, sink: sink, options: o}
	f.tomb, _ = tomb.WithContext(ctx)
	f.tomb.Go(f.run)
	return f
}

// Wait returns once the follower has ended.
func (f *Follower) Wait() error { return f.tomb.Wait() }

func (f *Follower) run() error {
	ctx := f.tomb.Context(nil)
	for f.tomb.Alive() {
		err := f.step(ctx)
		if !f.tomb.Alive() {
			return nil
		}
		f.note(err)
		if f.options.Wait > 0 && err == nil {
			continue
		}
		select {
		case <-time.After(f.options.Pause):
		case <-f.tomb.Dying():
		}
	}
	return nil
}

// note reports the first error and the first success after it.
func (f *Follower) note(err error) {
	switch {
	case err != nil && !f.lost:
		f.lost = true
		f.sink.Lost(err)
	case err == nil && f.lost:
		f.lost = false
		f.sink.Regained()
	}
}

func (f *Follower) step(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, f.options.Wait+f.options.Patience)
	defer cancel()
	if !f.listed {
		return f.list(ctx)
	}
	changes, version, err := f.feed.Changes(ctx, f.options.Table, f.version, f.options.Wait)
	if errors.Is(err, storer.ErrHistory) {
		f.listed = false
		return f.list(ctx)
	}
	if err != nil {
		return err
	}
	if f.lost {
		// What is missing is judged by the time of the return, so it comes first.
		f.note(nil)
	}
	f.version = max(f.version, version)
	f.sink.Update(changes, f.version)
	return nil
}

func (f *Follower) list(ctx context.Context) error {
	rows, version, err := f.feed.List(ctx, f.options.Table)
	if err != nil {
		return err
	}
	if f.lost {
		f.note(nil)
	}
	f.listed, f.version = true, version
	f.sink.Replace(rows, version)
	return nil
}
