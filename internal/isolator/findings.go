package isolator

// findings are the result of a judgment.
type findings struct {
	// wholes are the verdicts on requests, and beginnings what is known against beginnings
	// that several bodies have in common.
	wholes     map[Fingerprint]Verdict
	beginnings map[Fingerprint]beginning
	// unpooled are the beginnings that several bodies at crashes have in common, with which
	// this daemon served a request and no daemon has said so yet.
	unpooled []Fingerprint
	// known are the beginnings of all suspects.
	known map[Fingerprint]bool
}

// condemns reports whether a suspect or one of its beginnings is condemned.
func (f *findings) condemns(s *suspect) bool {
	if f.wholes[s.Whole].Condemned || f.beginnings[s.Start].condemned {
		return true
	}
	for _, p := range s.Prefixes {
		if f.beginnings[p].condemned {
			return true
		}
	}
	return false
}

// shared returns the longest of the beginnings of a request that is at the most crashes, or
// the zero Fingerprint if other suspects share none.
func (f *findings) shared(m Mark) Fingerprint {
	var most Fingerprint
	for _, p := range m.beginnings() {
		if b, ok := f.beginnings[p]; ok && b.crashes >= f.beginnings[most].crashes {
			most = p
		}
	}
	return most
}
