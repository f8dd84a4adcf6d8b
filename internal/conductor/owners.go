package conductor

import (
	"context"
	"time"

	"pimentorail.example/pimentorail/internal/leaser"
	"pimentorail.example/pimentorail/pkg/classifier"
)

const (
	minBackoff       = 10 * time.Millisecond
	maxBackoff       = 250 * time.Millisecond
	ownerCallTimeout = 8 * time.Second
)

// Caller makes remote procedure calls. messenger.Pool implements it.
type Caller interface {
	Call(ctx context.Context, address, method string, args, reply any) error
}

// PartitionMap reports which daemon owns each partition. leaser.Leaser implements it.
type PartitionMap interface {
	Owner(partition int) (leaser.Partition, bool)
	Partitions() int
	Refresh()
	Session() string
}

// ownerClient calls the owners of partitions.
type ownerClient struct {
	caller     Caller
	partitions PartitionMap
}

// callOwner calls a method of a partition's owner and retries, with a refreshed map, until
// the owner replies or the context ends. The method must be idempotent.
func callOwner[R any](ctx context.Context, o ownerClient, partition int, method string, args any, moved func(*R) bool) (*R, *classifier.Fault) {
	backoff := minBackoff
	for {
		if p, ok := o.partitions.Owner(partition); ok {
			reply := new(R)
			callCtx, cancel := context.WithTimeout(ctx, ownerCallTimeout)
			err := o.caller.Call(callCtx, p.Address, method, args, reply)
			cancel()
			if err == nil && !moved(reply) {
				return reply, nil
			}
		}
		o.partitions.Refresh()
		select {
		case <-time.After(backoff):
		case <-ctx.Done():
			return nil, classifier.New(classifier.OwnerAway, classifier.RanNo, "no owner of partition %d replied in time", partition).After(time.Second)
		}
		backoff = min(2*backoff, maxBackoff)
	}
}
