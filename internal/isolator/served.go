package isolator

import "time"

const (
	// maxServed bounds the fingerprints of served requests in each of two generations, and
	// servedFor is how long one of them is filled. 32,768 take about 1.5 MB, and beginnings
	// that many requests have in common take one place each.
	maxServed = 32768
	servedFor = 5 * time.Minute
)

// served remembers for minutes with which beginnings this daemon served requests.
type served struct {
	young, old map[Fingerprint]struct{}
	since      time.Time
}

// add remembers a beginning.
func (s *served) add(f Fingerprint, now time.Time) {
	if s.young == nil || len(s.young) >= maxServed || now.Sub(s.since) >= servedFor {
		s.young, s.old, s.since = map[Fingerprint]struct{}{}, s.young, now
	}
	s.young[f] = struct{}{}
}

// has reports whether a request with the beginning was served.
func (s *served) has(f Fingerprint) bool {
	if _, ok := s.young[f]; ok {
		return true
	}
	_, ok := s.old[f]
	return ok
}
