package main

import (
	"context"
	"encoding/json"
	"os"
	"time"

	"github.com/pkg/errors"

	"pimentorail.example/pimentorail/internal/loader"
)

type loadCommand struct {
	Base       string        `help:"Base URL of the service." default:"http://127.0.0.1:8080"`
	Keys       []string      `help:"Bearer keys of the accounts." required:""`
	Services   []string      `help:"Addresses of the service stand-ins whose effects are judged."`
	Seed       uint64        `help:"Seed of the run." default:"1"`
	Programs   int           `help:"Number of programs." default:"200"`
	Span       time.Duration `help:"Time over which programs arrive." default:"15s"`
	Patience   time.Duration `help:"Longest time of one program." default:"60s"`
	Stragglers float64       `help:"Part of the programs that are stragglers." default:"0"`
	Longer     int           `help:"How many times longer the answers of stragglers are." default:"50"`
	Burst      float64       `help:"Arrivals in the middle fifth, as a multiple." default:"1"`
	JSON       bool          `help:"Print the report as JSON."`
	AllowFail  bool          `help:"Programs that fail do not fail the run; broken promises always do."`
}

// Run plays a plan; a broken promise or a failed program is a failure.
func (c *loadCommand) Run(ctx context.Context) error {
	plan := loader.Plan(loader.PlanOptions{
		Seed: c.Seed, Programs: c.Programs, Accounts: len(c.Keys), Span: c.Span,
		Stragglers: c.Stragglers, Longer: c.Longer, Burst: c.Burst,
	})
	r, err := loader.Play(ctx, loader.Options{
		Base: c.Base, Keys: c.Keys, Plan: plan, Services: c.Services, Patience: c.Patience,
	})
	if err != nil {
		return err
	}
	if c.JSON {
		e := json.NewEncoder(os.Stdout)
		e.SetIndent("", "  ")
		err = e.Encode(r)
	} else {
		err = r.Table(os.Stdout)
	}
	switch {
	case err != nil:
		return errors.Wrap(err, "report")
	case len(r.Broken) > 0:
		return errBroken
	case r.Finished < r.Programs && !c.AllowFail:
		return errors.Errorf("%d of %d programs did not finish", r.Programs-r.Finished, r.Programs)
	}
	return nil
}
