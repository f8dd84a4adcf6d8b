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

// Feed tells what changes in the tables of the table service.
type Feed interface {
	// List returns the rows of a table's partition and the version they are as of.
	// The table is named table/partition, or table for the unnamed partition.
	List(ctx context.Context, table string) ([]Row, uint64, error)
	// Changes returns what changed there after a version, waiting up to
	// wait for something, and the version to go on from. ErrHistory means list again.
	Changes(ctx context.Context, table string, after uint64, wait time.Duration) ([]Change, uint64, error)
}

// Prefix returns what the keys of a feed's table begin with.
func Prefix(table string) string {
	if strings.Contains(table, "/") {
		return table + "/"
	}
	return table + "//"
}
