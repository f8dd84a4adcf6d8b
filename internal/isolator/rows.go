package isolator

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"slices"
	"time"

	"pimentorail.example/pimentorail/internal/storer"
	"pimentorail.example/pimentorail/internal/supervisor"
)

const (
	// suspectRetention is how long a crash counts, and condemnedRetention how long one does
	// that condemned a request. Then the request gets another chance.
	suspectRetention   = time.Minute
	condemnedRetention = 10 * time.Minute
	// removalJitter spreads the removal of a row over the daemons; the first removes it.
	removalJitter = 10 * time.Second
	maintainEvery = time.Second
	// writeTimeout bounds one write, writeBackoff is the time between two attempts, and
	// maxBatch the rows of one write.
	writeTimeout = time.Second
	writeBackoff = 200 * time.Millisecond
	maxBatch     = 50
	// maxPrefixes bounds the beginnings in memory. 131,072 take 2 MB.
	maxPrefixes = 131072
	// ignoredPeriod is the least time between two log lines about one row that is ignored, and
	// maxIgnoredRows the number of rows about which there are lines in that time.
	ignoredPeriod  = time.Minute
	maxIgnoredRows = 16
)

// Replace implements follower.Sink.
func (i *Isolator) Replace(rows []storer.Row, _ uint64) {
	now := time.Now()
	i.mu.Lock()
	defer i.mu.Unlock()
	listed := map[string]bool{}
	for _, r := range rows {
		listed[r.Name()] = true
		i.putLocked(r, now)
	}
	for name := range i.records {
		if _, queued := i.unwritten[name]; !queued && !listed[name] {
			i.forgetLocked(name)
		}
	}
	i.changedLocked()
}

// Update implements follower.Sink.
func (i *Isolator) Update(changes []storer.Change, _ uint64) {
	if len(changes) == 0 {
		return
	}
	now := time.Now()
	i.mu.Lock()
	defer i.mu.Unlock()
	for _, c := range changes {
		if c.Removed {
			i.forgetLocked(c.Name())
			continue
		}
		i.putLocked(c.Row, now)
	}
	i.changedLocked()
}

// StoreUnavailable implements follower.Sink; what is known stays.
func (i *Isolator) StoreUnavailable(error) {}

// StoreRecovered implements follower.Sink.
func (i *Isolator) StoreRecovered() {}

// putLocked adds the record of a row.
func (i *Isolator) putLocked(r storer.Row, now time.Time) {
	var v row
	err := supervisor.Do("isolator: decoder of rows", func() (err error) {
		v, err = decodeRow(r)
		return err
	})
	if err != nil {
		if skipped, ok := i.ignored.Allow(r.Name(), now); ok {
			i.logger.Event("isolator", "row ignored").Uint("row-version", r.Version).Int("lines-skipped", skipped).Err(err).End()
		}
		return
	}
	i.addLocked(r.Name(), v, r.Version, now)
}

// addLocked adds or replaces a record. If there are too many, the oldest gives way.
func (i *Isolator) addLocked(name string, r row, version uint64, now time.Time) {
	old, known := i.records[name]
	if !known && len(i.records) >= maxRecords {
		oldest := ""
		for n, o := range i.records {
			if oldest == "" || o.seenAt.Before(i.records[oldest].seenAt) {
				oldest = n
			}
		}
		i.forgetLocked(oldest)
	}
	seenAt, happenedAt := now, r.happenedAt(now)
	if known {
		happenedAt = old.happenedAt
	}
	if known && (r.Trial == "" || version == old.version) {
		seenAt = old.seenAt
	}
	i.prefixes += r.prefixCount() - old.prefixCount()
	i.records[name] = record{row: r, seenAt: seenAt, happenedAt: happenedAt, version: version}
	i.boundPrefixesLocked()
}

