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
	Services   []string      `help:"Addresses of the fake services whose side effects are checked."`
	Seed       uint64        `help:"Seed of the random plan." default:"1"`
	Programs   int           `help:"Number of programs." default:"200"`
	Span       time.Duration `help:"Time over which programs arrive." default:"15s"`
	Patience   time.Duration `help:"Timeout of one program." default:"60s"`
	Stragglers float64       `help:"Fraction of the programs that are stragglers." default:"0"`
	Longer     int           `help:"Factor by which the answers of stragglers are longer." default:"50"`
	Burst      float64       `help:"Factor by which the arrival rate rises in the middle fifth of the span." default:"1"`
	JSON       bool          `help:"Print the report as JSON."`
	AllowFail  bool          `help:"Exit with success even if programs fail; broken promises still fail the run."`
}

// Run runs a load plan and prints its report. It returns an error if a promise is broken
// or a program does not finish.
func (c *loadCommand) Run(ctx context.Context) error {
	plan := loader.Plan(loader.PlanOptions{
		Seed: c.Seed, Programs: c.Programs, Accounts: len(c.Keys), ArrivalPeriod: c.Span,
		StragglerFraction: c.Stragglers, StragglerFactor: c.Longer, BurstFactor: c.Burst,
	})
	r, err := loader.Play(ctx, loader.Options{
		BaseURL: c.Base, Keys: c.Keys, Plan: plan, Services: c.Services, Timeout: c.Patience,
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
	case len(r.Violations) > 0:
		return errBrokenPromises
	case r.Finished < r.Programs && !c.AllowFail:
		return errors.Errorf("%d of %d programs did not finish", r.Programs-r.Finished, r.Programs)
	}
	return nil
}
