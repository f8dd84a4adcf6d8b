package connector

import (
	"slices"
	"sync/atomic"
	"time"
)

// pool holds the idle connections to one instance of a replica.
type pool struct {
	idle []*conn
	// open is the number of all connections: in use, idle or being dialed.
	open int
	// lastUsed is when a connection was last requested.
	lastUsed time.Time
	// heardAt is when the replica last sent something on a direct connection, in Unix
	// nanoseconds, and checkedAt when its link was last checked because it did not.
	heardAt   atomic.Int64
	checkedAt time.Time
}

// take removes and returns the most recently used idle connection, or nil if none is
// healthy, idle for less than maxIdle, and detoured or not as asked. Connections that are known
// to lead to a process come first, unless that is nil. Those on which the ID was sent before
// stay idle. The caller must close the stale ones.
func (p *pool) take(now time.Time, maxIdle time.Duration, detoured bool, owner Process, id idHash) (found *conn, stale []*conn) {
	var passed []*conn
	for found == nil && len(p.idle) > 0 {
		if owner != nil {
			p.prefer(owner)
		}
		c := p.idle[len(p.idle)-1]
		p.idle = p.idle[:len(p.idle)-1]
		switch {
		case now.Sub(c.lastUsed) >= min(c.idleTimeout, maxIdle) || c.detoured != detoured || !c.healthy():
			stale = append(stale, c)
		case c.sent.contains(id):
			passed = append(passed, c)
		default:
			found = c
		}
	}
	slices.Reverse(passed)
	p.idle = append(p.idle, passed...)
	return found, stale
}

// dropOldest removes and returns the least recently used idle connection, nil if there is none.
func (p *pool) dropOldest() *conn {
	if len(p.idle) == 0 {
		return nil
	}
	c := p.idle[0]
	p.idle = p.idle[1:]
	return c
}

// prefer moves the most recently used connection that is known to lead to a process to the end
// of the idle ones, where it is taken next.
func (p *pool) prefer(owner Process) {
	for i := len(p.idle) - 1; i >= 0; i-- {
		if c := p.idle[i]; owner.Owns(c.openedAt) {
			p.idle = append(append(p.idle[:i], p.idle[i+1:]...), c)
			return
		}
	}
}
