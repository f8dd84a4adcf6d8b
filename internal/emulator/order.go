package emulator

import (
	"cmp"
	"slices"
)

// Order tells an engine which desired state to take, under a fencing number.
type Order struct {
	Fence uint64   `json:"fence"`
	Role  string   `json:"role,omitempty"`
	Loads []string `json:"loads"`
}

// EngineState is what an engine has loaded and which role it has.
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

// Orders returns the orders that the engine took.
func (e *Engine) Orders() []Order {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Clone(e.orders)
}

// order takes an order; it returns false if the fencing number is old and honoured.
func (e *Engine) order(o Order) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if o.Fence < e.fence && !e.o.IgnoreFence {
		return false
	}
	e.fence = max(e.fence, o.Fence)
	e.orders = append(e.orders, o)
	e.state.Loads = slices.Clone(o.Loads)
	e.state.Role = cmp.Or(o.Role, e.state.Role)
	return true
}