// boundPrefixesLocked removes the beginnings of the oldest records if there are too many.
func (i *Isolator) boundPrefixesLocked() {
	for i.prefixes > maxPrefixes {
		oldest := ""
		for n, o := range i.records {
			if o.Instance != "" && o.prefixCount() > 0 && (oldest == "" || o.seenAt.Before(i.records[oldest].seenAt)) {
				oldest = n
			}
		}
		if oldest == "" {
			return
		}
		o := i.records[oldest]
		i.prefixes -= o.prefixCount()
		o.row = o.withoutPrefixes()
		i.records[oldest] = o
	}
}

// run writes the queued rows and removes expired ones.
func (i *Isolator) run() error {
	maintenance := time.NewTicker(maintainEvery)
	defer maintenance.Stop()
	retry := time.After(writeBackoff) // The rows that a panic left.
	for {
		select {
		case <-i.wake:
		case <-retry:
		case <-maintenance.C:
			i.expire(time.Now())
			continue
		case <-i.tomb.Dying():
			return nil
		}
		if retry = nil; !i.write() {
			retry = time.After(writeBackoff/2 + rand.N(writeBackoff))
		}
	}
}

// write writes the queued rows. A row holds the same whenever it is written, so that a write
// in doubt is repeated. It returns false if rows are left.
func (i *Isolator) write() bool {
	batch := map[string]row{}
	i.mu.Lock()
	for name, r := range i.unwritten {
		if len(batch) < maxBatch {
			batch[name] = r
		}
	}
	i.mu.Unlock()
	var tx storer.Transaction
	for name, r := range batch {
		value, err := json.Marshal(r)
		if err != nil {
			i.logger.Event("isolator", "row not encoded").Err(err).End()
			continue
		}
		tx.Writes = append(tx.Writes, storer.Write{Key: storer.Prefix(Table) + name, Value: value})
	}
	if len(tx.Writes) == 0 {
		return true
	}
	ctx, cancel := context.WithTimeout(i.tomb.Context(nil), writeTimeout)
	defer cancel()
	_, err := i.table.Commit(ctx, tx)
	i.mu.Lock()
	defer i.mu.Unlock()
	for name, r := range batch {
		if now, ok := i.unwritten[name]; err == nil && ok && now.equal(r) {
			delete(i.unwritten, name)
		}
	}
	return len(i.unwritten) == 0
}

// expire forgets old crashes and removes their rows.
func (i *Isolator) expire(now time.Time) {
	tx := i.forgetOld(now)
	if len(tx.Writes) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(i.tomb.Context(nil), writeTimeout)
	defer cancel()
	if _, err := i.table.Commit(ctx, tx); err != nil {
		// Another daemon removes them, or the next start of one.
		i.logger.Event("isolator", "rows not removed").Int("rows", len(tx.Writes)).Err(err).End()
	}
}

// forgetOld forgets old crashes and returns the removal of their rows.
func (i *Isolator) forgetOld(now time.Time) (tx storer.Transaction) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.judgeLocked(now)
	i.reportServedLocked(now)
	i.expireTrialsLocked(now)
	retained := i.found.retained()
	for name, r := range i.records {
		if age := now.Sub(r.seenAt); age < suspectRetention || age < r.retention(retained)+rand.N(removalJitter) {
			continue
		}
		i.forgetLocked(name)
		if len(tx.Writes) < maxBatch {
			tx.Writes = append(tx.Writes, storer.Write{Key: storer.Prefix(Table) + name, Delete: true})
		}
	}
	return tx
}

// forgetLocked forgets a row.
func (i *Isolator) forgetLocked(name string) {
	delete(i.own, i.records[name].Instance)
	i.prefixes -= i.records[name].prefixCount()
	delete(i.records, name)
	delete(i.unwritten, name)
	i.changedLocked()
}

// retention returns how long a row is kept.
func (r row) retention(retained map[Fingerprint]bool) time.Duration {
	if r.Trial != "" || len(r.Prefixes) > 0 {
		return condemnedRetention
	}
	for _, s := range r.Suspects {
		if retained[s.Whole] || slices.ContainsFunc(s.beginnings(), func(p Fingerprint) bool { return retained[p] }) {
			return condemnedRetention
		}
	}
	return suspectRetention
}
