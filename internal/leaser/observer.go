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

// Observers tells several observers of each change, in order.
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

// Drain implements Observer; the first failure ends it.
func (o Observers) Drain(ctx context.Context, partition int) error {
	for _, x := range o {
		if err := x.Drain(ctx, partition); err != nil {
			return err
		}
	}
	return nil
}
