package isolator

// startBytes is the length of the start of a body that identifies a request.
const startBytes = 256

// Mark identifies a request by what its client sent, whoever receives it and whatever is
// added to it on its way.
type Mark struct {
	// Whole is the fingerprint of all of it.
	Whole Fingerprint `json:"whole"`
	// Start is that of the same request with the start of its body only. A conversation that
	// its client keeps comes again with more at its end.
	Start Fingerprint `json:"start"`
}

// NewMark returns the mark of a request with the given body and other fields, such as its
// caller and path.
func NewMark(body []byte, fields ...string) Mark {
	return NewTurnMark("", body, fields...)
}

// NewTurnMark returns the mark of a request that continues a turn, or that of NewMark without
// one.
func NewTurnMark(parent string, body []byte, fields ...string) Mark {
	if parent != "" {
		fields = append(fields[:len(fields):len(fields)], parent)
	}
	fields = fields[:len(fields):len(fields)]
	start := body[:min(startBytes, len(body))]
	m := Mark{Start: newFingerprint(append(fields, string(start))...)}
	if m.Whole = m.Start; len(start) < len(body) {
		m.Whole = newFingerprint(append(fields, string(body))...)
	}
	return m
}

// String returns both fingerprints in hexadecimal.
func (m Mark) String() string { return m.Whole.String() + "/" + m.Start.String() }
