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
)

const (
	defaultPeriod   = 2 * time.Second
	defaultLifetime = 6 * time.Second
	defaultMargin   = 500 * time.Millisecond
	forgetFactor    = 10
	maxHandovers    = 16
	drainTimeout    = 5 * time.Second
	minTickPause    = 200 * time.Millisecond
)

// Options configures a Leaser; zero durations take defaults.
type Options struct {
	Table      storer.Table
	Session    string
	Address    string
	Zone       string
	Partitions int
	// Period is the time between renewals.
	Period time.Duration
	// Lifetime is how long a lease holds without renewal.
	Lifetime time.Duration
	// Margin is how much earlier than observers the holder stops.
	Margin   time.Duration
	Observer Observer
}

// sighting is when an observer last saw a member's row change.
type sighting struct {
	member  Member
	version uint64
	at      time.Time
}

// Leaser holds a daemon's lease and partitions.
type Leaser struct {
	o       Options
	mu      sync.Mutex
	self    Member
	version uint64
	renewed time.Time
	ended   bool
	// changed says that the row states something old.
	changed bool
	// marker is the version of the marker row when the map was charted.
	marker  uint64
	seen    map[string]sighting
	missing map[string]time.Time
	rows    map[int]storer.Row
	owners  map[int]Partition
	held    map[int]Fence
	// before is when the last read of the members began; leases are judged as of then.
	before time.Time
	synced time.Time
	kick   chan struct{}
	tomb   *tomb.Tomb
}

// New returns a leaser that holds nothing yet.
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
		o:    o,
		self: Member{Session: o.Session, Address: o.Address, Zone: o.Zone, State: Live},
		seen: map[string]sighting{}, missing: map[string]time.Time{},
		rows: map[int]storer.Row{}, owners: map[int]Partition{},
		held: map[int]Fence{}, kick: make(chan struct{}, 1),
	}
}

// Start renews the lease until the context ends.
func (l *Leaser) Start(ctx context.Context) {
	l.tomb, _ = tomb.WithContext(ctx)
	l.tomb.Go(l.run)
}

// Wait returns when the leaser has stopped.
func (l *Leaser) Wait() error { return l.tomb.Wait() }

func (l *Leaser) run() error {
	ctx := l.tomb.Context(context.Background())
	for {
		l.Tick(ctx)
		pause := time.After(l.o.Period)
		select {
		case <-time.After(min(minTickPause, l.o.Period)):
		case <-l.tomb.Dying():
			return nil
		}
		select {
		case <-pause:
		case <-l.kick:
		case <-l.tomb.Dying():
			return nil
		}
	}
}

// Refresh asks for a round soon, for a map that has proved stale.
func (l *Leaser) Refresh() {
	select {
	case l.kick <- struct{}{}:
	default:
	}
}

// Tick renews the lease, looks at the other members and moves partitions, once.
func (l *Leaser) Tick(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, l.o.Lifetime)
	defer cancel()
	if err := l.renew(ctx); err != nil {
		klog.Warningf("leaser: renewal failed: %v", err)
	}
	if err := l.look(ctx); err != nil {
		klog.Warningf("leaser: look failed: %v", err)
		return
	}
	l.balance(ctx)
}

// renew writes the member row on condition of its last version.
func (l *Leaser) renew(ctx context.Context) error {
	l.mu.Lock()
	if l.ended || (!l.changed && elapsed(l.renewed) < l.o.Period/2) {
		l.mu.Unlock()
		return nil
	}
	l.changed = false
	l.self.Counter++
	m, version := l.self, l.version
	l.mu.Unlock()
	data, err := json.Marshal(m)
	if err != nil {
		return errors.Wrap(err, "encode member")
	}
	start := time.Now()
	key := MemberKey(m.Session)
	fresh, err := l.o.Table.Commit(ctx, storer.Transaction{
		Conditions: []storer.Condition{{Key: key, Version: version}},
		Writes:     []storer.Write{{Key: key, Value: data}},
	})
	if err == nil {
		l.extend(start, fresh)
		return nil
	}
	return l.reread(ctx, key, m.Counter, start, err)
}

