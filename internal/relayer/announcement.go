package relayer

import (
	"context"
	"time"

	"pimentorail.example/pimentorail/internal/assigner"
	"pimentorail.example/pimentorail/internal/supervisor"
)

const (
	joinMethod = serviceName + ".Join"
	// announceTimeout bounds the wait for the first list of peers, and the call to each.
	announceTimeout = time.Second
	// announcePoll is the time between two looks at the list of peers.
	announcePoll = 20 * time.Millisecond
)

// JoinRequest announces a daemon to a peer that may read its member row only seconds later.
type JoinRequest struct {
	// Name is the name of the daemon's VM and Address its address for peers, host:port.
	Name, Address string
	// Process is the name of the daemon's process; it is empty in requests of older builds.
	Process string
}

// JoinReply answers a JoinRequest.
type JoinReply struct{}

// Join adds a daemon to the peers at once.
func (s *Service) Join(q JoinRequest, _ *JoinReply) error {
	s.members.join(q.Name, q.Address, q.Process)
	return nil
}

// announcement tells all peers that this daemon has joined. Daemons that know of different
// peers pick different coordinators.
type announcement struct{ relayer *Relayer }

func (a *announcement) run() error {
	x := a.relayer
	for waited := time.Duration(0); x.members.list.Load() == nil && waited < announceTimeout; waited += announcePoll {
		if !x.sleep(announcePoll) {
			return nil
		}
	}
	for _, p := range x.Others() {
		x.tomb.Go(supervisor.Task("relayer: call of a peer", (&joinCall{relayer: x, peer: p}).run))
	}
	return nil
}

// joinCall is the announcement to one peer. If it fails, the peer reads the member row.
type joinCall struct {
	relayer *Relayer
	peer    assigner.Peer
}

func (c *joinCall) run() error {
	x := c.relayer
	ctx, cancel := context.WithTimeout(x.tomb.Context(nil), announceTimeout)
	defer cancel()
	if err := x.Call(ctx, c.peer.Address, joinMethod, JoinRequest{Name: x.options.VM, Address: x.options.Address, Process: x.options.Process}, &JoinReply{}); err != nil {
		x.logger.Event("relayer", "not announced").Str("peer", c.peer.Name).Err(err).End()
	}
	return nil
}
