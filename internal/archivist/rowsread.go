package archivist

import (
	"context"
	"sync"
	"sync/atomic"

	"github.com/pkg/errors"

	"pimentorail.example/pimentorail/internal/storer"
	"pimentorail.example/pimentorail/internal/supervisor"
)

// maxRowReads bounds the rows of one turn that are read at a time.
const maxRowReads = 8

// rowsRead reads the additional rows of a turn concurrently.
type rowsRead struct {
	archivist *Archivist
	id        string
	header    *rowHeader
	values    [][]byte
	next      atomic.Int64
	group     sync.WaitGroup
	failed    atomic.Bool

	mu  sync.Mutex
	err error
}

// readRows returns the values of a turn's additional rows.
func (a *Archivist) readRows(ctx context.Context, id string, header *rowHeader) ([][]byte, error) {
	r := &rowsRead{archivist: a, id: id, header: header, values: make([][]byte, header.More)}
	for range min(maxRowReads, header.More) {
		r.group.Add(1)
		go r.run(ctx)
	}
	r.group.Wait()
	return r.values, r.err
}

func (r *rowsRead) read(ctx context.Context, i int) (row storer.Row, err error) {
	defer supervisor.Return("archivist: read of a row", &err)
	return r.archivist.table.Get(ctx, r.header.rowKey(r.id, i))
}

// run reads rows until all are read or one is not.
func (r *rowsRead) run(ctx context.Context) {
	defer r.group.Done()
	for !r.failed.Load() {
		i := int(r.next.Add(1))
		if i > r.header.More {
			return
		}
		row, err := r.read(ctx, i)
		if err == nil && row.Version == 0 {
			err = errors.Errorf("row %d of turn %q is missing", i, r.id)
		}
		if err != nil {
			r.failed.Store(true)
			r.mu.Lock()
			r.err = err
			r.mu.Unlock()
			return
		}
		r.values[i-1] = row.Value
	}
}
