package main

import (
	"context"
	"fmt"

	"pimentorail.example/pimentorail/pkg/classifier"
)

type drainCommand struct {
	connection
	Replica string `arg:"" help:"Replica, as TARGET/REPLICA."`
	Who     string `help:"Who makes the change, for the audit trail." env:"USER" default:"operator"`
}

// Run stops sending new work to a replica.
func (c *drainCommand) Run(ctx context.Context) error {
	return c.setDraining(ctx, c.Replica, c.Who, true)
}

type undrainCommand struct {
	connection
	Replica string `arg:"" help:"Replica, as TARGET/REPLICA."`
	Who     string `help:"Who makes the change, for the audit trail." env:"USER" default:"operator"`
}

// Run resumes sending new work to a replica.
func (c *undrainCommand) Run(ctx context.Context) error {
	return c.setDraining(ctx, c.Replica, c.Who, false)
}

func (c *connection) setDraining(ctx context.Context, id, who string, draining bool) error {
	o, cancel := c.open(ctx)
	defer cancel()
	s, err := o.registry.Load(o.ctx)
	if err != nil {
		return err
	}
	d, err := s.Declarations()
	if err != nil {
		return err
	}
	if !d.SetDraining(id, draining) {
		return classifier.New(classifier.NoSuchTarget, classifier.RanNo, "replica %q is not declared", id)
	}
	return o.apply(s, d, who, fmt.Sprintf("set draining of %s to %v", id, draining), true)
}
