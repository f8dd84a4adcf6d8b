package isolator

import "slices"

const (
	// maxRecorded bounds the beginnings of one suspect and of one row of served beginnings, so
	// that a row of 64 suspects takes less than 64 KB.
	maxRecorded = 64
	// maxKnown is the number of the longest, and of the shortest, of those that are recorded
	// because another suspect has them.
	maxKnown = 8
)

// suspect is a request that was at a crash, as rows hold it.
type suspect struct {
	// Whole and Start are those of its mark.
	Whole Fingerprint `json:"whole"`
	Start Fingerprint `json:"start"`
	// Prefixes are some of its beginnings, the shortest first. Rows of daemons that know of
	// Start only have none.
	Prefixes prefixes `json:"prefixes,omitempty"`
}

// newSuspect returns the suspect with a mark: its beginnings at exponentially growing distances
// from its end, and the longest and the shortest that other suspects are known to have. The
// shortest ones join the crashes of a request that comes with much more content each time.
func newSuspect(m Mark, known map[Fingerprint]bool) suspect {
	s := suspect{Whole: m.Whole, Start: m.Start}
	count := 0
	var common []Fingerprint
	for _, f := range m.prefixes {
		count = f.index()
		if known[f] {
			common = append(common, f)
		}
	}
	recorded := map[Fingerprint]bool{}
	for n, f := range common {
		recorded[f] = n < maxKnown || n >= len(common)-maxKnown
	}
	left := maxRecorded - min(len(common), 2*maxKnown)
	for _, f := range slices.Backward(m.prefixes) {
		if !recorded[f] && left > 0 && isRecorded(f.index(), count) {
			recorded[f] = true
			left--
		}
		if recorded[f] {
			s.Prefixes = append(s.Prefixes, f)
		}
	}
	slices.Reverse(s.Prefixes)
	return s
}

// has reports whether a fingerprint is one of the suspect's beginnings.
func (s *suspect) has(f Fingerprint) bool {
	return f == s.Start && f != s.Whole || slices.Contains(s.Prefixes, f)
}

// beginnings returns the fingerprints of all beginnings, the shortest first.
func (s *suspect) beginnings() []Fingerprint {
	if s.Start == s.Whole {
		return s.Prefixes
	}
	n, _ := slices.BinarySearchFunc(s.Prefixes, startIndex, func(f Fingerprint, index int) int { return f.index() - index })
	return slices.Insert(slices.Clone([]Fingerprint(s.Prefixes)), n, s.Start)
}
