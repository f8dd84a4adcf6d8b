package ratelimiter

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Member is a daemon that takes part in limiting accounts.
type Member struct {
	// Name is the name of its VM, which stays the same across restarts, and Address its address for peers.
	Name, Address string
}

// KeyOf returns the key of an account, its place on a Ring.
func KeyOf(account string) uint64 { return mix(xxhash.Sum64String(account)) }

// mix spreads the bits of a hash; this is the finalizer of SplitMix64.
func mix(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// trioSize is the number of members that decide together who holds an arc.
const trioSize = 3

// Ring is an immutable set of members on a hash ring (consistent hashing). The keys between a member and the one before
// it are that member's arc. The nil Ring is not known yet.
type Ring struct {
	members []Member
	places  []uint64
}

// NewRing returns the ring of members, of which the last one with a name counts.
func NewRing(members ...Member) *Ring {
	byName := map[string]Member{}
	for _, m := range members {
		byName[m.Name] = m
	}
	r := &Ring{members: make([]Member, 0, len(byName))}
	for _, m := range byName {
		r.members = append(r.members, m)
	}
	slices.SortFunc(r.members, func(a, b Member) int {
		return cmp.Or(cmp.Compare(place(a.Name), place(b.Name)), cmp.Compare(a.Name, b.Name))
	})
	for _, m := range r.members {
		r.places = append(r.places, place(m.Name))
	}
	return r
}

func place(name string) uint64 { return mix(xxhash.Sum64String("member/" + name)) }

// With returns the ring with further members, or the same ring if it has them.
func (r *Ring) With(members ...Member) *Ring {
	var added []Member
	for _, m := range members {
		if m.Name != "" && !slices.Contains(r.members, m) {
			added = append(added, m)
		}
	}
	if len(added) == 0 {
		return r
	}
	return NewRing(append(slices.Clone(r.members), added...)...)
}

// Members returns the members in the order of their places. The caller must not modify the list.
func (r *Ring) Members() []Member {
	if r == nil {
		return nil
	}
	return r.members
}

// arcOf returns the index of the member to whose arc a key belongs.
func (r *Ring) arcOf(key uint64) int {
	i, _ := slices.BinarySearch(r.places, key)
	return i % len(r.places)
}

// Trio returns the member to whose arc a key belongs and the two that follow it, or all members if they are
// fewer.
func (r *Ring) Trio(key uint64) []Member {
	if r == nil || len(r.members) == 0 {
		return nil
	}
	return r.trioAt(r.arcOf(key))
}

// trioOf returns the trio of a member's arc, nil for an unknown member.
func (r *Ring) trioOf(arc string) []Member {
	if r == nil {
		return nil
	}
	i, ok := slices.BinarySearchFunc(r.members, place(arc), func(m Member, p uint64) int { return cmp.Compare(place(m.Name), p) })
	for ; ok && i < len(r.members) && r.places[i] == place(arc); i++ {
		if r.members[i].Name == arc {
			return r.trioAt(i)
		}
	}
	return nil
}

func (r *Ring) trioAt(i int) []Member {
	n := min(trioSize, len(r.members))
	if i+n <= len(r.members) {
		return r.members[i : i+n : i+n]
	}
	trio := make([]Member, 0, n)
	for k := range n {
		trio = append(trio, r.members[(i+k)%len(r.members)])
	}
	return trio
}

// Before returns the member whose place comes before that of another one, and false if there is none.
func (r *Ring) Before(name string) (Member, bool) {
	i := slices.IndexFunc(r.Members(), func(m Member) bool { return m.Name == name })
	if i < 0 || len(r.members) < 2 {
		return Member{}, false
	}
	return r.members[(i+len(r.members)-1)%len(r.members)], true
}
