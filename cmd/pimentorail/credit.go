package main

import (
	"io"
	"os"

	"github.com/pkg/errors"

	"pimentorail.example/pimentorail/internal/crediter"
)

type creditCommand struct {
	Log string `arg:"" optional:"" help:"File with the log lines of daemons; standard input without it." type:"existingfile"`
}

// Run prints where the time of programs went.
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
	r, err := crediter.Read(in)
	if err != nil {
		return err
	}
	return r.Write(os.Stdout)
}
