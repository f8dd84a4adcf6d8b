package isolator

import "slices"

// startBytes is the length of the start of a body that identifies a request.
const startBytes = 256

// Mark identifies a request by what its client sent, whoever receives it and whatever is
// added to it on its way.
type Mark struct {
	// Whole is the fingerprint of all of it.
	Whole Fingerprint
	// Start is that of the same request with the start of its body only. A conversation that
	// its client keeps comes again with more at its end.
	Start Fingerprint
	// prefixes are the fingerprints of the beginnings of the body, the shortest first.
	prefixes []Fingerprint
}

// NewMark returns the mark of a request with the given body and other fields, such as its
// caller and path.
func NewMark(body []byte, fields ...string) Mark {
	return NewTurnMark("", body, fields...)
}

// NewTurnMark returns the mark of a request that continues a turn, or that of NewMark without
// one. Only the whole tells turns apart that continue others: inputs that begin alike may be the
// cause in any conversation.
func NewTurnMark(parent string, body []byte, fields ...string) Mark {
	start := body[:min(startBytes, len(body))]
	m := Mark{Start: newFingerprint(start, fields...), prefixes: newPrefixes(parent, body, fields...)}
	switch {
	case parent != "":
		m.Whole = newFingerprint(body, append(fields[:len(fields):len(fields)], parent)...)
	case len(start) < len(body):
		m.Whole = newFingerprint(body, fields...)
	default:
		m.Whole = m.Start
	}
	return m
}

// beginnings returns the fingerprints of all beginnings, the shortest first.
func (m Mark) beginnings() []Fingerprint {
	s := suspect{Whole: m.Whole, Start: m.Start, Prefixes: m.prefixes}
	return s.beginnings()
}

// String returns both fingerprints in hexadecimal.
func (m Mark) String() string { return m.Whole.String() + "/" + m.Start.String() }

// without returns the mark without the beginnings for which a condition holds.
func (m Mark) without(condition func(f Fingerprint) bool) Mark {
	if m.Start != m.Whole && condition(m.Start) {
		m.Start = m.Whole
	}
	m.prefixes = slices.DeleteFunc(slices.Clone(m.prefixes), condition)
	return m
}
