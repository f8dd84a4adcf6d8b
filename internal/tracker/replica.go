package tracker

import "fmt"

// Replica is one instance of a service as its registry row describes it.
type Replica struct {
	ID      string
	Service string
	Address string
	Zone    string
	// Born tells instances of one id apart, in Unix milliseconds; zero is unknown.
	Born  int64
	Slots int
	// Sequence rises with each row of one instance.
	Sequence int64
	// Draining replicas get no new requests.
	Draining bool

	instance string
}

// Instance names one life of a replica; it is known once a Tracker has taken the row.
func (r *Replica) Instance() string { return r.instance }

// Same reports whether two rows describe the same instance.
func (r *Replica) Same(o *Replica) bool {
	return r.ID == o.ID && r.Born == o.Born && r.Address == o.Address && r.Service == o.Service
}

// Older reports whether a row was written before another row of the same id.
func (r *Replica) Older(o *Replica) bool {
	if r.Born != o.Born {
		return r.Born < o.Born
	}
	return r.Sequence < o.Sequence
}

// name gives the replica the name of its instance.
func (r *Replica) name() *Replica {
	r.instance = fmt.Sprintf("%s/%d/%s", r.ID, r.Born, r.Address)
	return r
}
