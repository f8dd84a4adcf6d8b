package generator

import (
	"cmp"
	_ "embed" // For go:embed.
	"encoding/json"
	"fmt"
	"slices"
	"strings"

	"github.com/pkg/errors"

	"pimentorail.example/pimentorail/internal/declarer"
	"pimentorail.example/pimentorail/internal/validator"
)

const (
	defaultWeight     = 1
	defaultInFlight   = 64
	defaultWindow     = 8
	defaultTimeoutMS  = 10_000
	defaultMaxTokens  = 1024
	defaultHoldIdleMS = 60_000
)

//go:embed answers.json
var schemaJSON []byte

var answersValidator = validator.Must("answers.json", schemaJSON)

// Schema returns the JSON schema of answers.
func Schema() []byte { return slices.Clone(schemaJSON) }

// Generate returns the declarations for answers in JSON, as indented JSON with a trailing
// newline. If the answers are not valid, the error is a validator.Faults.
func Generate(data []byte) ([]byte, error) {
	var a Answers
	if err := answersValidator.Decode(data, &a); err != nil {
		return nil, err
	}
	if faults := a.check(); len(faults) > 0 {
		return nil, faults
	}
	d := a.declarations()
	if faults := d.Validate(); len(faults) > 0 {
		return nil, faults
	}
	out, err := json.MarshalIndent(d, "", "  ")
	if err != nil {
		return nil, errors.Wrap(err, "encode declarations")
	}
	return append(out, '\n'), nil
}

// check returns a fault for each reference to an undefined program or target.
func (a *Answers) check() validator.Faults {
	var list validator.Faults
	programs, targets := map[string]bool{}, map[string]bool{}
	for _, t := range a.Targets {
		targets[t.Name] = true
	}
	for i, p := range a.Programs {
		programs[p.Name] = true
		for j, t := range p.Targets {
			if !targets[t] {
				list = append(list, validator.Fault{Path: fmt.Sprintf("/programs/%d/reaches/%d", i, j), Value: fmt.Sprintf("%q", t), Allowed: "one of " + joinNames(targets)})
			}
		}
	}
	for i, c := range a.Accounts {
		for j, p := range c.Programs {
			if !programs[p] {
				list = append(list, validator.Fault{Path: fmt.Sprintf("/accounts/%d/programs/%d", i, j), Value: fmt.Sprintf("%q", p), Allowed: "one of " + joinNames(programs)})
			}
		}
	}
	return list
}

func joinNames(set map[string]bool) string {
	list := make([]string, 0, len(set))
	for n := range set {
		list = append(list, n)
	}
	slices.Sort(list)
	return strings.Join(list, ", ")
}

func (a *Answers) declarations() *declarer.Declarations {
	d := &declarer.Declarations{Policy: declarer.Policy{
		StoreOutage:  declarer.OutagePolicy(a.StoreOutage),
		QueueLimitMS: a.WaitLimits.MaxWaitMS, NewProgramLimitMS: a.WaitLimits.MaxNewProgramWaitMS,
		MaxTokens: cmp.Or(a.MaxTokens, defaultMaxTokens), HoldIdleMS: cmp.Or(a.HoldIdleMS, defaultHoldIdleMS),
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

// account permits the targets of all the account's programs and the largest of their
// budgets.
func (a *Answers) account(c Account) declarer.Account {
	out := declarer.Account{
		Name: c.Name, KeyHash: c.KeyHash, Weight: cmp.Or(c.Weight, defaultWeight),
		InFlight: cmp.Or(c.InFlight, defaultInFlight), Targets: []string{},
	}
	for _, p := range a.Programs {
		if slices.Contains(c.Programs, p.Name) {
			out.Targets = append(out.Targets, p.Targets...)
			out.ProgramBudget = max(out.ProgramBudget, p.Budget)
		}
	}
	slices.Sort(out.Targets)
	out.Targets = slices.Compact(out.Targets)
	return out
}

func (t Target) declaration() declarer.Target {
	out := declarer.Target{
		Name: t.Name, Kind: declarer.Engine, NotRunStatuses: t.NotRunStatuses, HonoursFence: t.HonoursFence == "yes",
		Window: cmp.Or(t.InFlight, defaultWindow),
	}
	out.WindowLimit = max(out.Window, cmp.Or(t.MaxInFlight, 2*out.Window))
	if t.Kind == "service" {
		out.Kind = declarer.Service
		out.Repeatable = t.Repeatable == "yes"
		out.TimeoutMS = cmp.Or(t.TimeoutMS, defaultTimeoutMS)
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
