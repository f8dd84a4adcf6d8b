package connector

import "time"

// pool holds the connections to one instance of a replica.
type pool struct {
	idle []*conn
	// open counts all connections, in use or idle or being made.
	open int
	// used is when the pool was last needed.
	used time.Time
}

// take returns the idle connection that was used last and is younger than most.
func (p *pool) take(now time.Time, most time.Duration) (fit *conn, stale []*conn) {
	for len(p.idle) > 0 {
		c := p.idle[len(p.idle)-1]
		p.idle = p.idle[:len(p.idle)-1]
		if now.Sub(c.used) < min(c.idle, most) && c.quiet() {
			return c, stale
		}
		stale = append(stale, c)
	}
	return nil, stale
}
