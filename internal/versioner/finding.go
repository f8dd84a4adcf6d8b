package versioner

// Finding is what a daemon that resumes a stream finds at the replica that began it.
type Finding struct {
	// Alive is set if the process that the origin names showed that it lived after the stream
	// began.
	Alive bool
	// Replaced is set if another process is at the replica's address or in its row, and StartedMS
	// is the start time of that process in Unix milliseconds, zero if unknown.
	Replaced  bool
	StartedMS int64
	// Covered is set if a read of the registry shows no other process, and began when the first row of
	// one was due, or when nothing listened at the address any more.
	Covered bool
}

// Verdict is what follows from an origin and a finding.
type Verdict int

// The verdicts.
const (
	// Refused means that another process may have begun the stream.
	Refused Verdict = iota
	// Settled means that the stream began at the version that the origin names.
	Settled
	// Open means that a read of the registry decides.
	Open
)

// Settle decides whether a stream began at the version that its origin names.
//
// It handles streams that break off before their daemon knew to which process a new connection
// led, such as by the end of the daemon or of the replica, while a replica that starts again with
// another version must not be taken for the process before.
func (o Origin) Settle(f Finding) Verdict {
	switch {
	case f.Alive || o.Evidence == Certain || o.Replica == "":
		return Settled
	case o.Evidence == Proven && f.Replaced && o.startedBefore(f.StartedMS):
		return Refused // The registry showed the earlier process after the later one had begun.
	case o.Evidence == Proven:
		return Settled
	case f.Replaced:
		return Refused
	case !f.Covered:
		return Open
	case o.Evidence == Unproven:
		return Settled
	}
	return Refused
}
