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

// Ended reports whether the process of a replica has ended, after this daemon's own connection
// was refused: peers confirm it, or none of them can be asked and this daemon is not cut off
// itself. It takes at most 300 ms unless the peers of other zones must be read first.
func (t *Tunneler) Ended(ctx context.Context, r *tracker.Replica, reaches Reach) bool {
	e := newInquiry(t, t.newHeader(r), reaches).run(ctx, t.peers.Others(), t.peers.Elsewhere(ctx))
	ended := e.ended() && !isOver(ctx)
	if e.silent() && e.peers > 0 {
		t.logger.Event("tunneler", "no peer answers").Str("replica", r.ID).Int("peers", e.peers).Bool("replicas-reached", e.reaches).Bool("ended", ended).End()
	}
	return ended
}

// isOver reports whether a context has ended. Reads of a connection fail at its deadline, which
// may be just before it ends.
func isOver(ctx context.Context) bool {
	deadline, ok := ctx.Deadline()
	return ctx.Err() != nil || ok && !time.Now().Before(deadline)
}

// newHeader returns the header of the next tunnel.
func (t *Tunneler) newHeader(r *tracker.Replica) header {
	return header{ID: t.name + "." + strconv.FormatInt(t.sequence.Add(1), 10), Replica: r.ID, StartedMS: r.StartedMS}
}

// ask asks peers for a connection until one opens it, and counts their answers.
func (t *Tunneler) ask(ctx context.Context, r *tracker.Replica) (*Conn, map[status]int, error) {
	seen := map[status]int{}
	h := t.newHeader(r)
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
