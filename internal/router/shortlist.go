package router

import (
	"math/rand/v2"
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// Policy names a way to choose replicas.
type Policy string

const (
	// Affine prefers the replica that holds the prefix and asks others to compare.
	Affine Policy = "affine"
	// Spread asks random replicas and knows no affinity.
	Spread Policy = "spread"
)

// Shortlist returns up to size replicas to ask, without repeats; the first may hold the prefix.
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

func rendezvous(replicas []string, key string) string {
	best, most := "", uint64(0)
	for _, s := range replicas {
		w := xxhash.Sum64String(s + "#" + strconv.Itoa(len(key)) + key)
		if best == "" || w > most || (w == most && s < best) {
			best, most = s, w
		}
	}
	return best
}
