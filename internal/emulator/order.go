package emulator

// Order tells an engine which desired state to take, under a fencing number.
type Order struct {
	Fence  uint64 `json:"fence"`
	Action string `json:"action"`
	Name   string `json:"name"`
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
	return true
}
