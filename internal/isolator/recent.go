package isolator

import "time"

const (
	// maxRecent bounds the requests that are remembered as served.
	maxRecent = 4096
	// recentFor is how long a served request is above suspicion. Requests that many clients
	// send are served all the time and would be at each crash of an outage.
	recentFor = 10 * time.Second
)

// recent remembers requests that were served lately, in two generations.
type recent struct {
	young, old map[Fingerprint]time.Time
}

// add remembers a request.
func (r *recent) add(f Fingerprint, now time.Time) {
	if r.young == nil || len(r.young) >= maxRecent/2 {
		r.young, r.old = map[Fingerprint]time.Time{}, r.young
	}
	r.young[f] = now
}

// has reports whether a request was served lately.
func (r *recent) has(f Fingerprint, now time.Time) bool {
	at, ok := r.young[f]
	if !ok {
		at, ok = r.old[f]
	}
	return ok && now.Sub(at) < recentFor
}
