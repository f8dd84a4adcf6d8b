package storer

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"pimentorail.example/pimentorail/internal/supervisor"
)

// Limits are the timeouts and intervals of a Guard.
type Limits struct {
	// MinTimeout and MaxTimeout bound the adaptive timeout of one attempt.
	MinTimeout, MaxTimeout time.Duration
	// OutageAfter is how long all attempts must fail before that counts as an outage.
	OutageAfter time.Duration
	// ProbeInterval is the minimum time between two attempts during an outage.
	ProbeInterval time.Duration
	// RetryBackoff is the time between two attempts of one read.
	RetryBackoff time.Duration
}

const (
	// timeoutFactor is the ratio of the timeout to the average latency.
	timeoutFactor = 8
	// slowFactor times Limits.MinTimeout is the shortest timeout whose expiry counts as a
	// failure; after a shorter one the store may only be slow.
	slowFactor = 4
	// latencyWeight is the weight of the newest reply in the average latency.
	latencyWeight = 0.1
)

// Guard is a Table and Feed that detects outages of the store. During an outage, reads and
// commits fail at once and do not load the store, except for periodic probes. The timeout
// of an attempt follows the measured latency, so that a lost reply does not delay a request
// for long. List and Changes are always sent, without that timeout; the Guard only records
// their results.
type Guard struct {
	table  Table
	feed   Feed
	limits Limits

	pacer pacer

	reads, commits, lists, changes, refused atomic.Int64

	mu sync.Mutex
	// latency is the exponential moving average of the reply times.
	latency time.Duration
	timeout time.Duration
	// failingSince is the start of the current run of failures, zero after a success.
	failingSince time.Time
	lastProbe    time.Time
	// partitions are the partitions of the store whose last attempt failed, by name.
	partitions map[string]*failedPartition
}

// NewGuard returns a guard of a table and its feed; the feed may be nil if it is not used.
func NewGuard(t Table, f Feed, l Limits) *Guard {
	return &Guard{table: t, feed: f, limits: l, timeout: l.MaxTimeout, partitions: map[string]*failedPartition{}}
}

// Counts are the calls that a Guard sent to the store, by kind, and the attempts that it
// refused itself.
type Counts struct {
	Reads, Commits, Lists, Changes, Refused int64
}

// Counts returns the totals since the Guard was created.
func (g *Guard) Counts() Counts {
	return Counts{g.reads.Load(), g.commits.Load(), g.lists.Load(), g.changes.Load(), g.refused.Load()}
}

// OutageDuration returns the duration of the current outage, zero if there is none.
func (g *Guard) OutageDuration() time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.failingSince.IsZero() {
		return 0
	}
	if d := time.Since(g.failingSince); d > g.limits.OutageAfter {
		return d
	}
	return 0
}

// List implements Feed.
func (g *Guard) List(ctx context.Context, table string) ([]Row, uint64, error) {
	g.lists.Add(1)
	r, err := protect(ctx, func(ctx context.Context) (r listed[Row], err error) {
		r.list, r.version, err = g.feed.List(ctx, table)
		return r, err
	})
	g.record(err)
	return r.list, r.version, err
}

// Changes implements Feed.
func (g *Guard) Changes(ctx context.Context, table string, after uint64, wait time.Duration) ([]Change, uint64, error) {
	g.changes.Add(1)
	r, err := protect(ctx, func(ctx context.Context) (r listed[Change], err error) {
		r.list, r.version, err = g.feed.Changes(ctx, table, after, wait)
		return r, err
	})
	g.record(err)
	return r.list, r.version, err
}

// listed is what a feed returns, with the version of the table.
type listed[T any] struct {
	list    []T
	version uint64
}

// record updates the state of the whole store by the result of a call.
func (g *Guard) record(err error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.recordLocked(err)
}

// recordLocked is record with g.mu held.
func (g *Guard) recordLocked(err error) {
	switch {
	case !errors.Is(err, ErrRefused) && !errors.Is(err, ErrUnavailable):
		g.failingSince = time.Time{}
	case g.failingSince.IsZero():
		g.failingSince = time.Now()
	}
}

// recordPartition updates the state of one partition of the store by the result of a call.
func (g *Guard) recordPartition(name string, err error) {
	if !errors.Is(err, ErrRefused) && !errors.Is(err, ErrUnavailable) {
		delete(g.partitions, name)
		return
	}
	p := g.partitions[name]
	if p == nil {
		p = &failedPartition{}
		g.partitions[name] = p
	}
	p.recordFailure(time.Now(), g.limits)
}

