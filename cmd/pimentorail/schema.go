package main

import (
	"os"

	"pimentorail.example/pimentorail/internal/declarer"
	"pimentorail.example/pimentorail/internal/generator"
	"pimentorail.example/pimentorail/internal/runner"
)

type schemaCommand struct {
	Of string `arg:"" enum:"settings,answers,declarations" help:"Kind of document: settings, answers or declarations."`
}

// Run prints the JSON schema of a kind of document.
func (c *schemaCommand) Run() error {
	schema := map[string]func() []byte{
		"settings": runner.SettingsSchema, "answers": generator.Schema, "declarations": declarer.Schema,
	}[c.Of]
	_, err := os.Stdout.Write(schema())
	return err
}
