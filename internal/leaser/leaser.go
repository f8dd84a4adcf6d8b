package leaser

import (
	"context"
	"encoding/json"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"
	"gopkg.in/tomb.v2"
	"k8s.io/klog/v2"

	"pimentorail.example/pimentorail/internal/storer"
	"pimentorail.example/pimentorail/internal/supervisor"
)

const (
	defaultPeriod   = 2 * time.Second
	defaultLifetime = 6 * time.Second
	defaultMargin   = 500 * time.Millisecond
	// deleteAfterLifetimes is the age, in lifetimes, at which an unrenewed row is deleted.
	deleteAfterLifetimes = 10
	// maxHandovers limits the handovers of one Tick, unless the daemon is leaving.
	maxHandovers = 16
	drainTimeout = 5 * time.Second
	// minTickInterval limits how often Refresh can cause a Tick.
	minTickInterval = 200 * time.Millisecond
)

// Options configures a Leaser; zero durations take defaults.
type Options struct {
	Table storer.Table
	// Session identifies one run of a daemon process.
	Session    string
	Address    string
	Zone       string
	Partitions int
	// Period is the time between renewals.
	Period time.Duration
	// Lifetime is how long a lease is valid without renewal.
	Lifetime time.Duration
	// Margin is how much earlier the holder considers its lease expired than observers do.
	Margin   time.Duration
	Observer Observer
}

// observedMember is a member's row and when an observer last saw its version change.
type observedMember struct {
	member    Member
	version   uint64
	changedAt time.Time
}

// Leaser maintains a daemon's lease and its partitions.
type Leaser struct {
	options    Options
	mu         sync.Mutex
	self       Member
	rowVersion uint64
	renewedAt  time.Time
	ended      bool
	// dirty reports that self has changed since the member row was written.
	dirty bool
	// markerVersion is the version of the marker row at the last read of the partition map.
	markerVersion uint64
	observed      map[string]observedMember
	missingSince  map[string]time.Time
	partitionRows map[int]storer.Row
	owners        map[int]Partition
	held          map[int]Fence
	// membersReadAt is when the last read of the members began; leases are checked as of then.
	membersReadAt time.Time
	mapReadAt     time.Time
	refresh       chan struct{}
	tomb          *tomb.Tomb
}

// New returns a leaser that holds no lease and no partitions yet.
func New(o Options) *Leaser {
	if o.Period == 0 {
		o.Period = defaultPeriod
	}
	if o.Lifetime == 0 {
		o.Lifetime = defaultLifetime
	}
	if o.Margin == 0 {
		o.Margin = defaultMargin
	}
	return &Leaser{
		options:  o,
		self:     Member{Session: o.Session, Address: o.Address, Zone: o.Zone, State: Live},
		observed: map[string]observedMember{}, missingSince: map[string]time.Time{},
		partitionRows: map[int]storer.Row{}, owners: map[int]Partition{},
		held: map[int]Fence{}, refresh: make(chan struct{}, 1),
	}
}

// Start runs the leaser until the context ends.
func (l *Leaser) Start(ctx context.Context) {
	l.tomb, _ = tomb.WithContext(ctx)
	l.tomb.Go(supervisor.Loop(l.tomb, "leaser: leases", l.run))
}

// Wait returns when the leaser has stopped.
func (l *Leaser) Wait() error { return l.tomb.Wait() }

func (l *Leaser) run() error {
	ctx := l.tomb.Context(context.Background())
	for {
		l.Tick(ctx)
		next := time.After(l.options.Period)
		select {
		case <-time.After(min(minTickInterval, l.options.Period)):
		case <-l.tomb.Dying():
			return nil
		}
		select {
		case <-next:
		case <-l.refresh:
		case <-l.tomb.Dying():
			return nil
		}
	}
}

// Refresh requests a Tick soon, for when the partition map has proved stale.
func (l *Leaser) Refresh() {
	select {
	case l.refresh <- struct{}{}:
	default:
	}
}

// Tick renews the lease, reads the partition map and the members, and transfers
// partitions, once.
func (l *Leaser) Tick(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, l.options.Lifetime)
	defer cancel()
	if err := l.renew(ctx); err != nil {
		klog.Warningf("leaser: renewal failed: %v", err)
	}
	if err := l.scan(ctx); err != nil {
		klog.Warningf("leaser: reading partitions and members failed: %v", err)
		return
	}
	l.balance(ctx)
}

// renew writes the member row on condition of its last version.
func (l *Leaser) renew(ctx context.Context) error {
	l.mu.Lock()
	if l.ended || (!l.dirty && elapsed(l.renewedAt) < l.options.Period/2) {
		l.mu.Unlock()
		return nil
	}
	l.dirty = false
	l.self.Counter++
	m, version := l.self, l.rowVersion
	l.mu.Unlock()
	data, err := json.Marshal(m)
	if err != nil {
		return errors.Wrap(err, "encode member")
	}
	start := time.Now()
	key := MemberKey(m.Session)
	newVersion, err := l.options.Table.Commit(ctx, storer.Transaction{
		Conditions: []storer.Condition{{Key: key, Version: version}},
		Writes:     []storer.Write{{Key: key, Value: data}},
	})
	if err == nil {
		l.extend(start, newVersion)
		return nil
	}
	return l.resolveRenewal(ctx, key, m.Counter, start, err)
}

