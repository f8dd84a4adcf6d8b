package tunneler

import (
	"context"

	"pimentorail.example/pimentorail/internal/tracker"
)

// ContradictedAtTimeout reports whether the answer of a peer that reaches the replica counts if
// the time of the inquiry is over at the moment at which it is found.
func ContradictedAtTimeout(t *Tunneler, r *tracker.Replica) bool {
	done := make(chan struct{})
	defer close(done)
	q := newInquiry(t, t.newHeader(r), func(context.Context) (reached, others bool) {
		<-done
		return true, true
	})
	q.answers <- answer{status: connected}
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	return q.run(ctx, nil, nil).contradicted()
}
