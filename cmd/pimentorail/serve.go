package main

import (
	"context"

	"pimentorail.example/pimentorail/internal/server"
	"pimentorail.example/pimentorail/internal/signaler"
	"pimentorail.example/pimentorail/platform"
)

type serveCommand struct{}

// Run runs a daemon on the users' platform until the context ends.
func (c *serveCommand) Run(ctx context.Context) error {
	return platform.Run(ctx, server.Signals{Reloads: signaler.Reloads(), Dumps: signaler.Dumps(), Repeats: signaler.Repeats()})
}
