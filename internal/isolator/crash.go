package isolator

import "time"

// crash is the end of one instance of a replica, with the requests that it broke off.
type crash struct {
	service string
	// at is when this daemon learned of it.
	at       time.Time
	suspects map[Fingerprint]bool
}
