package conductor

import (
	"context"
	"time"

	"pimentorail.example/pimentorail/internal/sequencer"
)

// Gone asks the owners of the programs which ones no longer need engine memory. Malformed
// names count as gone; a program whose owner does not answer does not.
func (c *Conductor) Gone(ctx context.Context, programs []string) []string {
	byPartition := map[int][]string{}
	idle := time.Duration(c.o.Config.Snapshot().Policy().HoldIdleMS) * time.Millisecond
	var gone []string
	for _, s := range programs {
		n, ok := sequencer.ParseName(s)
		if !ok {
			gone = append(gone, s)
			continue
		}
		p := n.Partition(c.o.PartitionMap.Partitions())
		byPartition[p] = append(byPartition[p], s)
	}
	for p, names := range byPartition {
		ctx, cancel := context.WithTimeout(ctx, ownerCallTimeout)
		r, f := callOwner(ctx, c.ownerClient, p, sequencer.ServiceName+".Gone", &sequencer.GoneRequest{Names: names, Idle: idle},
			func(*sequencer.GoneReply) bool { return false })
		cancel()
		if f == nil {
			gone = append(gone, r.Gone...)
		}
	}
	return gone
}
