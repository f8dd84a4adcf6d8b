package assigner

import "pimentorail.example/pimentorail/internal/messenger"

// Peer is another daemon.
type Peer struct {
	Name, Address string
	// Process is the name of the daemon's process, which changes with each start. It is empty
	// for a daemon of a build that does not publish it.
	Process string
}

// Peers are the other daemons of the zone.
type Peers interface {
	messenger.Caller
	// Others returns the other daemons. The caller must not modify the list.
	Others() []Peer
}
