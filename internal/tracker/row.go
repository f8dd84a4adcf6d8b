package tracker

// Row is a changed row of the registry.
type Row struct {
	ID string
	// Replica is nil if the row was removed.
	Replica *Replica
}
