package isolator

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"gopkg.in/tomb.v2"

	"pimentorail.example/pimentorail/internal/logger"
	"pimentorail.example/pimentorail/internal/storer"
	"pimentorail.example/pimentorail/internal/supervisor"
)

const (
	// maxSuspects bounds the requests that one daemon records for one crash, and maxRecords
	// the rows that are kept in memory.
	maxSuspects = 64
	// maxExcused bounds the crashes that one row excuses.
	maxExcused = 256
	maxRecords = 2048
	// minCleared is the number of crashes from which on it is recorded that a request was
	// served. Fewer condemn nobody.
	minCleared = 2
	// commonFor is how long after a request with a beginning was served the beginning is not
	// recorded for a crash. What most requests begin with is served by each daemon within that
	// time, and would make an outage look like the crashes of one request.
	commonFor = 3 * time.Second
	// judgeShare is the ratio of the time between two judgments to that of one, so that a storm
	// of crashes with many suspects does not occupy the daemon.
	judgeShare = 10
	// promptRecords is the number of rows and suspects up to which a judgment is never put off.
	// Its measured time then consists mostly of waiting for a processor: one of two rows took
	// 39 ms on a busy machine, and a request crashed eight replicas before the next one.
	promptRecords = 32
)

// Options are the settings of an Isolator.
type Options struct {
	// Name is the name of this process, which no earlier or later process has.
	Name string
	// Crashed reports whether the process at an address has ended. It returns false if that
	// is not certain.
	Crashed func(ctx context.Context, address string) bool
}

// Isolator knows the requests that crash replicas. It is a follower.Sink of Table.
type Isolator struct {
	options Options
	table   storer.Table
	logger  *logger.Logger
	tomb    *tomb.Tomb
	wake    chan struct{}

	mu sync.Mutex
	// ignored bounds the lines about invalid rows.
	ignored *logger.Limit
	records map[string]record
	// pending holds the requests that broke off at instances whose end is not confirmed yet,
	// and own those of confirmed crashes that this daemon has recorded.
	pending, own map[string]*brokenOff
	// unwritten holds the rows that the store has not acknowledged.
	unwritten map[string]row
	recent    recent
	served    served
	found     findings
	// trials are those that this daemon has begun, by beginning.
	trials map[Fingerprint]trial
	// prefixes is the number of beginnings in the records.
	prefixes int
	// outdated is set if the findings do not follow from what is known now, and judgeAt is when
	// they may be brought up to date again.
	outdated bool
	judgeAt  time.Time
	// suspects is the number of verdicts, or not zero if they are outdated, for a check
	// without the lock.
	suspects atomic.Int64
}

// Start returns an Isolator that writes its rows until the context ends.
func Start(ctx context.Context, t storer.Table, l *logger.Logger, o Options) *Isolator {
	i := &Isolator{
		options: o, table: t, logger: l, wake: make(chan struct{}, 1), ignored: logger.NewLimit(ignoredPeriod, maxIgnoredRows),
		records: map[string]record{}, pending: map[string]*brokenOff{}, own: map[string]*brokenOff{}, unwritten: map[string]row{}, trials: map[Fingerprint]trial{},
	}
	i.tomb, _ = tomb.WithContext(ctx)
	i.tomb.Go(supervisor.Loop(i.tomb, "isolator: rows", i.run))
	return i
}

// Check returns what is known against a request.
func (i *Isolator) Check(m Mark) Verdict {
	if i.suspects.Load() == 0 {
		return Verdict{}
	}
	now := time.Now()
	i.mu.Lock()
	defer i.mu.Unlock()
	i.judgeLocked(now)
	v := i.found.wholes[m.Whole]
	v.Crashes = max(v.Crashes, i.found.beginnings[i.found.shared(m)].crashes)
	if f, held := i.heldByLocked(m, now); held && !v.Condemned {
		v.Held, v.RetryAfter = true, i.untilTrialLocked(f, now)
	}
	return v
}

// Suspected returns the fingerprint by which a request is suspect: of what it shares with other
// suspects, if that was at more crashes than the request itself, or of the whole.
func (i *Isolator) Suspected(m Mark) Fingerprint {
	if i.suspects.Load() == 0 {
		return m.Whole
	}
	i.mu.Lock()
	defer i.mu.Unlock()
	i.judgeLocked(time.Now())
	if f := i.found.shared(m); i.found.beginnings[f].crashes > i.found.wholes[m.Whole].Crashes {
		return f
	}
	return m.Whole
}

// Counts returns the numbers of suspect requests and of condemned fingerprints.
func (i *Isolator) Counts() (suspects, condemned int) {
	i.mu.Lock()
	defer i.mu.Unlock()
	for _, v := range i.found.wholes {
		if v.Condemned {
			condemned++
		}
	}
	suspects = len(i.found.wholes) - condemned
	for _, b := range i.found.beginnings {
		if b.condemned {
			condemned++
		}
	}
	return suspects, condemned
}

