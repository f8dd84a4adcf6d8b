package router

import (
	"math/rand/v2"
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// Policy is a policy for the selection of replicas to probe.
type Policy string

const (
	// Affine selects the replica that is likely to have the prompt's prefix in its cache,
	// and random ones to compare it with.
	Affine Policy = "affine"
	// Spread selects random replicas only.
	Spread Policy = "spread"
)

// Shortlist returns up to size distinct replicas to probe. With Affine, the first is the
// program's last replica or, if that is not available, the one that prefix hashes to.
func Shortlist(replicas []string, last, prefix string, size int, p Policy, r *rand.Rand) []string {
	var list []string
	if p == Affine && slices.Contains(replicas, last) {
		list = append(list, last)
	}
	if p == Affine && prefix != "" && len(list) == 0 {
		list = append(list, rendezvous(replicas, prefix))
	}
	for len(list) < min(size, len(replicas)) {
		if name := replicas[r.IntN(len(replicas))]; !slices.Contains(list, name) {
			list = append(list, name)
		}
	}
	return list
}

// rendezvous returns the replica with the highest hash for key, so that a change of the
// replicas moves few keys.
func rendezvous(replicas []string, key string) string {
	best, maxWeight := "", uint64(0)
	for _, s := range replicas {
		w := xxhash.Sum64String(s + "#" + strconv.Itoa(len(key)) + key)
		if best == "" || w > maxWeight || (w == maxWeight && s < best) {
			best, maxWeight = s, w
		}
	}
	return best
}
