package scheduler

import "time"

const (
	windowShrink   = 0.9
	delayTolerance = 2.0
	gapTolerance   = 4.0
	baseFall       = 0.2
	baseRise       = 0.002
	minWindow      = 1
)

// Window adapts how many calls may be in flight at a replica. It grows by one
// for each window of calls that started without delay, and shrinks when calls
// wait inside the replica, so that the queue stands with the scheduler.
type Window struct {
	size  float64
	limit float64
	fixed bool
	base  float64
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

// Observe takes the delay to the first token beyond the expected prefill, and
// the time between tokens. A delay of a few steps is ordinary, since a call
// joins the batch between two steps; full says that the window was in full use
// when the call started.
func (w *Window) Observe(delay, gap time.Duration, full bool) {
	if w.fixed || delay <= 0 {
		return
	}
	d := float64(delay)
	congested := w.base > 0 && d > delayTolerance*w.base+gapTolerance*float64(gap)
	w.follow(d)
	if w.hold > 0 {
		w.hold--
		return
	}
	switch {
	case congested:
		w.size = max(minWindow, w.size*windowShrink)
		w.hold = int(w.size)
	case full:
		w.size = min(w.limit, w.size+1/w.size)
	}
}

// follow keeps the base near the low end of the delays: it falls fast and rises slowly.
func (w *Window) follow(d float64) {
	switch {
	case w.base == 0:
		w.base = d
	case d < w.base:
		w.base += baseFall * (d - w.base)
	default:
		w.base += baseRise * (d - w.base)
	}
}