// Served records that a request, which arrived at a time, got a complete response. If it was at
// several crashes, all daemons learn that it is not their cause, and later crashes count anew. If
// it shares a beginning with suspects and arrived after their first crash, all daemons learn that
// this is not the cause.
func (i *Isolator) Served(m Mark, arrived time.Time) {
	now := time.Now()
	i.mu.Lock()
	defer i.mu.Unlock()
	i.recent.add(m.Whole, now)
	shares := false
	for _, f := range m.beginnings() {
		i.served.add(f, arrived, now)
		_, suspect := i.found.beginnings[f]
		shares = shares || suspect
		delete(i.trials, f)
	}
	if i.found.wholes[m.Whole].Crashes >= minCleared {
		i.excuseLocked(m.Whole, now)
	}
	if shares {
		i.changedLocked()
		i.judgeLocked(now)
		i.reportServedLocked(now)
	}
}

// excuseLocked records that a suspect was served after the crashes that are known.
func (i *Isolator) excuseLocked(f Fingerprint, now time.Time) {
	r := row{Served: f}
	for _, o := range i.records {
		if o.Instance != "" && o.has(f) && len(r.Excused) < maxExcused && !slices.Contains(r.Excused, o.Instance) {
			r.Excused = append(r.Excused, o.Instance)
		}
	}
	i.putOwnLocked(servedName(f, i.options.Name), r, now)
}

// BrokeOff records that a replica broke off a request. If the replica's process has ended,
// the request becomes suspect.
func (i *Isolator) BrokeOff(service, instance, address string, m Mark) {
	now := time.Now()
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.recent.has(m.Whole, now) {
		return
	}
	m = m.without(func(f Fingerprint) bool { return now.Sub(i.served.last(f)) < commonFor })
	if b := i.own[instance]; b != nil {
		if b.add(m) {
			i.recordLocked(b, now)
		}
		return
	}
	b := i.pending[instance]
	if b == nil {
		b = &brokenOff{isolator: i, service: service, instance: instance, address: address}
		i.pending[instance] = b
		go b.run()
	}
	if b.add(m) {
		i.changedLocked()
	}
}

// crashed checks whether the process at an address has ended.
func (i *Isolator) crashed(ctx context.Context, address string) bool {
	defer supervisor.Recover("isolator: check of a replica")
	ctx, cancel := context.WithTimeout(ctx, checkTimeout)
	defer cancel()
	return i.options.Crashed(ctx, address)
}

// recordLocked records a confirmed crash and queues its row.
func (i *Isolator) recordLocked(b *brokenOff, now time.Time) {
	delete(i.pending, b.instance)
	i.own[b.instance] = b
	if b.at.IsZero() {
		b.at = now
	}
	r := row{Service: b.service, Instance: b.instance, At: b.at.UnixMilli(), Suspects: append([]suspect(nil), b.suspects...)}
	i.putOwnLocked(rowName(b.instance, i.options.Name), r, now)
}

// putOwnLocked adds a record of this daemon and queues its row.
func (i *Isolator) putOwnLocked(name string, r row, now time.Time) {
	i.addLocked(name, r, 0, now)
	i.unwritten[name] = r
	i.changedLocked()
	select {
	case i.wake <- struct{}{}:
	default:
	}
}

// changedLocked records that the verdicts are out of date.
func (i *Isolator) changedLocked() {
	i.outdated = true
	i.suspects.Store(1)
}

// judgeLocked judges all suspects anew if anything has changed. If there are many, it takes no
// more than a part of the time.
func (i *Isolator) judgeLocked(now time.Time) {
	if !i.outdated || now.Before(i.judgeAt) && !i.isPromptLocked() {
		return
	}
	i.outdated = false
	e := newEvidence()
	for _, r := range i.records {
		e.add(r.row, r.happenedAt)
	}
	for _, b := range i.pending {
		e.addPending(b, now)
	}
	old := i.found
	i.found = judge(e.list(), e.served, i.served.last, old.wholes)
	i.suspects.Store(int64(len(i.found.wholes)))
	for f, v := range i.found.wholes {
		if v.Condemned && !old.wholes[f].Condemned {
			i.logger.Event("isolator", "request condemned").Str("fingerprint", f.String()).Int("crashes", v.Crashes).End()
		}
	}
	for f, b := range i.found.beginnings {
		if b.condemned && !old.beginnings[f].condemned {
			i.logger.Event("isolator", "beginning condemned").Str("fingerprint", f.String()).Int("crashes", b.crashes).Int("family", b.family).End()
		}
	}
	for f, b := range old.beginnings {
		if b.condemned && !i.found.beginnings[f].condemned {
			i.logger.Event("isolator", "beginning cleared").Str("fingerprint", f.String()).Int("crashes", b.crashes).End()
		}
	}
	i.judgeAt = now.Add(judgeShare * time.Since(now))
}

// isPromptLocked reports whether there are so few rows and suspects that judging them takes
// little time.
func (i *Isolator) isPromptLocked() bool {
	n := len(i.records) + len(i.pending)
	if n > promptRecords {
		return false
	}
	for _, r := range i.records {
		n += len(r.Suspects)
	}
	for _, b := range i.pending {
		n += len(b.suspects)
	}
	return n <= promptRecords
}
