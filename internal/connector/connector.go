package connector

import (
	"context"
	"math"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

const (
	readBufferBytes = 4 << 10
	// maxHeadBytes bounds the head of a response, and what the read buffer takes beyond it.
	maxHeadBytes = 64 << 10
	// headCopies is the memory of a head as a multiple of its bytes: its fields, and the map of
	// them that is written to the client.
	headCopies = 4
	// usualFields is the number of fields of a head that are not counted, and fieldBytes the
	// memory that each further one takes in both maps in addition to its bytes.
	usualFields = 64
	fieldBytes  = 256
	// dialTimeout allows for one lost SYN packet, which is retransmitted after a second.
	dialTimeout = 1500 * time.Millisecond
	// userTimeout is the time after which a connection with unacknowledged bytes is closed. A
	// sound replica may stand still for a second or two; TCP sends again at 1.4 and 3 s.
	userTimeout = 3500 * time.Millisecond
	// idleMargin is subtracted from the replica's idle timeout, so that an idle connection
	// is dropped before the replica closes it.
	idleMargin = 700 * time.Millisecond
	// defaultIdleTimeout applies if the replica sends no Keep-Alive timeout.
	defaultIdleTimeout = 4 * time.Second
	// maxFreshIdle is the maximum idle time of a connection for a call that asks for a
	// fresh one, because a failure on a stale connection would be costly.
	maxFreshIdle = 1500 * time.Millisecond
	// maxIdleConnections limits the idle connections to one instance.
	maxIdleConnections = 8
	// unusedPoolTimeout is how long an empty pool is kept after its last use. Its replica
	// may no longer exist.
	unusedPoolTimeout = 30 * time.Second
)

// ErrConnectionLimit is returned if the limit of connections to an instance is reached.
var ErrConnectionLimit = errors.New("connector: connection limit reached")

// ErrUnreached is returned by a Dialer if peers tried to reach the replica and did not. Any
// other error says nothing about the replica.
var ErrUnreached = errors.New("connector: peers do not reach the replica either")

// Counts are a Connector's counters: connections dialed and reused, failed exchanges and
// dials, and responses to other requests.
type Counts struct {
	Dialed, Reused, Failed, Foreign int64
	// Detoured is the number of connections that were opened through peers.
	Detoured int64
	// Identified is the number of reports that replicas were asked for.
	Identified int64
}

// Connector opens connections to replicas and pools the idle ones.
type Connector struct {
	dialer net.Dialer
	paths  *paths

	mu    sync.Mutex
	pools map[string]*pool

	// onEnd is called when the process of an instance is seen to end; it may be nil.
	onEnd func(instance string)

	dialed, reused, failed, foreign, detoured, identified atomic.Int64
}

// New returns a connector without connections.
func New() *Connector {
	c := &Connector{pools: map[string]*pool{}, paths: newPaths()}
	c.dialer = net.Dialer{Timeout: dialTimeout, KeepAlive: -1, Control: UserTimeoutControl(userTimeout)}
	return c
}

// Counts returns the current counters.
func (c *Connector) Counts() Counts {
	return Counts{c.dialed.Load(), c.reused.Load(), c.failed.Load(), c.foreign.Load(), c.detoured.Load(), c.identified.Load()}
}

// Close closes the idle connections.
func (c *Connector) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, p := range c.pools {
		for _, x := range p.idle {
			_ = x.Close()
		}
		p.open -= len(p.idle)
		p.idle = nil
	}
}

// EvictIdle closes the idle connections that have reached their idle timeout and removes
// unused pools.
func (c *Connector) EvictIdle(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.paths.evict(now)
	for instance, p := range c.pools {
		kept := p.idle[:0]
		for _, x := range p.idle {
			if now.Sub(x.lastUsed) < x.idleTimeout {
				kept = append(kept, x)
				continue
			}
			_ = x.Close()
			p.open--
		}
		p.idle = kept
		if p.open == 0 && now.Sub(p.lastUsed) > unusedPoolTimeout {
			delete(c.pools, instance)
		}
	}
}

