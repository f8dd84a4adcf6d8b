package tunneler

import (
	"context"
	"net"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"pimentorail.example/pimentorail/internal/assigner"
	"pimentorail.example/pimentorail/internal/connector"
	"pimentorail.example/pimentorail/internal/logger"
	"pimentorail.example/pimentorail/internal/tracker"
)

const (
	// dialTimeout bounds a peer's attempt to reach the replica, and askTimeout the whole
	// answer of the peer.
	dialTimeout = 150 * time.Millisecond
	askTimeout  = 250 * time.Millisecond
)

// ErrNoPeer is returned if no peer could try to reach the replica.
var ErrNoPeer = errors.New("tunneler: no peer can reach the replica now")

// Peers are the other daemons and the connections to them.
type Peers interface {
	// Others returns the other daemons of the zone, and Elsewhere those of other zones.
	Others() []assigner.Peer
	Elsewhere(ctx context.Context) []assigner.Peer
	OpenStream(ctx context.Context, address, kind string) (net.Conn, error)
}

// Tunneler opens tunnels through peers.
type Tunneler struct {
	peers      Peers
	name       string
	candidates candidates
	sequence   atomic.Int64
	logger     *logger.Logger
}

// New returns a tunneler for the daemon of a name, which no earlier or later process has.
func New(name string, peers Peers, l *logger.Logger) *Tunneler {
	return &Tunneler{peers: peers, name: name, logger: l}
}

// Dial opens a connection to a replica through a peer. It returns connector.ErrUnreached if
// peers tried and did not reach the replica, and ErrNoPeer if none could try.
func (t *Tunneler) Dial(ctx context.Context, r *tracker.Replica) (net.Conn, error) {
	c, seen, err := t.ask(ctx, r)
	switch {
	case err == nil:
		return c, nil
	case ctx.Err() == nil && seen[refused]+seen[unreached] > 0:
		return nil, connector.ErrUnreached
	}
	return nil, err
}

// Ended reports whether no process listens at a replica's address, as far as peers tell. It
// returns false if none of them knows, and true if there are none.
func (t *Tunneler) Ended(ctx context.Context, r *tracker.Replica) bool {
	c, seen, err := t.ask(ctx, r)
	if err == nil {
		_ = c.Close()
		return false
	}
	return seen[refused] > 0 || len(t.peers.Others())+len(t.peers.Elsewhere(ctx)) == 0
}

// ask asks peers for a connection until one opens it, and counts their answers.
func (t *Tunneler) ask(ctx context.Context, r *tracker.Replica) (*Conn, map[status]int, error) {
	seen := map[status]int{}
	h := header{ID: t.name + "." + strconv.FormatInt(t.sequence.Add(1), 10), Replica: r.ID, StartedMS: r.StartedMS}
	for _, p := range t.candidates.choose(t.peers.Others(), t.peers.Elsewhere(ctx), time.Now()) {
		c, s, err := t.open(ctx, p, h)
		if ctx.Err() != nil {
			if c != nil {
				_ = c.Close()
			}
			return nil, seen, ctx.Err()
		}
		if err == nil && s == connected {
			return newConn(c, p.Name, h.ID), seen, nil
		}
		seen[s]++
		if err != nil || s == cutOff || s == busy {
			t.candidates.avoid(p.Address, time.Now())
		}
		// A replica that ended is refused by each peer; only what a peer can't tell is logged.
		if s != refused {
			t.logger.Event("tunneler", "not opened").Str("tunnel", h.ID).Str("replica", r.ID).Str("via", p.Name).Str("status", s.String()).Err(err).End()
		}
	}
	return nil, seen, ErrNoPeer
}

// open asks one peer. The connection is nil unless the status is connected.
func (t *Tunneler) open(ctx context.Context, p assigner.Peer, h header) (net.Conn, status, error) {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	c, err := t.peers.OpenStream(ctx, p.Address, StreamKind)
	if err != nil {
		return nil, 0, err
	}
	deadline, _ := ctx.Deadline()
	_ = c.SetDeadline(deadline)
	stop := context.AfterFunc(ctx, interrupter{c}.run)
	err = h.write(c)
	var s status
	if err == nil {
		s, err = readStatus(c)
	}
	if !stop() || err != nil || s != connected {
		_ = c.Close()
		return nil, s, err
	}
	return c, s, c.SetDeadline(time.Time{})
}

// interrupter makes all pending reads and writes of a connection fail.
type interrupter struct{ conn net.Conn }

func (i interrupter) run() { _ = i.conn.SetDeadline(time.Unix(1, 0)) }
