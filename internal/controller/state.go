package controller

import "slices"

// State is an engine's role and the models and adapters that it has loaded.
type State struct {
	Role  string   `json:"role"`
	Loads []string `json:"loads"`
}

// Order tells an engine to enter a state, under a fencing number.
type Order struct {
	Fence uint64   `json:"fence"`
	Role  string   `json:"role,omitempty"`
	Loads []string `json:"loads"`
}

// satisfies reports whether an engine in state s needs no order. An empty role in want
// matches any role.
func (s State) satisfies(want State) bool {
	if want.Role != "" && want.Role != s.Role {
		return false
	}
	have, need := slices.Sorted(slices.Values(s.Loads)), slices.Sorted(slices.Values(want.Loads))
	return slices.Equal(have, need)
}
