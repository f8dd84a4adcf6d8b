package main

import (
	"context"
	"encoding/json"
	"os"
	"text/tabwriter"
	"time"

	"github.com/pkg/errors"

	"pimentorail.example/pimentorail/internal/configurer"
	"pimentorail.example/pimentorail/internal/declarer"
	"pimentorail.example/pimentorail/internal/storer"
)

// connection holds the flags that the operators' commands share.
type connection struct {
	Platform string        `help:"Address of the platform's table service." default:"127.0.0.1:7000" env:"PIMENTORAIL_PLATFORM"`
	Timeout  time.Duration `help:"Timeout of the command." default:"30s"`
	JSON     bool          `help:"Print JSON."`
}

func (c *connection) open(ctx context.Context) (*operator, context.CancelFunc) {
	ctx, cancel := context.WithTimeout(ctx, c.Timeout)
	t := storer.NewClient(c.Platform)
	return &operator{ctx: ctx, table: t, registry: configurer.NewRepository(t), json: c.JSON}, cancel
}

// operator runs one command against the reference platform.
type operator struct {
	ctx      context.Context
	table    *storer.Client
	registry *configurer.Repository
	json     bool
}

func (o *operator) print(v any, printText func(w *tabwriter.Writer)) error {
	if o.json {
		e := json.NewEncoder(os.Stdout)
		e.SetIndent("", "  ")
		return errors.Wrap(e.Encode(v), "print")
	}
	w := tabwriter.NewWriter(os.Stdout, 0, 4, 2, ' ', 0)
	printText(w)
	return errors.Wrap(w.Flush(), "print")
}

func readDeclarations(path string) (*declarer.Declarations, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "declarations")
	}
	return declarer.Parse(data)
}

// loadWithHead returns the declarations of a file and a snapshot of the newest version.
func (o *operator) loadWithHead(file string) (*declarer.Declarations, *configurer.Snapshot, error) {
	d, err := readDeclarations(file)
	if err != nil {
		return nil, nil, err
	}
	s, err := o.registry.Load(o.ctx)
	return d, s, err
}
