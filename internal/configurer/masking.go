package configurer

import (
	"context"
	"encoding/json"
	"fmt"
	"regexp"

	"pimentorail.example/pimentorail/internal/declarer"
)

var keyHash = regexp.MustCompile(`("key-sha256":")[0-9a-f]{64}"`)

// Masked returns an object's value without key hashes.
func Masked(v json.RawMessage) string {
	return keyHash.ReplaceAllString(string(v), `${1}(hidden)"`)
}

// Mask returns the edit without key hashes.
func (e Edit) Mask() Edit {
	if e.From != nil {
		e.From = json.RawMessage(Masked(e.From))
	}
	if e.To != nil {
		e.To = json.RawMessage(Masked(e.To))
	}
	return e
}

// Conflict returns the fault that tells what was changed since a version.
func (g *Registry) Conflict(ctx context.Context, since uint64) error { return g.conflict(ctx, since) }

// Warnings says which edits would break running work.
func Warnings(edits []Edit) []string {
	var list []string
	for _, e := range edits {
		from, err := declarer.Assemble(map[string]json.RawMessage{e.Key: e.From})
		if e.From == nil || err != nil {
			continue
		}
		to := &declarer.Declarations{}
		if e.To != nil {
			if to, err = declarer.Assemble(map[string]json.RawMessage{e.Key: e.To}); err != nil {
				continue
			}
		}
		list = append(list, compare(from, to)...)
	}
	return list
}

func compare(from, to *declarer.Declarations) []string {
	var list []string
	for _, a := range from.Accounts {
		if len(to.Accounts) == 0 {
			list = append(list, fmt.Sprintf("account %s is removed: its programs can make no more calls", a.Name))
		} else if to.Accounts[0].ProgramBudget < a.ProgramBudget {
			list = append(list, fmt.Sprintf("account %s: the program budget falls from %d to %d; programs that exist keep theirs", a.Name, a.ProgramBudget, to.Accounts[0].ProgramBudget))
		}
	}
	for _, t := range from.Targets {
		if len(to.Targets) == 0 {
			list = append(list, fmt.Sprintf("target %s is removed: calls under way finish, new ones are refused", t.Name))
			continue
		}
		list = append(list, removedReplicas(t, to.Targets[0])...)
	}
	return list
}

func removedReplicas(from, to declarer.Target) []string {
	var list []string
	kept := map[string]bool{}
	for _, r := range to.Replicas {
		kept[r.Name] = true
	}
	for _, r := range from.Replicas {
		if !kept[r.Name] && !r.Draining {
			list = append(list, fmt.Sprintf("replica %s is removed without a drain", declarer.ReplicaID(from.Name, r.Name)))
		}
	}
	return list
}
