package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/pkg/errors"

	"pimentorail.example/pimentorail/internal/configurer"
	"pimentorail.example/pimentorail/internal/declarer"
	"pimentorail.example/pimentorail/internal/generator"
	"pimentorail.example/pimentorail/internal/leaser"
	"pimentorail.example/pimentorail/internal/storer"
	"pimentorail.example/pimentorail/pkg/classifier"
)

// connection is what the operator's commands have in common.
type connection struct {
	Platform string        `help:"Address of the platform's service." default:"127.0.0.1:7000" env:"PIMENTORAIL_PLATFORM"`
	Timeout  time.Duration `help:"Longest time of the command." default:"30s"`
	JSON     bool          `help:"Print JSON."`
}

func (c *connection) open(ctx context.Context) (*operator, context.CancelFunc) {
	ctx, cancel := context.WithTimeout(ctx, c.Timeout)
	t := storer.Dial(c.Platform)
	return &operator{ctx: ctx, table: t, registry: configurer.NewRegistry(t), json: c.JSON}, cancel
}

// operator is one command's connection to the platform.
type operator struct {
	ctx      context.Context
	table    *storer.Client
	registry *configurer.Registry
	json     bool
}

func (o *operator) print(v any, human func(w *tabwriter.Writer)) error {
	if o.json {
		e := json.NewEncoder(os.Stdout)
		e.SetIndent("", "  ")
		return errors.Wrap(e.Encode(v), "print")
	}
	w := tabwriter.NewWriter(os.Stdout, 0, 4, 2, ' ', 0)
	human(w)
	return errors.Wrap(w.Flush(), "print")
}

func readDeclarations(path string) (*declarer.Declarations, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "declarations")
	}
	return declarer.Parse(data)
}

type checkCommand struct {
	File string `arg:"" help:"Declarations in JSON." type:"existingfile"`
}

// Run checks declarations.
func (c *checkCommand) Run() error {
	_, err := readDeclarations(c.File)
	return err
}

type generateCommand struct {
	Answers string `arg:"" help:"Answers in JSON." type:"existingfile"`
}

// Run prints the declarations that follow from answers.
func (c *generateCommand) Run() error {
	data, err := os.ReadFile(c.Answers)
	if err != nil {
		return errors.Wrap(err, "answers")
	}
	out, err := generator.Generate(data)
	if err != nil {
		return err
	}
	_, err = os.Stdout.Write(out)
	return err
}

type diffCommand struct {
	connection
	File string `arg:"" help:"Declarations in JSON." type:"existingfile"`
}

// Run shows what applying declarations would change.
func (c *diffCommand) Run(ctx context.Context) error {
	d, err := readDeclarations(c.File)
	if err != nil {
		return err
	}
	o, cancel := c.open(ctx)
	defer cancel()
	s, err := o.registry.Load(o.ctx)
	if err != nil {
		return err
	}
	edits, err := configurer.Diff(s, d)
	if err != nil {
		return err
	}
	return o.print(edits, func(w *tabwriter.Writer) {
		fmt.Fprintf(w, "%d changes against version %d\n", len(edits), s.Version())
		for _, e := range edits {
			fmt.Fprintln(w, describe(e))
		}
		for _, warning := range configurer.Warnings(edits) {
			fmt.Fprintln(w, "warning: "+warning)
		}
	})
}

// describe shows an edit on one line without key hashes.
func describe(e configurer.Edit) string {
	switch {
	case e.From == nil:
		return "+ " + e.Key
	case e.To == nil:
		return "- " + e.Key
	}
	return "~ " + e.Key + "\t" + configurer.Masked(e.From) + "\t→ " + configurer.Masked(e.To)
}

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
	d, err := readDeclarations(c.File)
	if err != nil {
		return err
	}
	o, cancel := c.open(ctx)
	defer cancel()
	s, err := o.registry.Load(o.ctx)
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

type historyCommand struct {
	connection
	After uint64 `help:"Show changes after this version." default:"0"`
	Limit int    `help:"Most changes to show." default:"100"`
}

// Run shows the audit trail.
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
			fmt.Fprintf(w, "version %d\t%s\t%s\t%s\n", ch.Version, ch.When, ch.Who, ch.Note)
			for _, e := range ch.Edits {
				fmt.Fprintln(w, "  "+describe(e))
			}
		}
	})
}

type statusCommand struct{ connection }

// Run shows the daemons and the versions in force.
func (c *statusCommand) Run(ctx context.Context) error {
	o, cancel := c.open(ctx)
	defer cancel()
	s, err := o.registry.Load(o.ctx)
	if err != nil {
		return err
	}
	members, err := leaser.NewObservation(o.table).Members(o.ctx)
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

type drainCommand struct {
	connection
	Replica string `arg:"" help:"Replica as target/replica."`
	Who     string `help:"Who makes the change, for the audit trail." env:"USER" default:"operator"`
}

// Run lets a replica get no new work.
func (c *drainCommand) Run(ctx context.Context) error {
	return c.setDraining(ctx, c.Replica, c.Who, true)
}

type undrainCommand struct {
	connection
	Replica string `arg:"" help:"Replica as target/replica."`
	Who     string `help:"Who makes the change, for the audit trail." env:"USER" default:"operator"`
}

// Run lets a replica get work again.
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
