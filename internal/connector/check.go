package connector

import (
	"context"
	"time"

	"pimentorail.example/pimentorail/internal/supervisor"
)

const (
	// silenceBeforeCheck is how long a replica may send nothing, while a request waits for its
	// response, until the link to it is checked.
	silenceBeforeCheck = 250 * time.Millisecond
	// checkPeriod is the time between two checks of a link, and checkTimeout bounds one.
	checkPeriod  = time.Second
	checkTimeout = time.Second
)

// linkCheck opens a connection to a replica that is silent: open connections do not fail when
// their link is cut. The connection is kept for the next request.
type linkCheck struct {
	connector *Connector
	call      *Call
}

func (k *linkCheck) run() {
	defer supervisor.Recover("connector: check of a link")
	c, now := k.connector, time.Now()
	if !c.beginCheck(k.call, now) {
		return
	}
	q := *k.call
	q.Deadline = now.Add(checkTimeout)
	if x, err := c.dial(context.Background(), &q); err == nil {
		c.adopt(&q, x)
	}
}

// beginCheck reports whether the link to a replica is to be checked now.
func (c *Connector) beginCheck(q *Call, now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	p := c.pool(q.Instance)
	if now.UnixNano()-p.heardAt.Load() < int64(silenceBeforeCheck) || now.Sub(p.checkedAt) < checkPeriod {
		return false
	}
	p.checkedAt = now
	return true
}
