package emulator

import (
	"cmp"
	"slices"
)

// Order sets the desired state of an engine, under a fencing number.
type Order struct {
	Fence uint64   `json:"fence"`
	Role  string   `json:"role,omitempty"`
	Loads []string `json:"loads"`
}

// EngineState is the role of an engine and what it has loaded.
type EngineState struct {
	Role  string   `json:"role"`
	Loads []string `json:"loads"`
}

// State returns the engine's state.
func (e *Engine) State() EngineState {
	e.mu.Lock()
	defer e.mu.Unlock()
	return EngineState{Role: e.state.Role, Loads: slices.Clone(e.state.Loads)}
}

// Orders returns the orders that the engine accepted.
func (e *Engine) Orders() []Order {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Clone(e.orders)
}

// applyOrder applies an order. It returns false if the fencing number is outdated, unless the
// engine ignores fences.
func (e *Engine) applyOrder(o Order) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if o.Fence < e.fence && !e.options.IgnoreFence {
		return false
	}
	e.fence = max(e.fence, o.Fence)
	e.orders = append(e.orders, o)
	e.state.Loads = slices.Clone(o.Loads)
	e.state.Role = cmp.Or(o.Role, e.state.Role)
	return true
}
