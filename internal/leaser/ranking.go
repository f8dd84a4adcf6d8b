package leaser

import (
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// Desired returns the member that should own a partition by rendezvous hashing, and false if none is live.
func Desired(partition int, live []Member) (Member, bool) {
	var best Member
	var most uint64
	found := false
	for _, m := range live {
		weight := xxhash.Sum64String(m.Session + "#" + strconv.Itoa(partition))
		if !found || weight > most || (weight == most && m.Session < best.Session) {
			best, most, found = m, weight, true
		}
	}
	return best, found
}