// get returns an idle connection or opens a new one.
func (c *Connector) get(ctx context.Context, q *Call) (*conn, error) {
	now := time.Now()
	maxIdle := time.Duration(math.MaxInt64)
	if q.Fresh {
		maxIdle = maxFreshIdle
	}
	detoured := q.Detour != nil && c.paths.cut(q.Instance, now)
	p, x, stale, full := c.take(q, now, maxIdle, detoured)
	for _, s := range stale {
		if s.brokenOff && !s.detoured {
			c.sawEnd(q.Instance)
		}
		_ = s.Close()
	}
	switch {
	case full:
		return nil, ErrConnectionLimit
	case x != nil:
		c.reused.Add(1)
		if x.detoured && c.paths.probe(q.Instance, now) {
			go (&probe{connector: c, call: q}).run()
		}
		return x, nil
	}
	x, err := c.dial(ctx, q)
	if err != nil {
		c.uncount(q.Instance)
		return nil, err
	}
	x.heardAt = &p.heardAt
	return x, nil
}

// take returns an idle connection, or counts one that is to be opened unless the pool is full.
func (c *Connector) take(q *Call, now time.Time, maxIdle time.Duration, detoured bool) (p *pool, x *conn, stale []*conn, full bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	p = c.pool(q.Instance)
	p.lastUsed = now
	x, stale = p.take(now, maxIdle, detoured, q.Process, hashID(q.ID))
	if x == nil && q.Limit > 0 && p.open-len(stale) >= q.Limit {
		if s := p.dropOldest(); s != nil {
			stale = append(stale, s)
		}
	}
	p.open -= len(stale)
	full = x == nil && q.Limit > 0 && p.open >= q.Limit
	if x == nil && !full {
		p.open++
	}
	return p, x, stale, full
}

// pool returns the pool of an instance, and creates it on first use. The caller holds the
// lock.
func (c *Connector) pool(instance string) *pool {
	p := c.pools[instance]
	if p == nil {
		p = &pool{}
		c.pools[instance] = p
	}
	return p
}

// CutOff returns since when this daemon reaches no replica while its peers do, and false if
// that is not so.
func (c *Connector) CutOff() (time.Time, bool) { return c.paths.allCut() }

// IsCut reports whether the link to a replica counts as cut: peers reach the replica, and this
// daemon does not.
func (c *Connector) IsCut(instance string) bool { return c.paths.cut(instance, time.Now()) }

// MayDial reports whether a peer's connection to a replica should be tried: its link does not
// count as cut, or is to be probed now. What a daemon without requests of its own knows of its
// links would otherwise stay as it is.
func (c *Connector) MayDial(instance string) bool {
	now := time.Now()
	return !c.paths.cut(instance, now) || c.paths.probe(instance, now)
}

// DialDirectly opens a connection to a replica for a peer.
func (c *Connector) DialDirectly(ctx context.Context, instance, address string) (net.Conn, error) {
	n, err := c.dialer.DialContext(ctx, "tcp", address)
	c.sawDial(instance, err)
	if err == nil {
		c.paths.reached(instance, time.Now())
	}
	return n, err
}

// Refused reports whether the VM at an address answers and no process listens there. It
// returns false if that is not certain.
func Refused(ctx context.Context, address string) bool {
	d := net.Dialer{Timeout: dialTimeout, KeepAlive: -1}
	n, err := d.DialContext(ctx, "tcp", address)
	if err == nil {
		_ = n.Close()
	}
	return errors.Is(err, syscall.ECONNREFUSED)
}

// uncount removes a connection that could not be opened from the count of its pool.
func (c *Connector) uncount(instance string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if p := c.pools[instance]; p != nil {
		p.open--
	}
}

// put returns a reusable connection to its pool, or closes it if the pool is full or the
// connection is not reusable.
func (c *Connector) put(instance string, x *conn, limit int, reusable bool) {
	maxIdle := maxIdleConnections
	if limit > 0 {
		maxIdle = min(maxIdleConnections, limit)
	}
	c.mu.Lock()
	p := c.pools[instance]
	reusable = reusable && x.reusable() && !x.sent.full() && x.detoured == c.paths.cut(instance, time.Now())
	if reusable && p != nil && len(p.idle) < maxIdle {
		x.lastUsed = time.Now()
		p.idle = append(p.idle, x)
		c.mu.Unlock()
		return
	}
	if p != nil {
		p.open--
	}
	c.mu.Unlock()
	_ = x.Close()
}
