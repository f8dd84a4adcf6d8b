package journaler

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/pkg/errors"
	"gopkg.in/tomb.v2"
	"k8s.io/klog/v2"

	"pimentorail.example/pimentorail/internal/leaser"
	"pimentorail.example/pimentorail/internal/storer"
	"pimentorail.example/pimentorail/internal/supervisor"
)

const (
	maxQueuedRecords = 4096
	maxBatchRecords  = 512
	maxBatchBytes    = 4 << 20
	minBackoff       = 20 * time.Millisecond
	maxBackoff       = time.Second
	unavailableAfter = 700 * time.Millisecond
)

// Options configures a Journaler.
type Options struct {
	Table   storer.Table
	Session string
	// Interval is the minimum time between the starts of two batches.
	Interval time.Duration
}

// Counts holds the totals of what a Journaler has committed.
type Counts struct {
	Batches int
	Records int
	Bytes   int
}

// Journaler commits records in batches, as fenced transactions.
type Journaler struct {
	o            Options
	queue        chan *Record
	mu           sync.Mutex
	failingSince time.Time
	counts       Counts
	batchNumber  uint64
	rowVersion   uint64
	tomb         *tomb.Tomb
}

// New returns a journaler; it queues records at once and commits them after Start.
func New(o Options) *Journaler {
	return &Journaler{o: o, queue: make(chan *Record, maxQueuedRecords)}
}

// Start commits batches in the background until the context ends.
func (j *Journaler) Start(ctx context.Context) {
	j.tomb, _ = tomb.WithContext(ctx)
	j.tomb.Go(supervisor.Loop(j.tomb, "journaler: batches", j.run))
}

// Wait returns when the journaler has stopped.
func (j *Journaler) Wait() error { return j.tomb.Wait() }

// Submit queues a record behind the earlier ones; it returns ErrFull if the queue is full.
func (j *Journaler) Submit(f leaser.Fence, writes []storer.Write) (*Record, error) {
	r := newRecord(f, writes)
	select {
	case j.queue <- r:
		return r, nil
	default:
		return nil, ErrFull
	}
}

// Unavailable reports whether commits have failed for longer than unavailableAfter.
func (j *Journaler) Unavailable() bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	return !j.failingSince.IsZero() && time.Since(j.failingSince) > unavailableAfter
}

// Counts returns the totals so far.
func (j *Journaler) Counts() Counts {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.counts
}

func (j *Journaler) run() error {
	ctx := j.tomb.Context(context.Background())
	for {
		select {
		case r := <-j.queue:
			start := time.Now()
			j.commit(ctx, j.collectBatch(r))
			j.sleep(j.o.Interval - time.Since(start))
		case <-j.tomb.Dying():
			j.closeQueue()
			return nil
		}
	}
}

func (j *Journaler) sleep(d time.Duration) {
	if d <= 0 {
		return
	}
	select {
	case <-time.After(d):
	case <-j.tomb.Dying():
	}
}

// collectBatch takes queued records without waiting, up to the limits of a batch.
func (j *Journaler) collectBatch(first *Record) *batch {
	j.batchNumber++
	b := &batch{number: j.batchNumber, records: []*Record{first}}
	size := recordBytes(first)
	for len(b.records) < maxBatchRecords && size < maxBatchBytes {
		select {
		case r := <-j.queue:
			b.records = append(b.records, r)
			size += recordBytes(r)
		default:
			return b
		}
	}
	return b
}

func recordBytes(r *Record) int {
	n := 0
	for _, w := range r.writes {
		n += len(w.Key) + len(w.Value)
	}
	return n
}

// commit retries a batch until each of its records is settled.
func (j *Journaler) commit(ctx context.Context, b *batch) {
	backoff := minBackoff
	key := batchPrefix + j.o.Session
	b.rejectFenced(b.fenceVersions())
	for len(b.records) > 0 {
		tx, want := b.transaction(key, j.rowVersion)
		version, err := j.commitOnce(ctx, tx)
		if err == nil {
			j.succeed(b, tx, version)
			return
		}
		if ctx.Err() != nil {
			b.settle(ErrClosed)
			return
		}
		if !errors.Is(err, storer.ErrConflict) {
			j.markFailing(err)
		}
		applied, err := j.resolve(ctx, b, key, want)
		if err != nil {
			j.markFailing(err)
			j.sleep(backoff)
			backoff = min(2*backoff, maxBackoff)
		}
		if applied {
			j.succeed(b, tx, j.rowVersion)
			return
		}
	}
	// The store answers: its rows show that every record is fenced.
	j.markAvailable()
}

// commitOnce commits a transaction. A panic is an error, after which the store is asked whether
// the batch was committed: no record is left behind unsettled.
func (j *Journaler) commitOnce(ctx context.Context, tx storer.Transaction) (version uint64, err error) {
	defer supervisor.Return("journaler: commit", &err)
	return j.o.Table.Commit(ctx, tx)
}

// markAvailable ends a store outage.
func (j *Journaler) markAvailable() {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.failingSince = time.Time{}
}

// resolve reads from the store whether the batch was committed. If not, it settles the
// fenced records, so that a retry contains only the others.
func (j *Journaler) resolve(ctx context.Context, b *batch, key string, want batchRow) (applied bool, err error) {
	defer supervisor.Return("journaler: outcome of a batch", &err)
	row, err := j.o.Table.Get(ctx, key)
	if err != nil {
		return false, err
	}
	j.rowVersion = row.Version
	var got batchRow
	if row.Version != 0 {
		if err := json.Unmarshal(row.Value, &got); err != nil {
			return false, errors.Wrap(err, "batch row")
		}
	}
	if got == want {
		return true, nil
	}
	versions := map[string]uint64{}
	for k := range b.fenceVersions() {
		partition, err := j.o.Table.Get(ctx, k)
		if err != nil {
			return false, err
		}
		versions[k] = partition.Version
	}
	b.rejectFenced(versions)
	return false, nil
}

// markFailing records the start of a store outage and logs it once.
func (j *Journaler) markFailing(err error) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.failingSince.IsZero() {
		j.failingSince = time.Now()
		klog.Warningf("journaler: commits to the store fail: %v", err)
	}
}

func (j *Journaler) succeed(b *batch, tx storer.Transaction, version uint64) {
	j.rowVersion = version
	j.markAvailable()
	j.mu.Lock()
	j.counts.Batches++
	j.counts.Records += len(b.records)
	for _, w := range tx.Writes {
		j.counts.Bytes += len(w.Key) + len(w.Value)
	}
	j.mu.Unlock()
	b.settle(nil)
}

// closeQueue settles the queued records, which were never sent, with ErrClosed.
func (j *Journaler) closeQueue() {
	for {
		select {
		case r := <-j.queue:
			r.settle(ErrClosed)
		default:
			return
		}
	}
}