// resolveRenewal reads the member row to find out whether a renewal that returned an
// error took effect.
func (l *Leaser) resolveRenewal(ctx context.Context, key string, counter uint64, start time.Time, cause error) error {
	row, err := l.options.Table.Get(ctx, key)
	if err != nil {
		return cause
	}
	if row.Version == 0 {
		l.mu.Lock()
		written := l.rowVersion != 0
		l.mu.Unlock()
		if written {
			l.abandon()
		}
		return cause
	}
	m, err := ParseMember(row.Value)
	if err != nil {
		return err
	}
	if m.Counter == counter {
		l.extend(start, row.Version)
		return nil
	}
	l.mu.Lock()
	l.rowVersion = row.Version
	l.mu.Unlock()
	return cause
}

// extend records a renewal that took effect. If the lease had expired, other daemons may
// be taking over the partitions, so all are dropped and acquired again by
// compare-and-swap.
func (l *Leaser) extend(start time.Time, version uint64) {
	l.mu.Lock()
	lapsed := !l.validLocked()
	l.mu.Unlock()
	if lapsed {
		l.dropAll()
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.renewedAt, l.rowVersion = start, version
}

// abandon drops all partitions after another member has deleted the member row.
func (l *Leaser) abandon() {
	l.mu.Lock()
	l.rowVersion = 0
	l.mu.Unlock()
	l.dropAll()
}

func (l *Leaser) dropAll() {
	for _, f := range l.Held() {
		l.drop(f.Partition)
	}
}

// scan reads the partition map and then the members. The order matters: a member that
// acquired a partition before the map was read is then seen with its renewal.
func (l *Leaser) scan(ctx context.Context) error {
	marker, parts, err := l.readMap(ctx)
	if err != nil {
		return errors.Wrap(err, "partitions")
	}
	before := time.Now()
	members, err := storer.ScanAll(ctx, l.options.Table, memberPrefix)
	if err != nil {
		return errors.Wrap(err, "members")
	}
	l.mu.Lock()
	l.membersReadAt, l.mapReadAt = before, time.Now()
	l.updateMembers(members, l.mapReadAt)
	if parts != nil {
		l.updatePartitions(parts)
		l.markerVersion = marker
	}
	lost := l.superseded()
	l.mu.Unlock()
	for _, p := range lost {
		l.drop(p)
	}
	return nil
}

// readMap returns the partition rows if one may have changed since they were last read,
// else nil. Every change of a partition row also writes the marker row, so an unchanged
// marker means an unchanged map.
func (l *Leaser) readMap(ctx context.Context) (uint64, []storer.Row, error) {
	row, err := l.options.Table.Get(ctx, markerKey)
	if err != nil || (row.Version != 0 && row.Version == l.markerVersion) {
		return row.Version, nil, err
	}
	parts, err := storer.ScanAll(ctx, l.options.Table, partitionPrefix)
	if parts == nil {
		parts = []storer.Row{}
	}
	return row.Version, parts, err
}

// updateMembers records the member rows, with now as the time of every new version.
func (l *Leaser) updateMembers(rows []storer.Row, now time.Time) {
	present := make(map[string]bool, len(rows))
	for _, r := range rows {
		m, err := ParseMember(r.Value)
		if err != nil {
			klog.Warningf("leaser: ignored row %s: %v", r.Key, err)
			continue
		}
		present[m.Session] = true
		if known, ok := l.observed[m.Session]; !ok || known.version != r.Version {
			l.observed[m.Session] = observedMember{member: m, version: r.Version, changedAt: now}
		}
	}
	for s := range l.observed {
		if !present[s] {
			delete(l.observed, s)
		}
	}
}

// updatePartitions replaces the partition map with the rows.
func (l *Leaser) updatePartitions(rows []storer.Row) {
	clear(l.partitionRows)
	clear(l.owners)
	for _, r := range rows {
		n, p, err := ParsePartition(r.Key, r.Value)
		if err != nil || n >= l.options.Partitions {
			klog.Warningf("leaser: ignored row %s: %v", r.Key, err)
			continue
		}
		l.partitionRows[n], l.owners[n] = r, p
	}
}

// superseded returns the held partitions whose rows name another owner or have a newer
// version.
func (l *Leaser) superseded() []int {
	var lost []int
	for p, f := range l.held {
		if l.owners[p].Session != l.options.Session || l.partitionRows[p].Version > f.Version {
			lost = append(lost, p)
		}
	}
	slices.Sort(lost)
	return lost
}

// drop removes a partition from those that are held and notifies the observer.
func (l *Leaser) drop(p int) {
	l.mu.Lock()
	_, held := l.held[p]
	delete(l.held, p)
	l.mu.Unlock()
	if held {
		klog.Infof("leaser: no longer holds partition %d.", p)
		l.options.Observer.Lost(p)
	}
}

func (l *Leaser) validLocked() bool {
	return !l.renewedAt.IsZero() && elapsed(l.renewedAt) < l.options.Lifetime-l.options.Margin
}

// elapsed returns the longer of monotonic and wall time since t, because the monotonic
// clock stops while a VM is suspended and the wall clock may be set back.
func elapsed(t time.Time) time.Duration {
	return max(time.Since(t), time.Now().Round(0).Sub(t.Round(0)))
}
