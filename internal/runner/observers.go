package runner

import (
	"context"

	"pimentorail.example/pimentorail/internal/leaser"
)

// observers tells several observers of changes in what the daemon owns.
type observers []leaser.Observer

// Gained implements leaser.Observer.
func (o observers) Gained(f leaser.Fence) {
	for _, x := range o {
		x.Gained(f)
	}
}

// Lost implements leaser.Observer.
func (o observers) Lost(partition int) {
	for _, x := range o {
		x.Lost(partition)
	}
}

// Drain implements leaser.Observer.
func (o observers) Drain(ctx context.Context, partition int) error {
	for _, x := range o {
		if err := x.Drain(ctx, partition); err != nil {
			return err
		}
	}
	return nil
}
