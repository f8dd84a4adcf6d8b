package isolator

import "time"

// crash is the end of one instance of a replica, with the requests that it broke off.
type crash struct {
	service string
	// at is when this daemon learned of it.
	at time.Time
	// confirmed is set once a daemon has checked that the process has ended.
	confirmed bool
	// suspects are the requests by their whole fingerprints.
	suspects map[Fingerprint]*suspect
}
