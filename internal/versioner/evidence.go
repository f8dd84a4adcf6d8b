package versioner

// Evidence is what a daemon knew when a stream began about the process that began it.
type Evidence string

// The evidence of an origin. Proven is that of rows of the former build.
const (
	// Proven means that a read of the registry showed the process later than the connection was
	// opened, by more than a replica takes to write its first row.
	Proven Evidence = ""
	// Certain means that the process lived after the connection was opened.
	Certain Evidence = "certain"
	// Unproven means that the process was known before the connection was opened.
	Unproven Evidence = "unproven"
	// Doubtful means that it is unproven, and the process was seen to end before.
	Doubtful Evidence = "doubtful"
)

// isProof reports whether a daemon that does not settle origins may rely on the evidence.
func (e Evidence) isProof() bool { return e == Proven || e == Certain }
