package controller

import "slices"

// State is an engine's role and what it has loaded.
type State struct {
	Role  string   `json:"role"`
	Loads []string `json:"loads"`
}

// Order asks an engine for a state under a fencing number.
type Order struct {
	Fence uint64   `json:"fence"`
	Role  string   `json:"role,omitempty"`
	Loads []string `json:"loads"`
}

// meets reports whether an engine in state s needs no order; an empty role means any.
func (s State) meets(want State) bool {
	if want.Role != "" && want.Role != s.Role {
		return false
	}
	have, need := slices.Sorted(slices.Values(s.Loads)), slices.Sorted(slices.Values(want.Loads))
	return slices.Equal(have, need)
}
