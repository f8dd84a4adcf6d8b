package cataloger

// Certainty is what a daemon knows about whether its catalog is the newest.
type Certainty int

const (
	// Stalled means that the configuration has not been read lately because the process did not
	// run, or has just resumed. It is known within moments.
	Stalled Certainty = iota
	// Unreachable means that the configuration can't be read, neither from the store nor
	// through a peer, or that its newest version can't be decoded.
	Unreachable
	// Confirmed means that the catalog was the newest a short time ago.
	Confirmed
)

// String returns the name that logs use.
func (c Certainty) String() string { return [...]string{"stalled", "unreachable", "confirmed"}[c] }
