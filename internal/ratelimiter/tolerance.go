package ratelimiter

import "time"

// Tolerance is what an account may run beyond its limit in any window: a fixed number of requests, and a share of what
// the limit lets through in the window. Daemons that can't reach the holder of an account live on it.
type Tolerance struct {
	window time.Duration
	share  float64
	fixed  float64
}

// NewTolerance returns a tolerance of fixed requests and a share, such as 0.1, of a limit in a window. A window that is
// not positive counts as defaultWindow.
func NewTolerance(window time.Duration, share, fixed float64) Tolerance {
	if window <= 0 {
		window = defaultWindow
	}
	return Tolerance{window: window, share: max(0, share), fixed: max(0, fixed)}
}

const defaultWindow = 5 * time.Second

// Window returns the length of the sliding window.
func (t Tolerance) Window() time.Duration { return t.window }

// Beyond returns the requests beyond the limit.
func (t Tolerance) Beyond(l Limit) float64 { return t.fixed + t.share*l.Within(t.window) }

// reserve returns the limit of the requests that one of the three members of an arc may let run while it is not
// known who holds the arc. In a window that lets through an eighth of the tolerance twice, at three members three
// quarters of it.
func (t Tolerance) reserve(l Limit) Limit {
	credits := t.Beyond(l) / 8
	return Limit{rate: credits / t.window.Seconds(), burst: credits}
}

// unsynced returns the credits that a holder takes at most before another member knows of them. A member that
// follows a holder which was lost counts them as taken.
func (t Tolerance) unsynced(l Limit) float64 { return 2 + l.Within(t.window)/50 }
