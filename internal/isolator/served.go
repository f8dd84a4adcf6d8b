package isolator

import "time"

const (
	// maxServed bounds the fingerprints of served requests in each of two generations, and
	// servedFor is how long one of them is filled. 32,768 take about 1.5 MB, and beginnings
	// that many requests have in common take one place each.
	maxServed = 32768
	servedFor = 5 * time.Minute
)

// served remembers for minutes with which beginnings this daemon served requests, and when the
// last of them arrived.
type served struct {
	young, old map[Fingerprint]time.Time
	since      time.Time
}

// add remembers a beginning of a request that arrived at a time.
func (s *served) add(f Fingerprint, arrived, now time.Time) {
	if s.young == nil || len(s.young) >= maxServed || now.Sub(s.since) >= servedFor {
		s.young, s.old, s.since = map[Fingerprint]time.Time{}, s.young, now
	}
	if arrived.After(s.young[f]) {
		s.young[f] = arrived
	}
}

// has reports whether a request with the beginning was served.
func (s *served) has(f Fingerprint) bool { return !s.last(f).IsZero() }

// last returns when the last request with the beginning arrived that was served, zero for none.
func (s *served) last(f Fingerprint) time.Time {
	if at, ok := s.young[f]; ok {
		return at
	}
	return s.old[f]
}
