package leaser

import (
	"context"
	"encoding/json"
	"slices"
	"time"

	"github.com/pkg/errors"
	"k8s.io/klog/v2"

	"pimentorail.example/pimentorail/internal/storer"
)

// transfer is a change of a partition's owner that this daemon should write.
type transfer struct {
	partition int
	to        Member
	row       storer.Row
	epoch     uint64
	held      bool // whether this daemon holds the partition and hands it over
}

// balance takes over orphaned partitions and hands over those that others should own.
func (l *Leaser) balance(ctx context.Context) {
	handovers := 0
	for _, t := range l.planTransfers() {
		if !l.Valid() {
			return
		}
		var err error
		switch {
		case !t.held:
			err = l.acquire(ctx, t)
		case handovers < maxHandovers || l.leaving():
			handovers++
			err = l.handOver(ctx, t)
		}
		if err != nil {
			klog.Warningf("leaser: transfer of partition %d failed: %v", t.partition, err)
		}
	}
	l.deleteExpiredMembers(ctx)
}

func (l *Leaser) leaving() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.self.State == Leaving
}

// planTransfers compares the owner of each partition with the one that DesiredOwner
// returns, and returns the transfers that this daemon should make.
func (l *Leaser) planTransfers() []transfer {
	l.mu.Lock()
	defer l.mu.Unlock()
	live := l.unexpiredLocked(l.membersReadAt, false)
	var transfers []transfer
	for n := range l.options.Partitions {
		to, ok := DesiredOwner(n, live)
		if !ok {
			continue
		}
		row, owner := l.partitionRows[n], l.owners[n]
		row.Key = PartitionKey(n)
		t := transfer{partition: n, to: to, row: row, epoch: owner.Epoch + 1}
		_, t.held = l.held[n]
		toSelf := to.Session == l.options.Session
		orphan := row.Version == 0 || l.sessionExpiredLocked(owner.Session, l.membersReadAt)
		// A row that names this daemon, which doesn't hold the partition, is acquired
		// too, by compare-and-swap: other daemons may take it over at the same time.
		namesSelf := owner.Session == l.options.Session
		if namesSelf && !t.held {
			t.to, toSelf = l.self, true
		}
		if (t.held && !toSelf) || (!t.held && toSelf && (orphan || namesSelf)) {
			transfers = append(transfers, t)
		}
	}
	return transfers
}

// unexpiredLocked returns the members whose lease has not expired, sorted by session.
// Those in state Leaving are left out unless includeLeaving is set.
func (l *Leaser) unexpiredLocked(now time.Time, includeLeaving bool) []Member {
	var members []Member
	for _, s := range l.observed {
		if now.Sub(s.changedAt) < l.options.Lifetime && (includeLeaving || s.member.State == Live) {
			members = append(members, s.member)
		}
	}
	slices.SortFunc(members, func(a, b Member) int {
		if a.Session < b.Session {
			return -1
		}
		return 1
	})
	return members
}

// sessionExpiredLocked reports whether a session's lease has expired for this observer. A
// session without a member row counts as expired one lifetime after the row was first
// missed; missingSince, which sessionExpiredLocked updates, holds that time.
func (l *Leaser) sessionExpiredLocked(session string, now time.Time) bool {
	if session == l.options.Session {
		return false
	}
	if s, ok := l.observed[session]; ok {
		delete(l.missingSince, session)
		return now.Sub(s.changedAt) >= l.options.Lifetime
	}
	since, ok := l.missingSince[session]
	if !ok {
		l.missingSince[session] = now
		return false
	}
	return now.Sub(since) >= l.options.Lifetime
}

// acquire makes this daemon the owner of a partition and notifies the observer.
func (l *Leaser) acquire(ctx context.Context, t transfer) error {
	version, err := l.compareAndSwap(ctx, t)
	if err != nil {
		return err
	}
	f := Fence{Partition: t.partition, Version: version, Epoch: t.epoch}
	l.mu.Lock()
	l.held[t.partition] = f
	l.owners[t.partition] = Partition{Session: t.to.Session, Address: t.to.Address, Epoch: t.epoch}
	l.partitionRows[t.partition] = storer.Row{Key: t.row.Key, Version: version}
	l.mu.Unlock()
	klog.V(1).Infof("leaser: acquired partition %d, epoch %d.", t.partition, t.epoch)
	l.options.Observer.Gained(f)
	return nil
}

// handOver drops a partition before it writes the new owner, because the reply of that
// write may be lost. If the write fails, the row still names this daemon, which then
// acquires the partition again.
func (l *Leaser) handOver(ctx context.Context, t transfer) error {
	drainCtx, cancel := context.WithTimeout(ctx, drainTimeout)
	err := l.options.Observer.Drain(drainCtx, t.partition)
	cancel()
	if err != nil {
		return errors.Wrap(err, "drain")
	}
	l.drop(t.partition)
	version, err := l.compareAndSwap(ctx, t)
	if err != nil {
		return err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.owners[t.partition] = Partition{Session: t.to.Session, Address: t.to.Address, Epoch: t.epoch}
	l.partitionRows[t.partition] = storer.Row{Key: t.row.Key, Version: version}
	return nil
}

// compareAndSwap writes the partition row on condition of its version. If the outcome is
// ambiguous, it reads the row back.
func (l *Leaser) compareAndSwap(ctx context.Context, t transfer) (uint64, error) {
	want := Partition{Session: t.to.Session, Address: t.to.Address, Epoch: t.epoch}
	data, err := json.Marshal(want)
	if err != nil {
		return 0, errors.Wrap(err, "encode partition")
	}
	version, err := l.options.Table.Commit(ctx, storer.Transaction{
		Conditions: []storer.Condition{{Key: t.row.Key, Version: t.row.Version}},
		Writes:     []storer.Write{{Key: t.row.Key, Value: data}, {Key: markerKey, Value: []byte(l.options.Session)}},
	})
	if err == nil || errors.Is(err, storer.ErrConflict) {
		return version, err
	}
	row, getErr := l.options.Table.Get(ctx, t.row.Key)
	if getErr != nil {
		return 0, err
	}
	if _, got, parseErr := ParsePartition(row.Key, row.Value); parseErr == nil && got == want {
		return row.Version, nil
	}
	return 0, err
}

// deleteExpiredMembers deletes the rows of members whose lease expired long ago.
func (l *Leaser) deleteExpiredMembers(ctx context.Context) {
	l.mu.Lock()
	var expired []observedMember
	now := time.Now()
	for id, s := range l.observed {
		if id != l.options.Session && now.Sub(s.changedAt) > deleteAfterLifetimes*l.options.Lifetime {
			expired = append(expired, s)
		}
	}
	l.mu.Unlock()
	for _, s := range expired {
		key := MemberKey(s.member.Session)
		_, err := l.options.Table.Commit(ctx, storer.Transaction{
			Conditions: []storer.Condition{{Key: key, Version: s.version}},
			Writes:     []storer.Write{{Key: key, Delete: true}},
		})
		if err != nil {
			klog.V(1).Infof("leaser: deleting the member row of %s failed: %v", s.member.Session, err)
		}
	}
}