// admit returns the timeout for an attempt. During an outage of the store or of the
// key's partition, it returns an error unless the next probe is due.
func (g *Guard) admit(key string) (time.Duration, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	if !g.failingSince.IsZero() && now.Sub(g.failingSince) > g.limits.OutageAfter {
		if now.Sub(g.lastProbe) < g.limits.ProbeInterval {
			g.refused.Add(1)
			return 0, ErrOutage
		}
		g.lastProbe = now
	}
	if p := g.partitions[partitionOf(key)]; p != nil && !p.admits(now, g.limits) {
		g.refused.Add(1)
		return 0, errors.Wrapf(ErrOutage, "partition of %s", key)
	}
	return g.timeout, nil
}

// finish updates the outage state and the timeout by the result of an attempt.
func (g *Guard) finish(key string, timeout, elapsed time.Duration, err error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	timedOut := elapsed >= timeout && errors.Is(err, ErrUnavailable)
	if !timedOut || timeout >= min(slowFactor*g.limits.MinTimeout, g.limits.MaxTimeout) {
		g.recordLocked(err)
		g.recordPartition(partitionOf(key), err)
	}
	switch {
	case timedOut:
		// Concurrent attempts that time out double the timeout only once.
		g.timeout = max(g.timeout, min(2*timeout, g.limits.MaxTimeout))
	case err == nil || errors.Is(err, ErrConflict):
		if g.latency == 0 {
			g.latency = elapsed
		}
		g.latency += time.Duration(latencyWeight * float64(elapsed-g.latency))
		g.timeout = min(max(timeoutFactor*g.latency, g.limits.MinTimeout), g.limits.MaxTimeout)
	}
}

// Get implements Table; it retries until the context ends or an outage is detected.
func (g *Guard) Get(ctx context.Context, key string) (Row, error) {
	return retry(ctx, g, key, func(ctx context.Context) (Row, error) {
		g.reads.Add(1)
		return g.table.Get(ctx, key)
	})
}

// Scan implements Table; it retries until the context ends or an outage is detected.
func (g *Guard) Scan(ctx context.Context, prefix, after string, limit int) ([]Row, error) {
	return retry(ctx, g, prefix, func(ctx context.Context) ([]Row, error) {
		g.reads.Add(1)
		return g.table.Scan(ctx, prefix, after, limit)
	})
}

// Commit implements Table; it does not retry, since a failed attempt may be in doubt. It
// waits while the store serves fewer writes than it gets.
func (g *Guard) Commit(ctx context.Context, tx Transaction) (uint64, error) {
	if err := g.pacer.wait(ctx); err != nil {
		g.refused.Add(1)
		return 0, err
	}
	version, err := attempt(ctx, g, tx.key(), func(ctx context.Context) (uint64, error) {
		g.commits.Add(1)
		return g.table.Commit(ctx, tx)
	})
	g.pacer.record(err)
	return version, err
}

// attempt makes one call with the guard's timeout and records its result.
func attempt[T any](ctx context.Context, g *Guard, key string, call func(ctx context.Context) (T, error)) (T, error) {
	timeout, err := g.admit(key)
	if err != nil {
		var zero T
		return zero, err
	}
	attemptCtx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	start := time.Now()
	v, err := protect(attemptCtx, call)
	if errors.Is(err, context.DeadlineExceeded) {
		err = errors.Wrap(ErrUnavailable, "no reply within the timeout")
	}
	if ctx.Err() == nil {
		// An attempt that its caller canceled says nothing about the store.
		g.finish(key, timeout, time.Since(start), err)
	}
	return v, err
}

// protect makes one call. A panic is an error that leaves the outcome open.
func protect[T any](ctx context.Context, call func(ctx context.Context) (T, error)) (v T, err error) {
	defer supervisor.Return("storer: call of the store", &err)
	return call(ctx)
}

// retry repeats a call until it succeeds, fails for another reason than the store's
// availability, the context ends, or an outage is detected.
func retry[T any](ctx context.Context, g *Guard, key string, call func(ctx context.Context) (T, error)) (T, error) {
	for {
		v, err := attempt(ctx, g, key, call)
		if !errors.Is(err, ErrRefused) && !errors.Is(err, ErrUnavailable) || errors.Is(err, ErrOutage) || g.OutageDuration() > 0 {
			return v, err
		}
		select {
		case <-ctx.Done():
			return v, err
		case <-time.After(g.limits.RetryBackoff):
		}
	}
}
