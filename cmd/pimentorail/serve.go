package main

import (
	"context"

	"pimentorail.example/pimentorail/platform"
)

type serveCommand struct{}

// Run runs a daemon on the users' platform until the context ends.
func (c *serveCommand) Run(ctx context.Context) error { return platform.Run(ctx) }
