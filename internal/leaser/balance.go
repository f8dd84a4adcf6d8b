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

// move is a change of a partition row that this daemon should make.
type move struct {
	partition int
	to        Member
	row       storer.Row
	epoch     uint64
	held      bool
}

// balance takes over orphaned partitions and hands over those that others should own.
func (l *Leaser) balance(ctx context.Context) {
	handovers := 0
	for _, m := range l.plan() {
		if !l.Valid() {
			return
		}
		var err error
		switch {
		case !m.held:
			err = l.take(ctx, m)
		case handovers < maxHandovers || l.leaving():
			handovers++
			err = l.handOver(ctx, m)
		}
		if err != nil {
			klog.Warningf("leaser: partition %d did not move: %v", m.partition, err)
		}
	}
	l.forget(ctx)
}

func (l *Leaser) leaving() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.self.State == Leaving
}

func (l *Leaser) plan() []move {
	l.mu.Lock()
	defer l.mu.Unlock()
	live := l.liveLocked(l.before, false)
	var moves []move
	for n := range l.o.Partitions {
		to, ok := Desired(n, live)
		if !ok {
			continue
		}
		row, owner := l.rows[n], l.owners[n]
		row.Key = PartitionKey(n)
		m := move{partition: n, to: to, row: row, epoch: owner.Epoch + 1}
		_, m.held = l.held[n]
		mine := to.Session == l.o.Session
		orphan := row.Version == 0 || l.goneLocked(owner.Session, l.before)
		// A row that names this daemon is taken too: others may race to take it over.
		named := owner.Session == l.o.Session
		if named && !m.held {
			m.to, mine = l.self, true
		}
		if (m.held && !mine) || (!m.held && mine && (orphan || named)) {
			moves = append(moves, m)
		}
	}
	return moves
}

// liveLocked returns the members with a running lease, in order.
func (l *Leaser) liveLocked(now time.Time, leaving bool) []Member {
	var live []Member
	for _, s := range l.seen {
		if now.Sub(s.at) < l.o.Lifetime && (leaving || s.member.State == Live) {
			live = append(live, s.member)
		}
	}
	slices.SortFunc(live, func(a, b Member) int {
		if a.Session < b.Session {
			return -1
		}
		return 1
	})
	return live
}

// goneLocked reports whether a session's lease has expired for this observer.
func (l *Leaser) goneLocked(session string, now time.Time) bool {
	if session == l.o.Session {
		return false
	}
	if s, ok := l.seen[session]; ok {
		delete(l.missing, session)
		return now.Sub(s.at) >= l.o.Lifetime
	}
	since, ok := l.missing[session]
	if !ok {
		l.missing[session] = now
		return false
	}
	return now.Sub(since) >= l.o.Lifetime
}

func (l *Leaser) take(ctx context.Context, m move) error {
	version, err := l.swap(ctx, m)
	if err != nil {
		return err
	}
	f := Fence{Partition: m.partition, Version: version, Epoch: m.epoch}
	l.mu.Lock()
	l.held[m.partition] = f
	l.owners[m.partition] = Partition{Session: m.to.Session, Address: m.to.Address, Epoch: m.epoch}
	l.rows[m.partition] = storer.Row{Key: m.row.Key, Version: version}
	l.mu.Unlock()
	klog.V(1).Infof("leaser: took partition %d, epoch %d.", m.partition, m.epoch)
	l.o.Observer.Gained(f)
	return nil
}

// handOver gives a partition up before the swap: its answer may be lost. A
// swap that failed leaves a row that names this daemon, which is taken again.
func (l *Leaser) handOver(ctx context.Context, m move) error {
	drain, cancel := context.WithTimeout(ctx, drainTimeout)
	err := l.o.Observer.Drain(drain, m.partition)
	cancel()
	if err != nil {
		return errors.Wrap(err, "drain")
	}
	l.lose(m.partition)
	version, err := l.swap(ctx, m)
	if err != nil {
		return err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.owners[m.partition] = Partition{Session: m.to.Session, Address: m.to.Address, Epoch: m.epoch}
	l.rows[m.partition] = storer.Row{Key: m.row.Key, Version: version}
	return nil
}

// swap writes the partition row on condition of its version; a lost answer is read back.
func (l *Leaser) swap(ctx context.Context, m move) (uint64, error) {
	want := Partition{Session: m.to.Session, Address: m.to.Address, Epoch: m.epoch}
	data, err := json.Marshal(want)
	if err != nil {
		return 0, errors.Wrap(err, "encode partition")
	}
	version, err := l.o.Table.Commit(ctx, storer.Transaction{
		Conditions: []storer.Condition{{Key: m.row.Key, Version: m.row.Version}},
		Writes:     []storer.Write{{Key: m.row.Key, Value: data}, {Key: markerKey, Value: []byte(l.o.Session)}},
	})
	if err == nil || errors.Is(err, storer.ErrConflict) {
		return version, err
	}
	row, rerr := l.o.Table.Get(ctx, m.row.Key)
	if rerr != nil {
		return 0, err
	}
	if _, got, perr := ParsePartition(row.Key, row.Value); perr == nil && got == want {
		return row.Version, nil
	}
	return 0, err
}

// forget deletes the rows of members that expired long ago.
func (l *Leaser) forget(ctx context.Context) {
	l.mu.Lock()
	var old []sighting
	now := time.Now()
	for id, s := range l.seen {
		if id != l.o.Session && now.Sub(s.at) > forgetFactor*l.o.Lifetime {
			old = append(old, s)
		}
	}
	l.mu.Unlock()
	for _, s := range old {
		key := MemberKey(s.member.Session)
		_, err := l.o.Table.Commit(ctx, storer.Transaction{
			Conditions: []storer.Condition{{Key: key, Version: s.version}},
			Writes:     []storer.Write{{Key: key, Delete: true}},
		})
		if err != nil {
			klog.V(1).Infof("leaser: row of %s stays: %v", s.member.Session, err)
		}
	}
}
