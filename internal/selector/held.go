package selector

import "time"

// held is a suspect request that was refused as not run until a trial is possible.
type held struct {
	// since is when it was first refused, and until when its client has come back at the
	// latest or has given up.
	since, until time.Duration
	// crashes is the number of crashes at which it was.
	crashes int
}
