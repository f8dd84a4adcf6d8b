package archivist_test

import (
	"context"
	"fmt"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/matryer/is"

	"pimentorail.example/pimentorail/internal/archivist"
	"pimentorail.example/pimentorail/internal/emulator"
	"pimentorail.example/pimentorail/internal/storer"
)

// countingTable counts the rows that are read.
type countingTable struct {
	storer.Table
	reads atomic.Int64
}

// Get implements storer.Table.
func (t *countingTable) Get(ctx context.Context, key string) (storer.Row, error) {
	t.reads.Add(1)
	return t.Table.Get(ctx, key)
}

// A row of another writer whose header names a negative or a huge number of further rows ended
// the process: the number was the length of an allocation. One that names thousands of ancestors
// was as many reads of the store at the same time.
func TestOddHeadersOfTurnsAreErrors(t *testing.T) {
	var ancestors []string
	for i := range 6000 {
		ancestors = append(ancestors, fmt.Sprintf(`"a%d"`, i))
	}
	rows := map[string]string{
		"negative rows":           `{"more":-1}`,
		"rows that overflow":      `{"more":9223372036854775807}`,
		"more rows than memory":   `{"more":1000000000000}`,
		"more rows than one call": `{"more":100}`,
		"more rows than a turn":   `{"more":1000000,"content":"00","bytes":5}`,
		"negative bytes":          `{"more":1,"content":"00","bytes":-1}`,
		"bytes that overflow":     `{"more":1,"content":"00","bytes":9223372036854775807}`,
		"more bytes than a turn":  `{"more":1,"content":"00","bytes":17000000}`,
		"bytes without content":   `{"more":1,"bytes":9223372036854775807}`,
		"rows 1e400":              `{"more":1e400}`,
		"rows 1e19":               `{"more":1e19}`,
		"rows as a text":          `{"more":"NaN"}`,
		"thousands of ancestors":  `{"ancestors":[` + strings.Join(ancestors, ",") + `]}`,
		"an empty ancestor":       `{"ancestors":["","a"]}`,
		"content with a slash":    `{"more":1,"content":"../x","bytes":5}`,
		"nested ancestors":        `{"ancestors":` + strings.Repeat("[", 30_000) + `}`,
		"nested unknown field":    `{"x":` + strings.Repeat("[", 60_000) + `}`,
		"null":                    `null`,
		"list":                    `[]`,
		"no header":               ``,
	}
	for name, header := range rows {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
			defer cancel()
			table := &countingTable{Table: emulator.NewStore()}
			key := fmt.Sprintf("turns/%02x/%s", xxhash.Sum64String("odd")%256, "odd")
			_, err := table.Commit(ctx, storer.Transaction{Writes: []storer.Write{{Key: key, Value: []byte(header + "\ntext")}}})
			is.NoErr(err)
			a := archivist.New(table, archivist.Options{RowBytes: 200, CacheBytes: 2000, HistoryBytes: 1 << 20})
			_, err = a.Chain(ctx, "odd")
			is.True(err != nil)
			is.True(strings.Contains(err.Error(), `"odd"`))
			is.True(len(err.Error()) < 500)
			is.Equal(table.reads.Load(), int64(1))
			is.NoErr(record(ctx, a, "sound", "", "x")) // Other turns are not affected.
			_, err = a.Chain(ctx, "sound")
			is.NoErr(err)
		})
	}
}

// A row that names itself or a later turn as its parent is a history without end.
func TestHistoryInACircleEnds(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	table := emulator.NewStore()
	var tx storer.Transaction
	for id, parent := range map[string]string{"p": "q", "q": "p", "self": "self"} {
		tx.Writes = append(tx.Writes, storer.Write{Key: fmt.Sprintf("turns/%02x/%s", xxhash.Sum64String(id)%256, id), Value: []byte(`{"ancestors":["` + parent + `"]}` + "\ntext")})
	}
	_, err := table.Commit(ctx, tx)
	is.NoErr(err)
	a := newArchivist(table)
	for _, id := range []string{"p", "self"} {
		_, err = a.Chain(ctx, id)
		is.True(err != nil)
		is.NoErr(ctx.Err())
	}
}
