package leaser

import "context"

// Observer is told of changes in what a daemon owns.
type Observer interface {
	// Gained says that the partition is owned under a fence from now on.
	Gained(f Fence)
	// Lost says that the partition belongs to another daemon.
	Lost(partition int)
	// Drain stops new work of a partition and returns when its journal is flushed.
	Drain(ctx context.Context, partition int) error
}
