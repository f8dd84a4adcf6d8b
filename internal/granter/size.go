package granter

import "pimentorail.example/pimentorail/internal/archivist"

const (
	// maxHistoryBytes bounds the history in a reply. Calls between two daemons share a
	// connection, and a write to it may take 0.3 s.
	maxHistoryBytes = 2 << 20
	// maxKeptBytes bounds the turn in a request that closes a grant. Any turn that one call to
	// the store takes is smaller.
	maxKeptBytes = 1 << 20
	// turnOverheadBytes is the size of a turn in a message without its text.
	turnOverheadBytes = 64
)

// fitsMessage reports whether a history is small enough for a reply.
func fitsMessage(turns []archivist.Turn) bool {
	n := 0
	for _, t := range turns {
		n += len(t.ID) + len(t.Parent) + len(t.Text) + turnOverheadBytes
	}
	return n <= maxHistoryBytes
}