// reread finds out whether a renewal without an answer took effect.
func (l *Leaser) reread(ctx context.Context, key string, counter uint64, start time.Time, cause error) error {
	row, err := l.o.Table.Get(ctx, key)
	if err != nil {
		return cause
	}
	if row.Version == 0 {
		l.mu.Lock()
		known := l.version != 0
		l.mu.Unlock()
		if known {
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
	l.version = row.Version
	l.mu.Unlock()
	return cause
}

// extend takes a renewal. After a lapse others may be taking partitions over
// right now, so all are given up and taken again by compare-and-swap.
func (l *Leaser) extend(start time.Time, version uint64) {
	l.mu.Lock()
	lapsed := !l.validLocked()
	l.mu.Unlock()
	if lapsed {
		l.loseAll()
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.renewed, l.version = start, version
}

// abandon gives everything up after other members removed the row.
func (l *Leaser) abandon() {
	l.mu.Lock()
	l.version = 0
	l.mu.Unlock()
	l.loseAll()
}

func (l *Leaser) loseAll() {
	for _, f := range l.Held() {
		l.lose(f.Partition)
	}
}

// look reads the partition map and then the members. The order matters: a member
// that took a partition before the map was read is seen with its renewal.
func (l *Leaser) look(ctx context.Context) error {
	marker, parts, err := l.readMap(ctx)
	if err != nil {
		return errors.Wrap(err, "partitions")
	}
	before := time.Now()
	members, err := storer.All(ctx, l.o.Table, memberPrefix)
	if err != nil {
		return errors.Wrap(err, "members")
	}
	l.mu.Lock()
	l.before, l.synced = before, time.Now()
	l.sight(members, l.synced)
	if parts != nil {
		l.chart(parts)
		l.marker = marker
	}
	lost := l.stolen()
	l.mu.Unlock()
	for _, p := range lost {
		l.lose(p)
	}
	return nil
}

// readMap returns the partition rows if one has changed since they were charted.
// Every swap writes the marker row too, so an unchanged marker means an unchanged map.
func (l *Leaser) readMap(ctx context.Context) (uint64, []storer.Row, error) {
	row, err := l.o.Table.Get(ctx, markerKey)
	if err != nil || (row.Version != 0 && row.Version == l.marker) {
		return row.Version, nil, err
	}
	parts, err := storer.All(ctx, l.o.Table, partitionPrefix)
	if parts == nil {
		parts = []storer.Row{}
	}
	return row.Version, parts, err
}

func (l *Leaser) sight(rows []storer.Row, now time.Time) {
	present := make(map[string]bool, len(rows))
	for _, r := range rows {
		m, err := ParseMember(r.Value)
		if err != nil {
			klog.Warningf("leaser: skipped %s: %v", r.Key, err)
			continue
		}
		present[m.Session] = true
		if old, ok := l.seen[m.Session]; !ok || old.version != r.Version {
			l.seen[m.Session] = sighting{member: m, version: r.Version, at: now}
		}
	}
	for s := range l.seen {
		if !present[s] {
			delete(l.seen, s)
		}
	}
}

func (l *Leaser) chart(rows []storer.Row) {
	clear(l.rows)
	clear(l.owners)
	for _, r := range rows {
		n, p, err := ParsePartition(r.Key, r.Value)
		if err != nil || n >= l.o.Partitions {
			klog.Warningf("leaser: skipped %s: %v", r.Key, err)
			continue
		}
		l.rows[n], l.owners[n] = r, p
	}
}

// stolen returns the held partitions whose rows name another owner or version.
func (l *Leaser) stolen() []int {
	var lost []int
	for p, f := range l.held {
		if l.owners[p].Session != l.o.Session || l.rows[p].Version > f.Version {
			lost = append(lost, p)
		}
	}
	slices.Sort(lost)
	return lost
}

func (l *Leaser) lose(p int) {
	l.mu.Lock()
	_, held := l.held[p]
	delete(l.held, p)
	l.mu.Unlock()
	if held {
		klog.Infof("leaser: lost partition %d.", p)
		l.o.Observer.Lost(p)
	}
}

func (l *Leaser) validLocked() bool {
	return !l.renewed.IsZero() && elapsed(l.renewed) < l.o.Lifetime-l.o.Margin
}

// elapsed returns the longer of monotonic and wall time since t: the monotonic
// clock stands still while a VM is suspended, the wall clock may be set back.
func elapsed(t time.Time) time.Duration {
	return max(time.Since(t), time.Now().Round(0).Sub(t.Round(0)))
}
