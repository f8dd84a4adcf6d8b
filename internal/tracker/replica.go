package tracker

import "fmt"

// Replica is one replica of a service, as described by its row in the registry of
// replicas. An instance is one start of a replica: the same ID with another start time or
// address is a new instance.
type Replica struct {
	ID      string
	Service string
	Address string
	Zone    string
	// StartedMS is the start time in Unix milliseconds, zero if unknown. It distinguishes the
	// instances of one id.
	StartedMS int64
	Slots     int
	// Sequence increases with each row that an instance writes.
	Sequence int64
	// Version is the version of the software that the instance runs, empty if unknown.
	Version string
	// Draining is set if the replica receives no new requests.
	Draining bool

	instance string
}

// Instance returns the unique name of the instance. It is empty until a Tracker has
// accepted the row.
func (r *Replica) Instance() string { return r.instance }

// SameInstance reports whether two rows describe the same instance. Without start times, rows
// of two versions do not.
func (r *Replica) SameInstance(o *Replica) bool {
	return r.ID == o.ID && r.StartedMS == o.StartedMS && r.Address == o.Address && r.Service == o.Service && !r.otherVersion(o)
}

// otherVersion reports whether two rows without start times have different versions. Sequences
// begin anew with each process, so they do not tell which row was written first.
func (r *Replica) otherVersion(o *Replica) bool {
	return r.StartedMS == 0 && o.StartedMS == 0 && r.Version != o.Version
}

// Older reports whether r was written before o, another row of the same id.
func (r *Replica) Older(o *Replica) bool {
	if r.StartedMS != o.StartedMS {
		return r.StartedMS < o.StartedMS
	}
	return r.Sequence < o.Sequence && !r.otherVersion(o)
}

// setInstance sets the name of the instance and returns the replica.
func (r *Replica) setInstance() *Replica {
	r.instance = fmt.Sprintf("%s/%d/%s", r.ID, r.StartedMS, r.Address)
	return r
}
