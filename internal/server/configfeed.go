package server

import (
	"context"
	"time"

	"pimentorail.example/pimentorail/internal/cataloger"
	"pimentorail.example/pimentorail/internal/storer"
)

// configRetryTimeout is the timeout of the first attempts after one that failed or a pause of the
// process. By the end of the second one the store counts as unavailable, and the next attempt goes
// through a peer.
const configRetryTimeout = 400 * time.Millisecond

// configFeed is the feed of the configuration's follower. It records each attempt, and the time
// for which the last reply holds.
type configFeed struct {
	storer.Feed
	keeper *cataloger.Keeper
	// maxAge is how long a catalog counts as confirmed.
	maxAge time.Duration
	asOf   time.Time
	// failures is the number of attempts that failed in succession.
	failures int
}

// List implements storer.Feed.
func (f *configFeed) List(ctx context.Context, table string) ([]storer.Row, uint64, error) {
	began := time.Now()
	rows, version, err := f.Feed.List(ctx, table)
	f.record(began, time.Now(), err)
	f.asOf = began
	return rows, version, err
}

// Changes implements storer.Feed. A reply without changes is sent at the end of the wait, so it
// holds for that time. After a failure, and if the catalog would not be confirmed at the end of the
// wait, the reply is not delayed and has less time, so that a version takes less than maxAge.
func (f *configFeed) Changes(ctx context.Context, table string, after uint64, wait time.Duration) ([]storer.Change, uint64, error) {
	began := time.Now()
	if f.failures > 0 || !f.keeper.Fresh(began.Add(wait+configBackoff), f.maxAge) {
		timeout := followTimeout
		if f.failures <= 1 {
			timeout = configRetryTimeout
		}
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, timeout)
		defer cancel()
		wait = 0
	}
	changes, version, err := f.Feed.Changes(ctx, table, after, wait)
	ended := time.Now()
	f.record(began, ended, err)
	f.asOf = began
	if len(changes) == 0 {
		f.asOf = began.Add(min(wait, ended.Sub(began)))
	}
	return changes, version, err
}

func (f *configFeed) record(began, ended time.Time, err error) {
	f.keeper.Try(began, ended)
	f.failures++
	if err == nil {
		f.failures = 0
	}
}
