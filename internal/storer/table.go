package storer

import (
	"context"
	"strings"
)

// Row is one row of the store; Version is zero for an absent row.
type Row struct {
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Version uint64 `json:"version"`
}

// Name returns what follows the table and the partition in the row's key. It may contain slashes
// in a row of another writer.
func (r Row) Name() string {
	_, rest, _ := strings.Cut(r.Key, "/")
	_, name, _ := strings.Cut(rest, "/")
	return name
}

// Condition requires a row to have a version; version zero requires it to be absent.
type Condition struct {
	Key     string `json:"key"`
	Version uint64 `json:"version"`
}

// Write replaces or deletes a row.
type Write struct {
	Key    string `json:"key"`
	Value  []byte `json:"value,omitempty"`
	Delete bool   `json:"delete,omitempty"`
}

// Transaction is a set of writes that is applied atomically if all its conditions hold.
type Transaction struct {
	Conditions []Condition `json:"conditions,omitempty"`
	Writes     []Write     `json:"writes"`
}

// key returns a key that identifies the partition of the store that the transaction
// writes to.
func (t *Transaction) key() string {
	switch {
	case len(t.Writes) > 0:
		return t.Writes[0].Key
	case len(t.Conditions) > 0:
		return t.Conditions[0].Key
	}
	return ""
}

// Table is the store's transactional table service. Client implements it for the
// reference platform, and package platform for the users' platform.
type Table interface {
	// Get returns a row, with version zero if it is absent.
	Get(ctx context.Context, key string) (Row, error)
	// Scan returns up to limit rows with the prefix, in key order, after the given key.
	Scan(ctx context.Context, prefix, after string, limit int) ([]Row, error)
	// Commit applies a transaction and returns the version that its rows now have.
	// After ErrConflict or ErrRefused it is not applied; after any other error its outcome
	// is in doubt.
	Commit(ctx context.Context, tx Transaction) (uint64, error)
}

// Objects is the reference platform's object store, keyed by content hash.
type Objects interface {
	// Put stores data under a key; repeating it is harmless.
	Put(ctx context.Context, key string, data []byte) error
	// Fetch returns the data of a key, or ErrAbsent.
	Fetch(ctx context.Context, key string) ([]byte, error)
}
