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
	Base *uint64 `help:"Version that the declarations are based on; the newest one by default."`
	Who  string  `help:"Who makes the change, for the audit trail." env:"USER" default:"operator"`
	Note string  `help:"Reason for the change, for the audit trail."`
	Wait bool    `help:"Wait until the new version is in force on every live daemon." default:"true" negatable:""`
}

// Run applies the declarations of a file as a new version.
func (c *applyCommand) Run(ctx context.Context) error {
	o, cancel := c.open(ctx)
	defer cancel()
	d, s, err := o.loadWithHead(c.File)
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
	return o.awaitInForce(version)
}

const pollInterval = 200 * time.Millisecond

// awaitInForce waits until every live daemon reports the version. If the context ends
// first, the error names the daemons that do not.
func (o *operator) awaitInForce(version uint64) error {
	watcher := leaser.NewMemberWatcher(o.table)
	for {
		lagging, total, err := watcher.Lagging(o.ctx, version)
		if err == nil && len(lagging) == 0 {
			fmt.Fprintf(os.Stderr, "in force: version %d on %d daemons\n", version, total)
			return nil
		}
		select {
		case <-time.After(pollInterval):
		case <-o.ctx.Done():
			return classifier.New(classifier.ConfigNotInForce, classifier.RanYes,
				"version %d is accepted, but not yet in force on %s", version, strings.Join(lagging, ", "))
		}
	}
}

type rollbackCommand struct {
	connection
	Version uint64 `arg:"" help:"Version to restore."`
	Who     string `help:"Who makes the change, for the audit trail." env:"USER" default:"operator"`
	Wait    bool   `help:"Wait until the new version is in force on every live daemon." default:"true" negatable:""`
}

// Run applies the declarations of an earlier version as a new version.
func (c *rollbackCommand) Run(ctx context.Context) error {
	o, cancel := c.open(ctx)
	defer cancel()
	s, err := o.registry.Load(o.ctx)
	if err != nil {
		return err
	}
	d, err := o.registry.DeclarationsAt(o.ctx, c.Version)
	if err != nil {
		return err
	}
	return o.apply(s, d, c.Who, fmt.Sprintf("return to version %d", c.Version), c.Wait)
}
