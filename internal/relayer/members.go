package relayer

import (
	"encoding/json"
	"sync"
	"sync/atomic"
	"time"

	"pimentorail.example/pimentorail/internal/assigner"
	"pimentorail.example/pimentorail/internal/storer"
	"pimentorail.example/pimentorail/internal/supervisor"
)

// member is the value of a daemon's member row.
type member struct {
	// Address is the daemon's address for peers, as host:port.
	Address string `json:"address"`
	// Process is the name of the daemon's process; older builds do not write it.
	Process string `json:"process,omitempty"`
	// RenewedMS is when the row was last written, in Unix milliseconds. It is zero in the rows
	// of the previous build, which are written once.
	RenewedMS int64 `json:"renewed_ms,omitempty"`
}

// members holds the peers of this daemon in its availability zone.
type members struct {
	self, address, table string

	mu    sync.Mutex
	peers map[string]peer
	// readAt is when the rows were last read.
	readAt time.Time
	// missing is set while this daemon's own row is known to be missing.
	missing bool
	// list is an immutable list of the peers, replaced on each change and read without mu.
	list atomic.Pointer[[]assigner.Peer]
}

// peer is the address of another daemon and its state as a relay.
type peer struct {
	address string
	// process is the name of the daemon's process, empty if it is not known.
	process string
	// avoidUntil is the time until which no call is relayed to it, after a failure.
	avoidUntil time.Time
	lifetime   lifetime
}

func newMembers(self, address, table string) *members {
	return &members{self: self, address: address, table: table, peers: map[string]peer{}}
}

// Replace implements follower.Sink.
func (m *members) Replace(rows []storer.Row, _ uint64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.ageLocked(time.Now())
	old := m.peers
	m.peers, m.missing = map[string]peer{}, true
	for _, r := range rows {
		m.add(r, old)
	}
	m.updateList()
}

// Update implements follower.Sink.
func (m *members) Update(changes []storer.Change, _ uint64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.ageLocked(time.Now())
	for _, c := range changes {
		if c.Removed {
			m.missing = m.missing || c.Name() == m.self
			delete(m.peers, c.Name())
			continue
		}
		m.add(c.Row, m.peers)
	}
	m.updateList()
}

// ageLocked records a read of the rows.
func (m *members) ageLocked(now time.Time) {
	if !m.readAt.IsZero() {
		for name, p := range m.peers {
			p.lifetime.age(now.Sub(m.readAt))
			m.peers[name] = p
		}
	}
	m.readAt = now
}

// updateList rebuilds the immutable list of all peers.
func (m *members) updateList() {
	list := make([]assigner.Peer, 0, len(m.peers))
	for name, p := range m.peers {
		if !p.lifetime.expired() {
			list = append(list, assigner.Peer{Name: name, Address: p.address, Process: p.process})
		}
	}
	m.list.Store(&list)
}

// StoreUnavailable implements follower.Sink; peers are kept during an outage.
func (m *members) StoreUnavailable(error) {}

// StoreRecovered implements follower.Sink.
func (m *members) StoreRecovered() {}

// add adds the peer of a member row and keeps the rest of its state from old.
func (m *members) add(r storer.Row, old map[string]peer) {
	defer func() {
		// The other rows are applied.
		if v := recover(); v != nil {
			_ = supervisor.Report("relayer: member row "+r.Key, v)
		}
	}()
	var value member
	name := r.Name()
	if name == m.self {
		m.missing = false
		return
	}
	if json.Unmarshal(r.Value, &value) != nil || value.Address == "" {
		return // A row that has no valid address.
	}
	p := old[name]
	p.address, p.process = value.Address, value.Process
	p.lifetime.write(r.Version, value.RenewedMS > 0)
	m.peers[name] = p
}

// join adds a peer before its member row is read.
func (m *members) join(name, address, process string) {
	if name == m.self || address == "" {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	p := m.peers[name]
	p.address, p.process, p.avoidUntil = address, process, time.Time{}
	p.lifetime.answer()
	m.peers[name] = p
	m.updateList()
}

// available returns the addresses of the peers to which calls may be relayed now.
func (m *members) available(now time.Time) []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	var list []string
	for _, p := range m.peers {
		if now.After(p.avoidUntil) && !p.lifetime.expired() {
			list = append(list, p.address)
		}
	}
	return list
}

// avoid excludes the peer at an address from relaying until the given time.
func (m *members) avoid(address string, until time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for name, p := range m.peers {
		if p.address == address {
			p.avoidUntil = until
			m.peers[name] = p
		}
	}
}

// count returns the number of daemons of the zone, this one included.
func (m *members) count() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	n := 1
	for _, p := range m.peers {
		if !p.lifetime.expired() {
			n++
		}
	}
	return n
}

// rowMissing reports whether this daemon's own row was removed.
func (m *members) rowMissing() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.missing
}
