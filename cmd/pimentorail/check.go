package main

import (
	"context"
	"fmt"
	"os"
	"text/tabwriter"

	"github.com/pkg/errors"

	"pimentorail.example/pimentorail/internal/configurer"
	"pimentorail.example/pimentorail/internal/generator"
)

type checkCommand struct {
	File string `arg:"" help:"Declarations in JSON." type:"existingfile"`
}

// Run checks the declarations of a file without applying them.
func (c *checkCommand) Run() error {
	_, err := readDeclarations(c.File)
	return err
}

type generateCommand struct {
	Answers string `arg:"" help:"Answers to the questionnaire, in JSON." type:"existingfile"`
}

// Run prints the declarations generated from the answers of a file.
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

// Run prints the changes that applying the declarations of a file would make.
func (c *diffCommand) Run(ctx context.Context) error {
	o, cancel := c.open(ctx)
	defer cancel()
	d, s, err := o.loadWithHead(c.File)
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
