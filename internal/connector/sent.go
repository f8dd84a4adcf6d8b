package connector

import (
	"hash/maphash"
	"slices"
)

// maxRequests is the number of requests that a connection is used for. It bounds the memory for
// their IDs to 8 KB a connection, and costs one new connection in 1024 requests.
const maxRequests = 1024

var idSeed = maphash.MakeSeed()

// idHash is the hash of a call's ID, zero if it has none. Two IDs with the same hash only cost a
// connection.
type idHash uint64

func hashID(id string) idHash {
	if id == "" {
		return 0
	}
	return max(1, idHash(maphash.String(idSeed, id)))
}

// sentIDs are the IDs that were sent on one connection.
type sentIDs struct{ list []idHash }

// contains reports whether an ID was sent.
func (s *sentIDs) contains(h idHash) bool { return h != 0 && slices.Contains(s.list, h) }

func (s *sentIDs) add(h idHash) {
	if h != 0 {
		s.list = append(s.list, h)
	}
}

func (s *sentIDs) full() bool { return len(s.list) >= maxRequests }
