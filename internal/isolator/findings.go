package isolator

// findings are the result of a judgment.
type findings struct {
	// wholes are the verdicts on requests, and beginnings what is known against beginnings
	// that several bodies have in common.
	wholes     map[Fingerprint]Verdict
	beginnings map[Fingerprint]beginning
	// unreported are the beginnings that several bodies at crashes have in common, with which this
	// daemon served a request that arrived after the first of the crashes and no daemon has
	// reported it yet, and unreportedEarlier those with which it served one before.
	unreported, unreportedEarlier []Fingerprint
	// known are the beginnings of all suspects with which no request was served since.
	known map[Fingerprint]bool
}

// retained returns the suspects that are condemned and the beginnings of families in which one
// is. Their crashes are kept, also those that only the family has in common.
func (f *findings) retained() map[Fingerprint]bool {
	retained := map[Fingerprint]bool{}
	for w, v := range f.wholes {
		if v.Condemned {
			retained[w] = true
		}
	}
	for p, b := range f.beginnings {
		if !b.condemned {
			continue
		}
		retained[p] = true
		for _, root := range b.roots {
			retained[root] = true
		}
	}
	return retained
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
