package archivist

import (
	"context"
	"sync"
	"sync/atomic"

	"github.com/pkg/errors"
)

// largeTurnBytes is the size above which a turn counts towards the memory for histories. One
// call to the store takes no turn of this size, so other histories are not limited.
const largeTurnBytes = 750 << 10

// ErrMemory reports that the memory for histories does not suffice at the moment, or that it
// never does on this VM.
var ErrMemory = errors.New("archivist: not enough memory for the history")

// memory limits the large turns in the histories of requests in progress; a limit of zero is
// none. It handles chains of turns of megabytes on a VM with little memory: a turn is counted
// before its additional rows are read.
type memory struct {
	limit int64
	used  atomic.Int64
	// reader is held while a history with large turns is read. Several that are read at the
	// same time would each get a part of the memory, and none of them all that it needs.
	reader chan struct{}
}

func newMemory(limit int) *memory {
	return &memory{limit: int64(limit), reader: make(chan struct{}, 1)}
}

// lease is the memory that one history has acquired.
type lease struct {
	memory *memory
	bytes  atomic.Int64

	mu sync.Mutex
	// reading is set while the lease holds the memory's reader.
	reading bool
}

// acquire reserves memory for a turn with a text of n bytes.
func (l *lease) acquire(n int) error {
	m, bytes := l.memory, int64(n)
	if n <= largeTurnBytes || m.limit == 0 {
		return nil
	}
	if m.used.Add(bytes) > m.limit {
		m.used.Add(-bytes)
		return errors.Wrapf(ErrMemory, "turn of %d bytes", n)
	}
	l.bytes.Add(bytes)
	return nil
}

// acquireToRead is acquire for a turn whose additional rows will be read. It waits for other
// histories with large turns.
func (l *lease) acquireToRead(ctx context.Context, n int) error {
	if n <= largeTurnBytes || l.memory.limit == 0 {
		return nil
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.reading {
		select {
		case l.memory.reader <- struct{}{}:
			l.reading = true
		case <-ctx.Done():
			return errors.Wrap(ErrMemory, "other histories are being read")
		}
	}
	return l.acquire(n)
}

// endReading lets another history with large turns be read.
func (l *lease) endReading() {
	if l.reading {
		l.reading = false
		<-l.memory.reader
	}
}

// release returns all memory; a repeated call has no effect.
func (l *lease) release() {
	if l != nil {
		l.memory.used.Add(-l.bytes.Swap(0))
	}
}
