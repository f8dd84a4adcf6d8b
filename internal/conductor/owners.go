package conductor

import (
	"context"
	"time"

	"pimentorail.example/pimentorail/internal/leaser"
	"pimentorail.example/pimentorail/pkg/classifier"
)

const (
	firstPause  = 10 * time.Millisecond
	lastPause   = 250 * time.Millisecond
	callTimeout = 8 * time.Second
)

// Caller makes remote procedure calls; a linker.Pool is one.
type Caller interface {
	Call(ctx context.Context, address, method string, args, reply any) error
}

// Map says which daemon owns a partition; a Leaser is one.
type Map interface {
	Owner(partition int) (leaser.Partition, bool)
	Partitions() int
	Refresh()
	Session() string
}

// owners finds the owner of a partition and calls it.
type owners struct {
	caller Caller
	places Map
}

// ask calls the owner of a partition until it answers or the context ends.
// Methods called this way can be repeated.
func ask[R any](ctx context.Context, o owners, partition int, method string, args any, moved func(*R) bool) (*R, *classifier.Fault) {
	pause := firstPause
	for {
		if p, ok := o.places.Owner(partition); ok {
			reply := new(R)
			once, cancel := context.WithTimeout(ctx, callTimeout)
			err := o.caller.Call(once, p.Address, method, args, reply)
			cancel()
			if err == nil && !moved(reply) {
				return reply, nil
			}
		}
		o.places.Refresh()
		select {
		case <-time.After(pause):
		case <-ctx.Done():
			return nil, classifier.New(classifier.OwnerAway, classifier.RanNo, "partition %d has no owner", partition).After(time.Second)
		}
		pause = min(2*pause, lastPause)
	}
}
