package isolator

import "time"

const (
	// firstTrialAfter is how long after the last crash of a condemned beginning another request
	// with it is tried. Each crash beyond maxCrashes multiplies the time by trialGrowth, up to
	// maxTrialAfter, so that a request that comes with more content each time crashes three
	// further replicas (after 5, 65 and 365 s) before the first crashes expire.
	firstTrialAfter = 5 * time.Second
	trialGrowth     = 12
	maxTrialAfter   = 5 * time.Minute
)

// beginning is what is known against a beginning that several bodies at crashes have in common.
type beginning struct {
	// crashes is the number of crashes, and family that of its shortest beginning that was not
	// served. Crashes of a request that comes with more content each time count in the family
	// although the longest common beginning changes.
	crashes, family int
	// roots are the shortest beginnings that were not served.
	roots []Fingerprint
	// last is the time of the last crash.
	last      time.Time
	condemned bool
}

// trialAfter returns the time after a crash or a trial until the next trial.
func (b beginning) trialAfter() time.Duration {
	after := firstTrialAfter
	for range b.family - maxCrashes {
		if after = after * trialGrowth; after >= maxTrialAfter {
			return maxTrialAfter
		}
	}
	return after
}
