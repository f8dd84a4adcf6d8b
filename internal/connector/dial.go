package connector

import (
	"bufio"
	"context"
	"net"
	"time"

	"github.com/pkg/errors"

	"pimentorail.example/pimentorail/internal/supervisor"
)

// detourDelay is how long a direct attempt may take before a peer is asked as well. Within a
// region a connection takes a few milliseconds.
const detourDelay = 80 * time.Millisecond

// dialing opens one connection to a replica, directly or through a peer, whichever way is
// open first.
type dialing struct {
	connector *Connector
	call      *Call
	// direct and detour receive the results of the two attempts.
	direct, detour chan dialResult
	// done is closed when the result is no longer awaited.
	done chan struct{}
}

// dialResult is a connection or why there is none.
type dialResult struct {
	conn net.Conn
	err  error
}

// dial opens a connection to a replica.
func (c *Connector) dial(ctx context.Context, q *Call) (*conn, error) {
	ctx, cancel := context.WithDeadline(ctx, q.Deadline)
	defer cancel()
	d := &dialing{connector: c, call: q, direct: make(chan dialResult), detour: make(chan dialResult), done: make(chan struct{})}
	defer close(d.done)
	way := plan{direct: true}
	if q.Detour != nil {
		way = c.paths.plan(q.Instance, time.Now())
	}
	x, err := d.open(ctx, way)
	if err != nil {
		c.failed.Add(1)
	}
	return x, err
}

// errNoWay is returned if the link to the replica is cut and no peer reaches the replica.
var errNoWay = errors.New("connector: the link to the replica is cut, and no peer reaches it")

// open makes the attempts of a plan and returns the first connection, or the error of the
// direct attempt. It does not wait for a probe if the peers can't help.
func (d *dialing) open(ctx context.Context, p plan) (*conn, error) {
	c, instance := d.connector, d.call.Instance
	attempts := 0
	failure := errNoWay
	var giveUp <-chan time.Time
	if p.direct {
		attempts++
		go directDial{d}.run()
	}
	var wait <-chan time.Time
	switch {
	case p.detour && p.cut:
		attempts++
		go detourDial{d}.run(ctx)
	case p.cut:
		giveUp = time.After(detourDelay)
	case p.detour:
		timer := time.NewTimer(detourDelay)
		defer timer.Stop()
		wait = timer.C
	}
	for attempts > 0 {
		select {
		case r := <-d.direct:
			if r.err == nil {
				return newConn(r.conn, false), nil
			}
			attempts--
			failure = r.err
			if wait != nil {
				wait = nil
				attempts++
				go detourDial{d}.run(ctx)
			}
		case <-wait:
			wait = nil
			attempts++
			go detourDial{d}.run(ctx)
		case r := <-d.detour:
			attempts--
			if r.err == nil {
				c.paths.detoured(instance, time.Now())
				c.detoured.Add(1)
				return newConn(r.conn, true), nil
			}
			if errors.Is(r.err, ErrUnreached) {
				c.paths.unreached(instance, time.Now())
			}
			if p.cut {
				giveUp = time.After(detourDelay)
			}
		case <-giveUp:
			return nil, failure
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
	return nil, failure
}

// directDial is the direct attempt of a dialing.
type directDial struct{ *dialing }

// run dials the replica. A connection that comes too late for the call is kept for the next
// one: it shows that the link works.
func (d directDial) run() {
	defer supervisor.Recover("connector: dial")
	n, err := d.dial()
	select {
	case d.direct <- dialResult{n, err}:
	case <-d.done:
		if err == nil {
			d.connector.adopt(d.call, newConn(n, false))
		}
	}
}

func (d directDial) dial() (n net.Conn, err error) {
	defer supervisor.Return("connector: dial", &err)
	c := d.connector
	c.dialed.Add(1)
	n, err = c.dialer.Dial("tcp", d.call.Address)
	c.sawDial(d.call.Instance, err)
	if err == nil {
		c.paths.reached(d.call.Instance, time.Now())
	}
	return n, err
}

// probe dials a replica whose requests are served through a peer, and keeps the connection.
type probe struct {
	connector *Connector
	call      *Call
}

func (p *probe) run() {
	defer supervisor.Recover("connector: probe")
	c := p.connector
	c.dialed.Add(1)
	if n, err := c.dialer.Dial("tcp", p.call.Address); err == nil {
		c.paths.reached(p.call.Instance, time.Now())
		c.adopt(p.call, newConn(n, false))
	}
}

// detourDial is the attempt of a dialing through peers.
type detourDial struct{ *dialing }

func (d detourDial) run(ctx context.Context) {
	defer supervisor.Recover("connector: detour")
	n, err := d.dial(ctx)
	select {
	case d.detour <- dialResult{n, err}:
	case <-d.done:
		if err == nil {
			_ = n.Close()
		}
	}
}

func (d detourDial) dial(ctx context.Context) (n net.Conn, err error) {
	defer supervisor.Return("connector: detour", &err)
	return d.call.Detour(ctx)
}

// adopt puts a new connection that no call waits for into its pool, unless that is full.
func (c *Connector) adopt(q *Call, x *conn) {
	c.mu.Lock()
	p := c.pool(q.Instance)
	full := q.Limit > 0 && p.open >= q.Limit
	if !full {
		p.open++
		x.heardAt = &p.heardAt
	}
	c.mu.Unlock()
	if full {
		_ = x.Close()
		return
	}
	c.put(q.Instance, x, q.Limit, true)
}

// newConn returns a connection without exchanges.
func newConn(n net.Conn, detoured bool) *conn {
	x := &conn{Conn: n, detoured: detoured, openedAt: time.Now(), idleTimeout: defaultIdleTimeout}
	x.reader = bufio.NewReaderSize(x, readBufferBytes)
	return x
}
