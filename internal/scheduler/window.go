package scheduler

import "time"

const (
	windowShrink   = 0.85
	delayTolerance = 2.0
	baseRise       = 1.002
	minWindow      = 1
)

// Window adapts how many calls may be in flight at a replica. It grows by one
// for each window of calls that started without delay, and shrinks when calls
// wait inside the replica, so that the queue stands with the scheduler.
type Window struct {
	size  float64
	limit float64
	fixed bool
	base  time.Duration
	hold  int
}

// NewWindow returns a window that starts at size and never exceeds limit.
func NewWindow(size, limit int) *Window {
	return &Window{size: float64(max(minWindow, size)), limit: float64(max(size, limit))}
}

// FixedWindow returns a window that does not adapt.
func FixedWindow(size int) *Window {
	return &Window{size: float64(max(minWindow, size)), fixed: true}
}

// Size returns the number of calls that may be in flight.
func (w *Window) Size() int { return int(w.size) }

// Observe takes the delay to the first token beyond the expected prefill; full
// says that the window was in full use when the call started.
func (w *Window) Observe(delay time.Duration, full bool) {
	if w.fixed || delay <= 0 {
		return
	}
	if w.base == 0 || delay < w.base {
		w.base = delay
	}
	w.base = time.Duration(float64(w.base) * baseRise)
	if w.hold > 0 {
		w.hold--
		return
	}
	switch {
	case float64(delay) > delayTolerance*float64(w.base):
		w.size = max(minWindow, w.size*windowShrink)
		w.hold = int(w.size)
	case full:
		w.size = min(w.limit, w.size+1/w.size)
	}
}
