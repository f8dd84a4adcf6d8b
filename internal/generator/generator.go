package generator

import (
	"cmp"
	_ "embed" // The schema is part of the program.
	"encoding/json"
	"fmt"
	"slices"
	"strings"

	"github.com/pkg/errors"

	"pimentorail.example/pimentorail/internal/declarer"
	"pimentorail.example/pimentorail/internal/validator"
)

const (
	defaultShare     = 1
	defaultCalls     = 64
	defaultWindow    = 8
	defaultTimeout   = 10_000
	defaultMaxTokens = 1024
	defaultHoldIdle  = 60_000
)

//go:embed answers.json
var schema []byte

var check = validator.Must("answers.json", schema)

// Schema returns the published schema of answers.
func Schema() []byte { return slices.Clone(schema) }

// Generate returns the declarations that follow from answers, as indented JSON
// with a last newline; faults of the answers are validator.Faults.
func Generate(data []byte) ([]byte, error) {
	var a Answers
	if err := check.Decode(data, &a); err != nil {
		return nil, err
	}
	if faults := a.check(); len(faults) > 0 {
		return nil, faults
	}
	d := a.declarations()
	if faults := d.Check(); len(faults) > 0 {
		return nil, faults
	}
	out, err := json.MarshalIndent(d, "", "  ")
	if err != nil {
		return nil, errors.Wrap(err, "encode declarations")
	}
	return append(out, '\n'), nil
}

// check returns references to programs and targets that no answer names.
func (a *Answers) check() validator.Faults {
	var list validator.Faults
	programs, targets := map[string]bool{}, map[string]bool{}
	for _, t := range a.Targets {
		targets[t.Name] = true
	}
	for i, p := range a.Programs {
		programs[p.Name] = true
		for j, t := range p.Reaches {
			if !targets[t] {
				list = append(list, validator.Fault{Path: fmt.Sprintf("/programs/%d/reaches/%d", i, j), Value: fmt.Sprintf("%q", t), Allowed: "one of " + names(targets)})
			}
		}
	}
	for i, c := range a.Accounts {
		for j, p := range c.Programs {
			if !programs[p] {
				list = append(list, validator.Fault{Path: fmt.Sprintf("/accounts/%d/programs/%d", i, j), Value: fmt.Sprintf("%q", p), Allowed: "one of " + names(programs)})
			}
		}
	}
	return list
}

func names(set map[string]bool) string {
	list := make([]string, 0, len(set))
	for n := range set {
		list = append(list, n)
	}
	slices.Sort(list)
	return strings.Join(list, ", ")
}

func (a *Answers) declarations() *declarer.Declarations {
	d := &declarer.Declarations{Policy: declarer.Policy{
		StoreOutage:  declarer.Outage(a.StoreOutage),
		QueueLimitMS: a.Crest.LongestWaitMS, NewProgramLimitMS: a.Crest.LongestWaitNewMS,
		MaxTokens: cmp.Or(a.MaxTokens, defaultMaxTokens), HoldIdleMS: cmp.Or(a.HoldIdleMS, defaultHoldIdle),
	}}
	for _, c := range a.Accounts {
		d.Accounts = append(d.Accounts, a.account(c))
	}
	for _, t := range a.Targets {
		d.Targets = append(d.Targets, t.declaration())
	}
	slices.SortFunc(d.Accounts, func(x, y declarer.Account) int { return strings.Compare(x.Name, y.Name) })
	slices.SortFunc(d.Targets, func(x, y declarer.Target) int { return strings.Compare(x.Name, y.Name) })
	return d
}

// account joins what the account's programs may reach and spend.
func (a *Answers) account(c Account) declarer.Account {
	out := declarer.Account{
		Name: c.Name, KeyHash: c.KeyHash, Weight: cmp.Or(c.Share, defaultShare),
		InFlight: cmp.Or(c.InFlight, defaultCalls), Targets: []string{},
	}
	for _, p := range a.Programs {
		if slices.Contains(c.Programs, p.Name) {
			out.Targets = append(out.Targets, p.Reaches...)
			out.ProgramBudget = max(out.ProgramBudget, p.Budget)
		}
	}
	slices.Sort(out.Targets)
	out.Targets = slices.Compact(out.Targets)
	return out
}

func (t Target) declaration() declarer.Target {
	out := declarer.Target{
		Name: t.Name, Kind: declarer.Engine, NotRunStatuses: t.NotRunStatuses, HonoursFence: t.RefusesOld == "yes",
		Window: cmp.Or(t.InFlight, defaultWindow),
	}
	out.WindowLimit = max(out.Window, cmp.Or(t.MostInFlight, 2*out.Window))
	if t.IsA == "service" {
		out.Kind = declarer.Service
		out.Repeatable = t.Repeat == "yes"
		out.TimeoutMS = cmp.Or(t.AnswersWithin, defaultTimeout)
	}
	for _, z := range t.Zones {
		for i, address := range z.Addresses {
			out.Replicas = append(out.Replicas, declarer.Replica{
				Name: fmt.Sprintf("%s-%d", z.Zone, i+1), Address: address, Zone: z.Zone, Role: z.Role, Loads: t.Loads,
			})
		}
	}
	return out
}
