package main

import (
	"context"
	"fmt"
	"text/tabwriter"

	"pimentorail.example/pimentorail/internal/leaser"
)

type historyCommand struct {
	connection
	After uint64 `help:"Show changes after this version." default:"0"`
	Limit int    `help:"Maximum number of changes to show." default:"100"`
}

// Run prints the audit trail with key hashes masked.
func (c *historyCommand) Run(ctx context.Context) error {
	o, cancel := c.open(ctx)
	defer cancel()
	changes, err := o.registry.Changes(o.ctx, c.After, c.Limit)
	if err != nil {
		return err
	}
	for i := range changes {
		for j := range changes[i].Edits {
			changes[i].Edits[j] = changes[i].Edits[j].Mask()
		}
	}
	return o.print(changes, func(w *tabwriter.Writer) {
		for _, ch := range changes {
			fmt.Fprintf(w, "version %d  %s  %s  %s\n", ch.Version, ch.When, ch.Who, ch.Note)
			for _, e := range ch.Edits {
				fmt.Fprintln(w, "  "+describe(e))
			}
		}
	})
}

type statusCommand struct{ connection }

// Run prints the newest version and the version in force on each daemon.
func (c *statusCommand) Run(ctx context.Context) error {
	o, cancel := c.open(ctx)
	defer cancel()
	s, err := o.registry.Load(o.ctx)
	if err != nil {
		return err
	}
	members, err := leaser.NewMemberWatcher(o.table).Members(o.ctx)
	if err != nil {
		return err
	}
	return o.print(members, func(w *tabwriter.Writer) {
		fmt.Fprintf(w, "version %d is the head\n", s.Version())
		fmt.Fprintln(w, "SESSION\tADDRESS\tZONE\tSTATE\tVERSION IN FORCE")
		for _, m := range members {
			fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%d\n", m.Session, m.Address, m.Zone, m.State, m.Config)
		}
	})
}
