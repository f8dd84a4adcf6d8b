package main

import (
	"os"

	"pimentorail.example/pimentorail/internal/loader"
)

type summaryCommand struct {
	Folder string `arg:"" help:"Folder with the reports of load." type:"existingdir"`
}

// Run prints medians and ranges over the reports in a folder.
func (c *summaryCommand) Run() error { return loader.Summarize(c.Folder, os.Stdout) }
