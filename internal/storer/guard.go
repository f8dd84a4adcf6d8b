package storer

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
)

// Limits are the times by which a Guard judges the service.
type Limits struct {
	// Least and Most bound the patience with one try.
	Least, Most time.Duration
	// Silence is how long all tries must fail before the service counts as away.
	Silence time.Duration
	// Probe is the time between two tries while the service is away.
	Probe time.Duration
	// Pause is the time between two tries of one read.
	Pause time.Duration
}

const (
	// patienceFactor is how many times the usual time an answer may take.
	patienceFactor = 8
	// slowFactor is how many times the least patience a try must have had for its
	// timeout to say that the service is away and not only slow.
	slowFactor = 4
	// latencyWeight is the weight of the newest answer in the usual time.
	latencyWeight = 0.1
)

// Guard is a Table and Feed that tells early when the service is away, so that
// requests fail at once and don't burden it, and that does not wait long for an
// answer that was lost.
type Guard struct {
	table  Table
	feed   Feed
	limits Limits

	reads, commits, lists, changes, refused atomic.Int64

	mu       sync.Mutex
	usual    time.Duration
	patience time.Duration
	// failing is when the failures in a row began, zero after a success.
	failing time.Time
	tried   time.Time
	// parts are the partitions whose last try failed.
	parts map[string]*partition
}

// NewGuard returns a guard of a table and its feed; the feed may be nil if it is not used.
func NewGuard(t Table, f Feed, l Limits) *Guard {
	return &Guard{table: t, feed: f, limits: l, patience: l.Most, parts: map[string]*partition{}}
}

// Counts are the calls that a Guard let through, and the tries that it refused itself.
type Counts struct {
	Reads, Commits, Lists, Changes, Refused int64
}

// Counts returns what was done so far.
func (g *Guard) Counts() Counts {
	return Counts{g.reads.Load(), g.commits.Load(), g.lists.Load(), g.changes.Load(), g.refused.Load()}
}

// Away returns how long the service has not answered, zero while it does.
func (g *Guard) Away() time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.failing.IsZero() {
		return 0
	}
	if d := time.Since(g.failing); d > g.limits.Silence {
		return d
	}
	return 0
}

// List implements Feed.
func (g *Guard) List(ctx context.Context, table string) ([]Row, uint64, error) {
	g.lists.Add(1)
	rows, version, err := g.feed.List(ctx, table)
	g.saw(err)
	return rows, version, err
}

// Changes implements Feed.
func (g *Guard) Changes(ctx context.Context, table string, after uint64, wait time.Duration) ([]Change, uint64, error) {
	g.changes.Add(1)
	changes, version, err := g.feed.Changes(ctx, table, after, wait)
	g.saw(err)
	return changes, version, err
}

func (g *Guard) saw(err error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.note(err)
}

func (g *Guard) note(err error) {
	switch {
	case !errors.Is(err, ErrRefused) && !errors.Is(err, ErrUnavailable):
		g.failing = time.Time{}
	case g.failing.IsZero():
		g.failing = time.Now()
	}
}

// notePart remembers whether a partition answers.
func (g *Guard) notePart(name string, err error) {
	if !errors.Is(err, ErrRefused) && !errors.Is(err, ErrUnavailable) {
		delete(g.parts, name)
		return
	}
	p := g.parts[name]
	if p == nil {
		p = &partition{}
		g.parts[name] = p
	}
	p.failed(time.Now(), g.limits)
}

// enter returns the patience with a try, or an error if the service or the key's
// partition is away and was tried just now.
func (g *Guard) enter(key string) (time.Duration, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	if !g.failing.IsZero() && now.Sub(g.failing) > g.limits.Silence {
		if now.Sub(g.tried) < g.limits.Probe {
			g.refused.Add(1)
			return 0, ErrAway
		}
		g.tried = now
	}
	if p := g.parts[part(key)]; p != nil && !p.admits(now, g.limits) {
		g.refused.Add(1)
		return 0, errors.Wrapf(ErrAway, "partition of %s", key)
	}
	return g.patience, nil
}

// leave learns from a try that had a patience.
func (g *Guard) leave(key string, patience, took time.Duration, err error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	late := took >= patience && errors.Is(err, ErrUnavailable)
	if !late || patience >= min(slowFactor*g.limits.Least, g.limits.Most) {
		g.note(err)
		g.notePart(part(key), err)
	}
	switch {
	case late:
		// Tries that ran side by side raise the patience once.
		g.patience = max(g.patience, min(2*patience, g.limits.Most))
	case err == nil || errors.Is(err, ErrConflict):
		if g.usual == 0 {
			g.usual = took
		}
		g.usual += time.Duration(latencyWeight * float64(took-g.usual))
		g.patience = min(max(patienceFactor*g.usual, g.limits.Least), g.limits.Most)
	}
}

// Get implements Table; it tries again until the context ends or the service is away.
func (g *Guard) Get(ctx context.Context, key string) (Row, error) {
	return again(ctx, g, key, func(ctx context.Context) (Row, error) {
		g.reads.Add(1)
		return g.table.Get(ctx, key)
	})
}

// Scan implements Table; it tries again until the context ends or the service is away.
func (g *Guard) Scan(ctx context.Context, prefix, after string, limit int) ([]Row, error) {
	return again(ctx, g, prefix, func(ctx context.Context) ([]Row, error) {
		g.reads.Add(1)
		return g.table.Scan(ctx, prefix, after, limit)
	})
}

// Commit implements Table; it tries once.
func (g *Guard) Commit(ctx context.Context, tx Transaction) (uint64, error) {
	return once(ctx, g, tx.key(), func(ctx context.Context) (uint64, error) {
		g.commits.Add(1)
		return g.table.Commit(ctx, tx)
	})
}

func once[T any](ctx context.Context, g *Guard, key string, try func(ctx context.Context) (T, error)) (T, error) {
	patience, err := g.enter(key)
	if err != nil {
		var none T
		return none, err
	}
	inner, cancel := context.WithTimeout(ctx, patience)
	defer cancel()
	began := time.Now()
	v, err := try(inner)
	if errors.Is(err, context.DeadlineExceeded) {
		err = errors.Wrap(ErrUnavailable, "no answer in time")
	}
	if ctx.Err() == nil {
		// A caller that has left says nothing of the service.
		g.leave(key, patience, time.Since(began), err)
	}
	return v, err
}

func again[T any](ctx context.Context, g *Guard, key string, try func(ctx context.Context) (T, error)) (T, error) {
	for {
		v, err := once(ctx, g, key, try)
		if !errors.Is(err, ErrRefused) && !errors.Is(err, ErrUnavailable) || errors.Is(err, ErrAway) || g.Away() > 0 {
			return v, err
		}
		select {
		case <-ctx.Done():
			return v, err
		case <-time.After(g.limits.Pause):
		}
	}
}
