package server

import (
	"context"
	"time"

	"pimentorail.example/pimentorail/internal/storer"
)

// timedFeed is a feed for one follower that knows when its last read began. What a read shows
// holds for that time, however late the reply is.
type timedFeed struct {
	storer.Feed
	began time.Time
}

// List implements storer.Feed.
func (f *timedFeed) List(ctx context.Context, table string) ([]storer.Row, uint64, error) {
	f.began = time.Now()
	return f.Feed.List(ctx, table)
}

// Changes implements storer.Feed.
func (f *timedFeed) Changes(ctx context.Context, table string, after uint64, wait time.Duration) ([]storer.Change, uint64, error) {
	f.began = time.Now()
	return f.Feed.Changes(ctx, table, after, wait)
}
