package sequencer

import (
	"context"
	"time"
)

// Renew extends a ticket's lifetime and stores the replica that serves the call.
func (o *Owner) Renew(ctx context.Context, q *RenewRequest, r *RenewReply) {
	if _, ok := o.fence(q.Name); !ok {
		r.Moved = true
		return
	}
	t, p, fault := o.lockLoaded(ctx, q.Name)
	if fault != nil {
		return
	}
	defer t.release()
	if c := p.openCall; c != nil && c.ticket.Attempt == q.Attempt {
		c.expires = time.Now().Add(ticketLifetime)
		if q.Target != "" {
			c.replica = q.Target
		}
		r.Alive = true
	}
}
