package main

import (
	"context"
	"fmt"
	"os"
	"strings"
	"time"

	"pimentorail.example/pimentorail/internal/configurer"
	"pimentorail.example/pimentorail/internal/declarer"
	"pimentorail.example/pimentorail/internal/leaser"
	"pimentorail.example/pimentorail/pkg/classifier"
)

type applyCommand struct {
	connection
	File string  `arg:"" help:"Declarations in JSON." type:"existingfile"`
	Base *uint64 `help:"Version that the declarations were made from; default the head."`
	Who  string  `help:"Who makes the change, for the audit trail." env:"USER" default:"operator"`
	Note string  `help:"Why, for the audit trail."`
	Wait bool    `help:"Wait until every live daemon has it in force." default:"true" negatable:""`
}

// Run applies declarations.
func (c *applyCommand) Run(ctx context.Context) error {
	o, cancel := c.open(ctx)
	defer cancel()
	d, s, err := o.beside(c.File)
	if err != nil {
		return err
	}
	if c.Base != nil && *c.Base != s.Version() {
		return o.registry.Conflict(o.ctx, *c.Base)
	}
	return o.apply(s, d, c.Who, c.Note, c.Wait)
}

func (o *operator) apply(s *configurer.Snapshot, d *declarer.Declarations, who, note string, wait bool) error {
	edits, err := configurer.Diff(s, d)
	if err != nil {
		return err
	}
	for _, warning := range configurer.Warnings(edits) {
		fmt.Fprintln(os.Stderr, "warning: "+warning)
	}
	version, err := o.registry.Apply(o.ctx, s, d, who, note)
	if err != nil {
		return err
	}
	fmt.Fprintf(os.Stderr, "accepted: version %d, %d changes\n", version, len(edits))
	if !wait {
		return nil
	}
	return o.await(version)
}

const awaitPause = 200 * time.Millisecond

// await returns when all live daemons report a version, or names those that lag.
func (o *operator) await(version uint64) error {
	live := leaser.NewObservation(o.table)
	for {
		lagging, total, err := live.Lagging(o.ctx, version)
		if err == nil && len(lagging) == 0 {
			fmt.Fprintf(os.Stderr, "in force: version %d on %d daemons\n", version, total)
			return nil
		}
		select {
		case <-time.After(awaitPause):
		case <-o.ctx.Done():
			return classifier.New(classifier.ConfigNotInForce, classifier.RanYes,
				"version %d is accepted, but not yet in force on %s", version, strings.Join(lagging, ", "))
		}
	}
}

type rollbackCommand struct {
	connection
	Version uint64 `arg:"" help:"Version to return to."`
	Who     string `help:"Who makes the change, for the audit trail." env:"USER" default:"operator"`
	Wait    bool   `help:"Wait until every live daemon has it in force." default:"true" negatable:""`
}

// Run makes an earlier version the next one.
func (c *rollbackCommand) Run(ctx context.Context) error {
	o, cancel := c.open(ctx)
	defer cancel()
	s, err := o.registry.Load(o.ctx)
	if err != nil {
		return err
	}
	d, err := o.registry.At(o.ctx, c.Version)
	if err != nil {
		return err
	}
	return o.apply(s, d, c.Who, fmt.Sprintf("return to version %d", c.Version), c.Wait)
}
