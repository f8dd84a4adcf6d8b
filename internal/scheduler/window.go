package scheduler

import "time"

const (
	// shrinkFactor multiplies the size of the window when the replica is congested.
	shrinkFactor = 0.9
	// delayTolerance times the base delay plus gapTolerance times the time between tokens
	// is the delay above which a replica counts as congested.
	delayTolerance = 2.0
	gapTolerance   = 4.0
	// baseFallWeight and baseRiseWeight are the weights of a new delay in the moving average
	// of the base delay, if it is below or above the base.
	baseFallWeight = 0.2
	baseRiseWeight = 0.002
	minWindow      = 1
)

// Window adapts how many calls may be in flight at a replica. It grows by one for each
// window of calls that started without delay. It shrinks when calls wait inside the
// replica, so that they queue in the scheduler, which can order them.
type Window struct {
	size  float64
	limit float64
	fixed bool
	// baseDelay is the delay without congestion in nanoseconds, zero if unknown.
	baseDelay float64
	// cooldown is the number of calls to observe before the size may change again.
	cooldown int
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

// Observe records a call's delay to the first token beyond the expected prefill, and its
// time between tokens. A delay of a few decoding steps is normal, since a call joins the
// batch between two steps. The window grows only if full is set: it was fully used when
// the call started.
func (w *Window) Observe(delay, gap time.Duration, full bool) {
	if w.fixed || delay <= 0 {
		return
	}
	d := float64(delay)
	congested := w.baseDelay > 0 && d > delayTolerance*w.baseDelay+gapTolerance*float64(gap)
	w.updateBaseDelay(d)
	if w.cooldown > 0 {
		w.cooldown--
		return
	}
	switch {
	case congested:
		w.size = max(minWindow, w.size*shrinkFactor)
		w.cooldown = int(w.size)
	case full:
		w.size = min(w.limit, w.size+1/w.size)
	}
}

// updateBaseDelay keeps the base near the low end of the delays: it falls fast and rises
// slowly.
func (w *Window) updateBaseDelay(d float64) {
	switch {
	case w.baseDelay == 0:
		w.baseDelay = d
	case d < w.baseDelay:
		w.baseDelay += baseFallWeight * (d - w.baseDelay)
	default:
		w.baseDelay += baseRiseWeight * (d - w.baseDelay)
	}
}
