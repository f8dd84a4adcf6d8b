package relayer

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"pimentorail.example/pimentorail/internal/assigner"
	"pimentorail.example/pimentorail/internal/storer"
)

// callable returns the peers whose rows were not renewed and that are to be called now. One
// whose address another daemon has now is not called, since that one would answer.
func (m *members) callable(now time.Time) []assigner.Peer {
	m.mu.Lock()
	defer m.mu.Unlock()
	var list []assigner.Peer
	for name, p := range m.peers {
		if len(list) == maxLivenessCalls {
			break
		}
		if !p.lifetime.call(now) {
			continue
		}
		if m.replacedLocked(name) {
			p.lifetime.fail()
		} else {
			list = append(list, assigner.Peer{Name: name, Address: p.address})
		}
		m.peers[name] = p
	}
	m.updateList()
	return list
}

// replacedLocked reports whether a daemon that registered later has the address of a peer.
func (m *members) replacedLocked(name string) bool {
	p := m.peers[name]
	if p.address == m.address {
		return true
	}
	for other, o := range m.peers {
		if other != name && o.address == p.address && o.lifetime.version > p.lifetime.version {
			return true
		}
	}
	return false
}

// called records whether a peer answered a call. It returns true if it has expired by that.
func (m *members) called(name string, answered bool) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	p, ok := m.peers[name]
	if !ok {
		return false
	}
	before := p.lifetime.expired()
	if answered {
		p.lifetime.answer()
	} else {
		p.lifetime.fail()
	}
	m.peers[name] = p
	if p.lifetime.expired() && p.lifetime.version == 0 {
		delete(m.peers, name) // It announced itself and never wrote a row.
	}
	m.updateList()
	return !before && p.lifetime.expired()
}

// removable returns the rows of dead daemons that this daemon is to remove now, with their
// versions. Each is removed by one of the daemons that renew their rows.
func (m *members) removable(now time.Time) []storer.Condition {
	m.mu.Lock()
	defer m.mu.Unlock()
	var list []storer.Condition
	for name, p := range m.peers {
		if len(list) == maxRemovals || p.lifetime.version == 0 || !m.leadsLocked(name) || !p.lifetime.remove(now) {
			continue
		}
		m.peers[name] = p
		list = append(list, storer.Condition{Key: storer.Prefix(m.table) + name, Version: p.lifetime.version})
	}
	return list
}

// leadsLocked reports whether this daemon comes first among those that may remove a row.
func (m *members) leadsLocked(dead string) bool {
	own := xxhash.Sum64String(m.self + "/" + dead)
	for name, p := range m.peers {
		if p.lifetime.renews && !p.lifetime.expired() && xxhash.Sum64String(name+"/"+dead) > own {
			return false
		}
	}
	return true
}
