package isolator

import "time"

// crash is the end of one instance of a replica, with the requests that it broke off.
type crash struct {
	service, instance string
	// at is when this daemon learned of it.
	at time.Time
	// confirmed is set once a daemon has checked that the process has ended.
	confirmed bool
	// batch numbers the crashes that belong together, and outage is set if they look like an
	// outage.
	batch  int
	outage bool
	// suspects are the requests by their whole fingerprints.
	suspects map[Fingerprint]*suspect
}
