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

// beside returns the declarations of a file and those at the head.
func (o *operator) beside(file string) (*declarer.Declarations, *configurer.Snapshot, error) {
	d, err := readDeclarations(file)
	if err != nil {
		return nil, nil, err
	}
	s, err := o.registry.Load(o.ctx)
	return d, s, err
}
