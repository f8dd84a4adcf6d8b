package storer

import (
	"context"
	"strings"
	"time"
)

// Change is a row that was written or removed.
type Change struct {
	Row
	Removed bool
}

// Feed lists tables of the store and reports their changes. A partition of a table is the
// part of it whose keys have the same middle segment.
type Feed interface {
	// List returns the rows of a table's partition and the version of that snapshot.
	// The argument is table/partition, or table for the partition with the empty name.
	List(ctx context.Context, table string) ([]Row, uint64, error)
	// Changes returns the changes after a version and the version to pass to the next
	// call. Without changes it waits for up to wait. After ErrHistoryGone the caller
	// must list the table again.
	Changes(ctx context.Context, table string, after uint64, wait time.Duration) ([]Change, uint64, error)
}

// Prefix returns the common prefix of the keys of a feed's table.
func Prefix(table string) string {
	if strings.Contains(table, "/") {
		return table + "/"
	}
	return table + "//"
}
