package relayer

import (
	"encoding/json"
	"sync"
	"sync/atomic"
	"time"

	"pimentorail.example/pimentorail/internal/assigner"
	"pimentorail.example/pimentorail/internal/storer"
)

// member is the row of one daemon.
type member struct {
	// Address is where peers reach it, as host:port.
	Address string `json:"address"`
}

// members are the peers of one availability zone.
type members struct {
	me string

	mu    sync.Mutex
	peers map[string]peer
	// others are the peers for reading, replaced as a whole.
	others atomic.Pointer[[]assigner.Peer]
}

// peer is another daemon with what is known of it.
type peer struct {
	address string
	// avoid is until when it is not asked, after a failure.
	avoid time.Time
}

func newMembers(me string) *members { return &members{me: me, peers: map[string]peer{}} }

// Replace implements follower.Sink.
func (m *members) Replace(rows []storer.Row, _ uint64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	old := m.peers
	m.peers = map[string]peer{}
	for _, r := range rows {
		m.take(r, old)
	}
	m.list()
}

// Update implements follower.Sink.
func (m *members) Update(changes []storer.Change, _ uint64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, c := range changes {
		if c.Removed {
			delete(m.peers, c.Name())
			continue
		}
		m.take(c.Row, m.peers)
	}
	m.list()
}

// list renews the list of all peers.
func (m *members) list() {
	others := make([]assigner.Peer, 0, len(m.peers))
	for name, p := range m.peers {
		others = append(others, assigner.Peer{Name: name, Address: p.address})
	}
	m.others.Store(&others)
}

// Lost implements follower.Sink; peers stay known.
func (m *members) Lost(error) {}

// Regained implements follower.Sink.
func (m *members) Regained() {}

func (m *members) take(r storer.Row, old map[string]peer) {
	var x member
	name := r.Name()
	if name == m.me || json.Unmarshal(r.Value, &x) != nil || x.Address == "" {
		return // A row that can't be read names no peer.
	}
	p := old[name]
	m.peers[name] = peer{address: x.Address, avoid: p.avoid}
}

// usable returns the addresses of peers that may be asked.
func (m *members) usable(now time.Time) []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	var list []string
	for _, p := range m.peers {
		if now.After(p.avoid) {
			list = append(list, p.address)
		}
	}
	return list
}

func (m *members) failed(address string, until time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for name, p := range m.peers {
		if p.address == address {
			p.avoid = until
			m.peers[name] = p
		}
	}
}

// count returns the number of daemons of the zone, this one included.
func (m *members) count() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.peers) + 1
}
