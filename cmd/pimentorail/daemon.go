package main

import (
	"context"
	"os"

	"github.com/pkg/errors"

	"pimentorail.example/pimentorail/internal/runner"
)

type daemonCommand struct {
	Settings string `arg:"" help:"Settings file in JSON." type:"existingfile"`
	Check    bool   `help:"Check the settings and exit."`
}

// Run runs a daemon of package runner until the context ends, then stops it gracefully.
func (c *daemonCommand) Run(ctx context.Context) error {
	data, err := os.ReadFile(c.Settings)
	if err != nil {
		return errors.Wrap(err, "settings")
	}
	s, err := runner.ParseSettings(data)
	if err != nil || c.Check {
		return err
	}
	d := runner.New(*s)
	if err := d.Listen(ctx); err != nil {
		if errors.Is(err, context.Canceled) {
			return nil // A stop while a port was held.
		}
		return err
	}
	background := context.WithoutCancel(ctx)
	if err := d.Start(background); err != nil {
		return err
	}
	<-ctx.Done()
	return d.Stop(background)
}
