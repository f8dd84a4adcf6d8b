package leaser

import "context"

// Observer is notified when the partitions that a daemon owns change.
type Observer interface {
	// Gained reports that this daemon owns the fence's partition from now on.
	Gained(f Fence)
	// Lost reports that this daemon no longer owns the partition.
	Lost(partition int)
	// Drain stops new work of a partition and returns once its journal is flushed.
	Drain(ctx context.Context, partition int) error
}

// Observers notifies several observers of each change, in order.
type Observers []Observer

// Gained implements Observer.
func (o Observers) Gained(f Fence) {
	for _, x := range o {
		x.Gained(f)
	}
}

// Lost implements Observer.
func (o Observers) Lost(partition int) {
	for _, x := range o {
		x.Lost(partition)
	}
}

// Drain implements Observer; it stops at the first error.
func (o Observers) Drain(ctx context.Context, partition int) error {
	for _, x := range o {
		if err := x.Drain(ctx, partition); err != nil {
			return err
		}
	}
	return nil
}
