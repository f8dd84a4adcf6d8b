package configurer

import (
	"context"
	"encoding/json"
	"fmt"
	"regexp"

	"pimentorail.example/pimentorail/internal/declarer"
)

var keyHashPattern = regexp.MustCompile(`("key-sha256":")[0-9a-f]{64}"`)

// MaskKeyHashes returns an object's value with its key hashes replaced by "(hidden)".
func MaskKeyHashes(v json.RawMessage) string {
	return keyHashPattern.ReplaceAllString(string(v), `${1}(hidden)"`)
}

// Mask returns the edit with the key hashes of both values masked.
func (e Edit) Mask() Edit {
	if e.From != nil {
		e.From = json.RawMessage(MaskKeyHashes(e.From))
	}
	if e.To != nil {
		e.To = json.RawMessage(MaskKeyHashes(e.To))
	}
	return e
}

// Conflict returns a ConfigConflict fault that lists the first changes since a version.
func (g *Repository) Conflict(ctx context.Context, since uint64) error {
	return g.conflictSince(ctx, since)
}

// Warnings describes the edits that would disrupt running work.
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
		list = append(list, breakingChanges(from, to)...)
	}
	return list
}

// breakingChanges describes how the edit of one object would disrupt running work. The
// declarations hold only the object's old and new value.
func breakingChanges(from, to *declarer.Declarations) []string {
	var list []string
	for _, a := range from.Accounts {
		if len(to.Accounts) == 0 {
			list = append(list, fmt.Sprintf("account %s is removed: its programs can make no more calls", a.Name))
		} else if to.Accounts[0].ProgramBudget < a.ProgramBudget {
			list = append(list, fmt.Sprintf("account %s: the program budget falls from %d to %d; existing programs keep theirs", a.Name, a.ProgramBudget, to.Accounts[0].ProgramBudget))
		}
	}
	for _, t := range from.Targets {
		if len(to.Targets) == 0 {
			list = append(list, fmt.Sprintf("target %s is removed: calls in flight finish, new ones are refused", t.Name))
			continue
		}
		list = append(list, removedReplicas(t, to.Targets[0])...)
	}
	return list
}

// removedReplicas returns a warning for each replica that is removed without being
// drained first.
func removedReplicas(from, to declarer.Target) []string {
	var list []string
	remaining := map[string]bool{}
	for _, r := range to.Replicas {
		remaining[r.Name] = true
	}
	for _, r := range from.Replicas {
		if !remaining[r.Name] && !r.Draining {
			list = append(list, fmt.Sprintf("replica %s is removed without a drain", declarer.ReplicaID(from.Name, r.Name)))
		}
	}
	return list
}
