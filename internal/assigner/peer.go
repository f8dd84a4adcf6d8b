package assigner

import "pimentorail.example/pimentorail/internal/messenger"

// Peer is another daemon of the zone.
type Peer struct {
	Name, Address string
}

// Peers are the other daemons of the zone.
type Peers interface {
	messenger.Caller
	// Others returns the other daemons. The caller must not modify the list.
	Others() []Peer
}
