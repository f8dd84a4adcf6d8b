package rationer

import (
	"context"
	"encoding/json"
	"time"

	"github.com/pkg/errors"

	"pimentorail.example/pimentorail/internal/follower"
	"pimentorail.example/pimentorail/internal/ratelimiter"
	"pimentorail.example/pimentorail/internal/storer"
	"pimentorail.example/pimentorail/internal/supervisor"
)

const (
	// membersTable holds a row for each VM whose daemon applies limits. A row stays while its daemon is down, so that the
	// ring does not change with each restart.
	membersTable   = "limit-members/peers"
	membersPeriod  = 5 * time.Second
	membersTimeout = time.Second
)

// memberRow is the value of a member's row.
type memberRow struct {
	// Address is the daemon's address for peers, as host:port.
	Address string `json:"address"`
}

// membership follows the rows of the members, from the first configuration that names accounts on.
type membership struct {
	rationer *Rationer
	rows     map[string]member
	// written is the version of this daemon's own row as it wrote it.
	written uint64
}

// member is a member and the version of its row.
type member struct {
	ratelimiter.Member
	version uint64
}

func (m *membership) run() error {
	x := m.rationer
	for !x.options.Needed() {
		select {
		case <-time.After(tick):
		case <-x.tomb.Dying():
			return nil
		}
	}
	follower.Start(x.tomb.Context(nil), x.dependencies.Feed, m, follower.Options{Table: membersTable, PollInterval: membersPeriod, Timeout: membersTimeout, VerifyAfter: membersPeriod})
	return (&expiry{membership: m}).run()
}

// Replace implements follower.Sink.
func (m *membership) Replace(rows []storer.Row, _ uint64) {
	m.lock()
	m.rows = map[string]member{}
	for _, r := range rows {
		m.add(r)
	}
	m.unlock()
	m.update()
}

// Update implements follower.Sink.
func (m *membership) Update(changes []storer.Change, _ uint64) {
	m.lock()
	for _, c := range changes {
		if c.Removed {
			delete(m.rows, c.Name())
			continue
		}
		m.add(c.Row)
	}
	m.unlock()
	m.update()
}

// StoreUnavailable implements follower.Sink; members are kept during an outage.
func (m *membership) StoreUnavailable(error) {}

// StoreRecovered implements follower.Sink.
func (m *membership) StoreRecovered() {}

func (m *membership) lock()   { m.rationer.mu.Lock() }
func (m *membership) unlock() { m.rationer.mu.Unlock() }

func (m *membership) add(r storer.Row) {
	var value memberRow
	if json.Unmarshal(r.Value, &value) != nil || value.Address == "" {
		return // A row that has no valid address.
	}
	m.rows[r.Name()] = member{ratelimiter.Member{Name: r.Name(), Address: value.Address}, r.Version}
}

// update writes this daemon's row if it is missing, and sets the ring. A daemon whose row could not be written is not a
// member yet, since others would not ask for its vote.
func (m *membership) update() {
	x := m.rationer
	m.lock()
	own, ok := m.rows[x.self.Name]
	m.unlock()
	if !ok || own.Member != x.self {
		version, err := m.write(own.version)
		if err != nil {
			x.dependencies.Logger.Event("rationer", "member row not written").Err(err).End()
			return
		}
		own = member{x.self, version}
	}
	m.lock()
	defer m.unlock()
	m.rows[x.self.Name] = own
	list := make([]ratelimiter.Member, 0, len(m.rows))
	for _, r := range m.rows {
		list = append(list, r.Member)
	}
	x.limiter.SetRing(ratelimiter.NewRing(list...), time.Now())
}

// write writes this daemon's row if the present one has a version.
func (m *membership) write(version uint64) (uint64, error) {
	x := m.rationer
	value, err := json.Marshal(memberRow{Address: x.self.Address})
	if err != nil {
		return 0, errors.Wrap(err, "encode member row")
	}
	key := storer.Prefix(membersTable) + x.self.Name
	ctx, cancel := context.WithTimeout(x.tomb.Context(nil), membersTimeout)
	defer cancel()
	v, err := x.dependencies.Table.Commit(ctx, storer.Transaction{
		Conditions: []storer.Condition{{Key: key, Version: version}}, Writes: []storer.Write{{Key: key, Value: value}},
	})
	return v, errors.Wrapf(err, "row %q", key)
}

const (
	// expiryPeriod is the time between two calls of the member before this one, and maxSilent the number of them in
	// succession that it must not answer until its row is removed.
	expiryPeriod = time.Minute
	maxSilent    = 15
)

// expiry removes the row of the member before this one on the ring if its VM is gone for good. Until then the members that
// follow it hold its arc.
type expiry struct {
	membership *membership
	name       string
	silent     int
}

func (e *expiry) run() error {
	x := e.membership.rationer
	for {
		select {
		case <-time.After(expiryPeriod):
			_ = supervisor.Do("rationer: expiry of members", e.check)
		case <-x.tomb.Dying():
			return nil
		}
	}
}

func (e *expiry) check() error {
	m := e.membership
	x := m.rationer
	m.lock()
	before, ok := x.limiter.Ring().Before(x.self.Name)
	row, listed := m.rows[before.Name]
	m.unlock()
	if !ok || !listed {
		return nil
	}
	if before.Name != e.name {
		e.name, e.silent = before.Name, 0
	}
	ctx, cancel := context.WithTimeout(x.tomb.Context(nil), membersTimeout)
	defer cancel()
	if x.dependencies.Peers.Call(ctx, before.Address, pingMethod, Empty{}, &Empty{}) == nil {
		e.silent = 0
		return nil
	}
	if e.silent++; e.silent < maxSilent {
		return nil
	}
	key := storer.Prefix(membersTable) + before.Name
	_, err := x.dependencies.Table.Commit(ctx, storer.Transaction{
		Conditions: []storer.Condition{{Key: key, Version: row.version}}, Writes: []storer.Write{{Key: key, Delete: true}},
	})
	x.dependencies.Logger.Event("rationer", "member removed").Str("member", before.Name).Err(err).End()
	e.silent = 0
	return nil
}
