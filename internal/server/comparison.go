package server

import (
	"context"
	"time"

	"pimentorail.example/pimentorail/internal/supervisor"
)

// registryPeers are the other daemons, which read the registry too.
type registryPeers interface {
	// RegistryRead and RegistryLost record whether this daemon reads the registry.
	RegistryRead()
	RegistryLost()
	// ConfirmRegistry reports whether the registry was up while this daemon could not read it.
	ConfirmRegistry(ctx context.Context, begin, end time.Time) bool
}

// registryComparison finds out whether the rows that are missing after an outage are gone.
type registryComparison struct {
	sink         *registrySink
	began, ended time.Time
}

func (c *registryComparison) run() {
	defer supervisor.Recover("server: comparison of the registry")
	g := c.sink
	if g.peers.ConfirmRegistry(context.Background(), c.began, c.ended) {
		g.logChanges(g.tracker.ConfirmRemovals(c.ended), 0)
	}
}
