package leaser

import (
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// DesiredOwner returns the member that should own a partition by rendezvous hashing, and
// false if live is empty.
func DesiredOwner(partition int, live []Member) (Member, bool) {
	var best Member
	var maxWeight uint64
	found := false
	for _, m := range live {
		weight := xxhash.Sum64String(m.Session + "#" + strconv.Itoa(partition))
		if !found || weight > maxWeight || (weight == maxWeight && m.Session < best.Session) {
			best, maxWeight, found = m, weight, true
		}
	}
	return best, found
}
