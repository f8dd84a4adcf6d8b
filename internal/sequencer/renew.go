package sequencer

import (
	"context"
	"time"
)

// Renew keeps a ticket alive and notes the target that serves it.
func (o *Owner) Renew(ctx context.Context, q *RenewRequest, r *RenewReply) {
	if _, ok := o.fence(q.Name); !ok {
		r.Moved = true
		return
	}
	t, p, fault := o.enter(ctx, q.Name)
	if fault != nil {
		return
	}
	defer t.release()
	if c := p.open; c != nil && c.ticket.Attempt == q.Attempt {
		c.expires = time.Now().Add(ticketLifetime)
		if q.Target != "" {
			c.target = q.Target
		}
		r.Alive = true
	}
}
