package server

import (
	"context"

	"pimentorail.example/pimentorail/internal/storer"
	"pimentorail.example/pimentorail/internal/supervisor"
	"pimentorail.example/pimentorail/internal/tracker"
)

// rowReader implements forwarder.Registry.
type rowReader struct {
	table storer.Table
	// name is that of the registry's table.
	name   string
	decode func(id string, value []byte) (*tracker.Replica, error)
}

// Read implements forwarder.Registry.
func (r *rowReader) Read(ctx context.Context, id string) (replica *tracker.Replica, err error) {
	row, err := r.table.Get(ctx, storer.Prefix(r.name)+id)
	if err != nil || row.Version == 0 {
		return nil, err
	}
	err = supervisor.Do("server: decoder of a registry row", func() (err error) {
		replica, err = r.decode(id, row.Value)
		return err
	})
	return replica, err
}
