package isolator

import (
	"context"
	"encoding/json"
	"time"

	"pimentorail.example/pimentorail/internal/storer"
)

// trialLasts is how long a request that is tried may be sent, for several attempts if replicas
// refuse it.
const trialLasts = 10 * time.Second

// trial is a request with a condemned beginning that this daemon tries.
type trial struct {
	whole Fingerprint
	at    time.Time
}

// Try begins to try a request that is held, and reports whether it may be sent now. All daemons
// together try one request in the time that the trials of its beginning are apart.
func (i *Isolator) Try(ctx context.Context, m Mark) bool {
	now := time.Now()
	f, version, held, due := i.beginTrial(m, now)
	if !due {
		return !held
	}
	begun := trial{whole: m.Whole, at: now}
	err := i.claimTrial(ctx, f, version)
	i.logger.Event("isolator", "beginning tried").Str("fingerprint", f.String()).Str("whole", m.Whole.String()).Err(err).End()
	if err == nil {
		return true
	}
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.trials[f] == begun {
		i.trials[f] = trial{at: now} // The write may still take effect.
	}
	return false
}

// beginTrial reports whether a request is held by a beginning, and whether a trial of that is due,
// which begins then. The version is that of the row of its trials.
func (i *Isolator) beginTrial(m Mark, now time.Time) (f Fingerprint, version uint64, held, due bool) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.judgeLocked(now)
	f, held = i.heldByLocked(m, now)
	if !held || i.untilTrialLocked(f, now) > 0 {
		return f, 0, held, false
	}
	i.trials[f] = trial{whole: m.Whole, at: now}
	return f, i.records[trialName(f)].version, true, true
}

// claimTrial writes the row of a beginning's trials, unless another daemon has done so.
func (i *Isolator) claimTrial(ctx context.Context, f Fingerprint, version uint64) error {
	value, err := json.Marshal(row{Served: f, Trial: i.options.Name})
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	key := storer.Prefix(Table) + trialName(f)
	_, err = i.table.Commit(ctx, storer.Transaction{
		Conditions: []storer.Condition{{Key: key, Version: version}}, Writes: []storer.Write{{Key: key, Value: value}},
	})
	return err
}

// heldByLocked returns the longest condemned beginning of a request, unless the request is
// being tried.
func (i *Isolator) heldByLocked(m Mark, now time.Time) (Fingerprint, bool) {
	var longest Fingerprint
	held := false
	for _, f := range m.beginnings() {
		b := i.found.beginnings[f]
		if !b.condemned {
			continue
		}
		if t := i.trials[f]; t.whole == m.Whole && now.Sub(t.at) < trialLasts && !b.last.After(t.at) {
			return Fingerprint{}, false
		}
		longest, held = f, true
	}
	return longest, held
}

// untilTrialLocked returns the time until a request with a condemned beginning may be tried.
func (i *Isolator) untilTrialLocked(f Fingerprint, now time.Time) time.Duration {
	b := i.found.beginnings[f]
	last := b.last
	for _, at := range []time.Time{i.trials[f].at, i.records[trialName(f)].seenAt} {
		if at.After(last) {
			last = at
		}
	}
	return max(0, last.Add(b.trialAfter()).Sub(now))
}

// expireTrialsLocked forgets the trials of beginnings that are not condemned.
func (i *Isolator) expireTrialsLocked(now time.Time) {
	for f, t := range i.trials {
		if !i.found.beginnings[f].condemned && now.Sub(t.at) > trialLasts {
			delete(i.trials, f)
		}
	}
}

// reportServedLocked reports in rows that this daemon served requests with beginnings that several
// bodies at crashes have in common, if no daemon has reported that.
func (i *Isolator) reportServedLocked(now time.Time) {
	i.reportBeginningsLocked(i.found.unreported, false, now)
	i.reportBeginningsLocked(i.found.unreportedEarlier, true, now)
	i.found.unreported, i.found.unreportedEarlier = nil, nil
}

func (i *Isolator) reportBeginningsLocked(list []Fingerprint, earlier bool, now time.Time) {
	if len(list) > 0 {
		list = list[:min(len(list), maxRecorded)]
		i.putOwnLocked(pooledName(list, earlier, i.options.Name), row{Served: list[0], Prefixes: list, Earlier: earlier}, now)
	}
}
