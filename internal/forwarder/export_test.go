package forwarder

import "time"

// Admits reports whether a daemon with a planned stop takes a request.
func Admits(acceptUntil, endsAt, now, deadline time.Time) bool {
	return (&shutdown{acceptUntil: acceptUntil, endsAt: endsAt}).admits(now, deadline)
}
