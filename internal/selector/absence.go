package selector

import "time"

// absence is the time since which a replica has been away because an instance of it broke off
// a request or was not reached.
type absence struct {
	instance string
	since    time.Duration
}
