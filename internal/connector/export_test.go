package connector

import "time"

// Paths exports paths for tests.
type Paths struct{ *paths }

// NewPaths returns a Paths that knows nothing.
func NewPaths() Paths { return Paths{newPaths()} }

// Plan returns whether a replica is dialed directly, peers are asked, and its link counts as
// cut.
func (p Paths) Plan(instance string, now time.Time) (direct, detour, cut bool) {
	x := p.plan(instance, now)
	return x.direct, x.detour, x.cut
}

// Reached, Detoured and Unreached record what attempts showed.
func (p Paths) Reached(instance string, now time.Time) { p.reached(instance, now) }

// Detoured is described at Reached.
func (p Paths) Detoured(instance string, now time.Time) { p.detoured(instance, now) }

// Unreached is described at Reached.
func (p Paths) Unreached(instance string, now time.Time) { p.unreached(instance, now) }

// AllCut reports whether all links count as cut.
func (p Paths) AllCut() bool {
	_, all := p.allCut()
	return all
}

// Evict forgets unused replicas and returns the number of those that are left.
func (p Paths) Evict(now time.Time) int {
	p.evict(now)
	return len(p.links)
}

// Times that tests wait for, and a bound that they reach.
const (
	ProbePeriod  = probePeriod
	DetourPause  = detourPause
	CutRetention = cutRetention
	DetourDelay  = detourDelay
	MaxRequests  = maxRequests
)
