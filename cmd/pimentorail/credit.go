package main

import (
	"io"
	"os"

	"github.com/pkg/errors"

	"pimentorail.example/pimentorail/internal/attributor"
)

type creditCommand struct {
	Log string `arg:"" optional:"" help:"File with the daemons' log lines; standard input by default." type:"existingfile"`
}

// Run prints a report of the time that programs spent in each phase of their requests.
func (c *creditCommand) Run() error {
	var in io.Reader = os.Stdin
	if c.Log != "" {
		f, err := os.Open(c.Log)
		if err != nil {
			return errors.Wrap(err, "credit")
		}
		defer f.Close()
		in = f
	}
	r, err := attributor.Read(in)
	if err != nil {
		return err
	}
	return r.Write(os.Stdout)
}
