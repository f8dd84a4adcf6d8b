package archivist_test

import (
	"context"
	"strings"
	"testing"

	"github.com/matryer/is"

	"pimentorail.example/pimentorail/internal/emulator"
	"pimentorail.example/pimentorail/internal/storer"
)

// spoil replaces the first row of a turn by another writer's.
func spoil(ctx context.Context, s storer.Table, id, value string) error {
	rows, err := s.Scan(ctx, "turns/", "", 100)
	if err != nil {
		return err
	}
	for _, r := range rows {
		if strings.HasSuffix(r.Key, "/"+id) {
			_, err = s.Commit(ctx, storer.Transaction{Writes: []storer.Write{{Key: r.Key, Value: []byte(value)}}})
		}
	}
	return err
}

// A turn's row that names a number of rows below zero or a huge one ended the process, or took
// all its memory, also if the row was read ahead as that of an ancestor.
func TestOddNumberOfRowsIsAnError(t *testing.T) {
	ctx := context.Background()
	for _, header := range []string{`{"more":-1}`, `{"more":4000000000000000000}`, `{"more":1000000000}`, `{"more":1,"bytes":-5,"content":"x"}`, `{"bytes":1000000000000,"content":"x"}`} {
		for _, spoiled := range []string{"a", "b"} {
			is := is.New(t)
			store := emulator.NewStore()
			a := newArchivist(store)
			is.NoErr(record(ctx, a, "a", "", "one"))
			is.NoErr(record(ctx, a, "b", "a", "two"))
			is.NoErr(spoil(ctx, store, spoiled, header+"\n"))
			c, err := newArchivist(store).Chain(ctx, "b")
			is.True(err != nil)
			is.True(c == nil)
		}
	}
}
