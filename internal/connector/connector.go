package connector

import (
	"bufio"
	"context"
	"math"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
)

const (
	readBuffer = 4 << 10
	// dialTimeout allows one lost opening packet, which is sent again after a second.
	dialTimeout = 1500 * time.Millisecond
	// userTimeout ends connections whose peer does not acknowledge bytes.
	userTimeout = 1500 * time.Millisecond
	// idleMargin is how much earlier than the replica we give up an idle connection.
	idleMargin = 700 * time.Millisecond
	// defaultIdle is used where the replica does not say how long it waits.
	defaultIdle = 4 * time.Second
	// freshIdle bounds the idle time where a stale connection would be costly.
	freshIdle = 1500 * time.Millisecond
	// maxIdle bounds the idle connections to one replica.
	maxIdle = 8
	// unusedPool is when the pool of a replica that is gone is dropped.
	unusedPool = 30 * time.Second
)

// ErrFull says that the limit of connections to a replica is reached.
var ErrFull = errors.New("connector: limit of connections reached")

// Counts are what a Connector did so far.
type Counts struct {
	Dialed, Reused, Failed, Foreign int64
}

// Connector makes and keeps connections to replicas.
type Connector struct {
	dialer net.Dialer

	mu    sync.Mutex
	pools map[string]*pool

	dialed, reused, failed, foreign atomic.Int64
}

// New returns a connector without connections.
func New() *Connector {
	c := &Connector{pools: map[string]*pool{}}
	c.dialer = net.Dialer{Timeout: dialTimeout, KeepAlive: -1, Control: EndSilent(userTimeout)}
	return c
}

// Counts returns what was done so far.
func (c *Connector) Counts() Counts {
	return Counts{c.dialed.Load(), c.reused.Load(), c.failed.Load(), c.foreign.Load()}
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

// Trim closes the idle connections that are too old to be used and forgets unused pools.
func (c *Connector) Trim(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for instance, p := range c.pools {
		kept := p.idle[:0]
		for _, x := range p.idle {
			if now.Sub(x.used) < x.idle {
				kept = append(kept, x)
				continue
			}
			_ = x.Close()
			p.open--
		}
		p.idle = kept
		if p.open == 0 && now.Sub(p.used) > unusedPool {
			delete(c.pools, instance)
		}
	}
}

// get returns an idle connection or makes one.
func (c *Connector) get(ctx context.Context, q *Call) (*conn, error) {
	now := time.Now()
	most := time.Duration(math.MaxInt64)
	if q.Fresh {
		most = freshIdle
	}
	c.mu.Lock()
	p := c.pools[q.Instance]
	if p == nil {
		p = &pool{}
		c.pools[q.Instance] = p
	}
	p.used = now
	x, stale := p.take(now, most)
	p.open -= len(stale)
	full := x == nil && q.Limit > 0 && p.open >= q.Limit
	if x == nil && !full {
		p.open++
	}
	c.mu.Unlock()
	for _, s := range stale {
		_ = s.Close()
	}
	switch {
	case full:
		return nil, ErrFull
	case x != nil:
		c.reused.Add(1)
		return x, nil
	}
	x, err := c.dial(ctx, q)
	if err != nil {
		c.forget(q.Instance)
		return nil, err
	}
	return x, nil
}

func (c *Connector) dial(ctx context.Context, q *Call) (*conn, error) {
	c.dialed.Add(1)
	ctx, cancel := context.WithDeadline(ctx, q.Deadline)
	defer cancel()
	n, err := c.dialer.DialContext(ctx, "tcp", q.Address)
	if err != nil {
		c.failed.Add(1)
		return nil, err
	}
	return &conn{Conn: n, reader: bufio.NewReaderSize(n, readBuffer), idle: defaultIdle}, nil
}

func (c *Connector) forget(instance string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if p := c.pools[instance]; p != nil {
		p.open--
	}
}

// put keeps a connection for the next exchange, or closes it.
func (c *Connector) put(instance string, x *conn, limit int, keep bool) {
	most := maxIdle
	if limit > 0 {
		most = min(maxIdle, limit)
	}
	c.mu.Lock()
	p := c.pools[instance]
	if keep && p != nil && len(p.idle) < most {
		x.used = time.Now()
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
