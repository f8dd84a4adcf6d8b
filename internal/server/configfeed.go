package server

import (
	"context"
	"time"

	"pimentorail.example/pimentorail/internal/cataloger"
	"pimentorail.example/pimentorail/internal/storer"
)

// configFeed is the feed of the configuration's follower. It records each attempt, and the time
// for which the last reply holds.
type configFeed struct {
	storer.Feed
	keeper *cataloger.Keeper
	// maxAge is how long a catalog counts as confirmed.
	maxAge time.Duration
	asOf   time.Time
}

// List implements storer.Feed.
func (f *configFeed) List(ctx context.Context, table string) ([]storer.Row, uint64, error) {
	began := time.Now()
	rows, version, err := f.Feed.List(ctx, table)
	f.keeper.Try(began, time.Now())
	f.asOf = began
	return rows, version, err
}

// Changes implements storer.Feed. A reply without changes is sent at the end of the wait, so it
// holds for that time. While the catalog is not confirmed, the reply is not delayed.
func (f *configFeed) Changes(ctx context.Context, table string, after uint64, wait time.Duration) ([]storer.Change, uint64, error) {
	began := time.Now()
	if f.keeper.Certainty(began, f.maxAge) != cataloger.Confirmed {
		wait = 0
	}
	changes, version, err := f.Feed.Changes(ctx, table, after, wait)
	ended := time.Now()
	f.keeper.Try(began, ended)
	f.asOf = began
	if len(changes) == 0 {
		f.asOf = began.Add(min(wait, ended.Sub(began)))
	}
	return changes, version, err
}
