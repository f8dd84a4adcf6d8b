package isolator

import (
	"bytes"
	"cmp"
	"slices"
	"time"
)

// maxFamilies bounds the suspects whose beginnings are compared. Those of crashes with few
// suspects say most and come first.
const maxFamilies = 512

// families compares the beginnings of the suspects of crashes that no whole request explains.
// A beginning that several bodies at crashes have in common is condemned in the same way as a
// whole request, the longest first, unless a request with it was served.
type families struct {
	crashes []scene
	// wholes are the counts of whole requests, and sizes the numbers of crashes by batch.
	wholes map[Fingerprint]*attendance
	sizes  map[int]int
	// harmless are the beginnings with which requests were served that arrived after the first
	// crash, and earlier those with which any were.
	harmless, earlier map[Fingerprint]bool
	// base is the number of crashes that a condemned whole request with the beginning explains.
	// Another body with that beginning at a further crash shows what they have in common.
	base    map[Fingerprint]int
	tallies map[Fingerprint]*tally
}

// scene is a crash with its suspects' beginnings.
type scene struct {
	crash
	members []member
}

// member is a suspect with all its beginnings, the shortest first.
type member struct {
	*suspect
	all []Fingerprint
}

// tally counts the crashes of a beginning.
type tally struct {
	attendance
	// times are those of the first crash of each batch, and confirmed is the number of batches
	// that are confirmed.
	times     []time.Time
	confirmed int
	// first is the time of the first crash.
	first time.Time
	// body is one of the bodies with the beginning, and several is set if there are others.
	body    Fingerprint
	several bool
}

// newFamilies returns the families of crashes. wholes are the counts of whole requests.
func newFamilies(crashes []crash, wholes map[Fingerprint]*attendance) *families {
	f := &families{wholes: wholes, harmless: map[Fingerprint]bool{}, earlier: map[Fingerprint]bool{}, base: map[Fingerprint]int{}, sizes: map[int]int{}}
	crashes = slices.Clone(crashes)
	for _, c := range crashes {
		f.sizes[c.batch]++
	}
	slices.SortFunc(crashes, func(a, b crash) int {
		return cmp.Or(cmp.Compare(len(a.suspects), len(b.suspects)), b.at.Compare(a.at))
	})
	left := maxFamilies
	for _, c := range crashes {
		if left -= len(c.suspects); left < 0 {
			break
		}
		x := scene{crash: c}
		for _, s := range c.suspects {
			x.members = append(x.members, member{suspect: s, all: s.beginnings()})
		}
		f.crashes = append(f.crashes, x)
	}
	slices.SortFunc(f.crashes, func(a, b scene) int { return cmp.Or(cmp.Compare(a.batch, b.batch), a.at.Compare(b.at)) })
	f.count(nil)
	return f
}

// count counts the crashes of all beginnings. explained are the outages that count.
func (f *families) count(explained map[int]bool) {
	f.tallies = map[Fingerprint]*tally{}
	for _, c := range f.crashes {
		for _, s := range c.members {
			for _, p := range s.all {
				t := f.tallies[p]
				if t == nil {
					t = &tally{body: s.Whole, first: c.at}
					f.tallies[p] = t
				}
				t.several = t.several || t.body != s.Whole
				if c.at.Before(t.first) {
					t.first = c.at
				}
				before := t.batches()
				t.add(&c.crash, explained[c.batch])
				if t.batches() > before {
					t.times = append(t.times, c.at)
					if c.confirmed {
						t.confirmed++
					}
				}
			}
		}
	}
}

// explainedOutages returns the outages in which each replica had a request that was at
// minBatches or more, or one with a beginning that was.
func (f *families) explainedOutages() map[int]bool {
	left := map[int]int{}
	for _, c := range f.crashes {
		if c.outage && f.hasRepeater(c) {
			left[c.batch]++
		}
	}
	explained := map[int]bool{}
	for batch, n := range left {
		explained[batch] = n == f.sizes[batch]
	}
	return explained
}

// hasRepeater reports whether a request of a crash, or a beginning of one, was at minBatches or
// more.
func (f *families) hasRepeater(c scene) bool {
	for _, s := range c.members {
		if f.wholes[s.Whole].batches() >= minBatches {
			return true
		}
		for _, p := range s.all {
			if f.isShared(p) && f.tallies[p].batches() >= minBatches {
				return true
			}
		}
	}
	return false
}

// isShared reports whether several bodies at several batches have a beginning, and no request
// with it was served.
func (f *families) isShared(p Fingerprint) bool {
	t := f.tallies[p]
	return t != nil && (t.several && len(t.times) > 1 || f.base[p] > 0) && !f.harmless[p]
}

// crashesOf returns the number of batches that count against a beginning, zero for one that
// was served.
func (f *families) crashesOf(p Fingerprint) int {
	if !f.isShared(p) {
		return 0
	}
	return f.tallies[p].counted() + f.base[p]
}

// isEnough reports whether the crashes condemn a beginning if no other explains them as well.
func (f *families) isEnough(p Fingerprint) bool {
	t := f.tallies[p]
	return t.isEnough() || f.base[p] > 0 && t.single > 0 && t.single+f.base[p] >= maxCrashes
}

// excuse records the beginnings with which requests were served, and those that are shorter:
// as harmless if one of these requests arrived after the first crash with the beginning, and as
// served earlier otherwise. It returns the ones of both kinds that several bodies at confirmed
// crashes have and that only this daemon knows of.
func (f *families) excuse(reported map[Fingerprint]bool, own func(Fingerprint) time.Time) (harmless, earlier []Fingerprint) {
	for _, c := range f.crashes {
		for _, s := range c.members {
			isHarmless, isEarlier := false, false
			for _, p := range slices.Backward(s.all) {
				at := own(p)
				after, known := reported[p]
				isHarmless = isHarmless || after || at.After(f.tallies[p].first)
				isEarlier = isEarlier || known || !at.IsZero()
				f.harmless[p] = f.harmless[p] || isHarmless
				f.earlier[p] = f.earlier[p] || isEarlier
			}
		}
	}
	for p, t := range f.tallies {
		after, known := reported[p]
		switch {
		case !t.several || t.confirmed < 2:
		case f.harmless[p] && !after:
			harmless = append(harmless, p)
		case f.earlier[p] && !known:
			earlier = append(earlier, p)
		}
	}
	slices.SortFunc(harmless, longerFirst)
	slices.SortFunc(earlier, longerFirst)
	return harmless, earlier
}

// longerFirst orders beginnings by length, in the same way in all daemons.
func longerFirst(a, b Fingerprint) int {
	return cmp.Or(cmp.Compare(b.index(), a.index()), bytes.Compare(a[:], b[:]))
}

// judge returns what is known against the beginnings. explained are the outages that count.
func (f *families) judge(explained map[int]bool) map[Fingerprint]beginning {
	found := map[Fingerprint]beginning{}
	f.count(explained)
	all := f.tallies
	for {
		guilty, ok := f.pickGuilty(explained)
		if !ok {
			break
		}
		found[guilty] = f.describe(guilty, all, true)
		f.removeExplained(guilty)
		f.count(explained)
	}
	for p := range f.tallies {
		if _, known := found[p]; !known && f.isShared(p) && !f.earlier[p] {
			found[p] = f.describe(p, all, false)
		}
	}
	return found
}

// describe returns what is known against a beginning. all are the counts before any crash was
// explained.
func (f *families) describe(p Fingerprint, all map[Fingerprint]*tally, condemned bool) beginning {
	t := f.tallies[p]
	times := t.times
	b := beginning{crashes: t.crashes() + f.base[p], family: t.batches() + f.base[p], last: times[len(times)-1], condemned: condemned}
	for _, c := range f.crashes {
		for _, s := range c.members {
			if !s.has(p) {
				continue
			}
			for _, shortest := range s.all {
				if !f.harmless[shortest] {
					b.family = max(b.family, all[shortest].batches()+f.base[shortest])
					b.roots = append(b.roots, shortest)
					break
				}
			}
		}
	}
	return b
}

// pickGuilty returns the longest beginning that explains enough crashes to be condemned.
func (f *families) pickGuilty(explained map[int]bool) (Fingerprint, bool) {
	var candidates []Fingerprint
	for p, t := range f.tallies {
		// Requests that were served earlier show that not all with the beginning are the
		// cause, unless the crashes go on and no other is served any more.
		if f.isEnough(p) && f.isShared(p) && (!f.earlier[p] || t.counted()+f.base[p] >= maxAmbiguous) {
			candidates = append(candidates, p)
		}
	}
	slices.SortFunc(candidates, longerFirst)
	for _, p := range candidates {
		if f.tallies[p].isAmbiguous() || f.explainedBest(p, explained)+f.base[p] >= minExplainedBest {
			return p, true
		}
	}
	return Fingerprint{}, false
}

// explainedBest returns the number of batches at which no request without the beginning was at
// as many crashes, or has a beginning that was.
func (f *families) explainedBest(p Fingerprint, explained map[int]bool) int {
	rivals := map[int]bool{}
	for _, c := range f.crashes {
		if c.outage && !explained[c.batch] {
			continue
		}
		if there, rival := f.compare(c, p); there {
			rivals[c.batch] = rivals[c.batch] || rival
		}
	}
	n := 0
	for _, rival := range rivals {
		if !rival {
			n++
		}
	}
	return n
}

// compare reports whether a request with the beginning was at a crash, and whether another
// request explains as many crashes.
func (f *families) compare(c scene, p Fingerprint) (there, rival bool) {
	own := map[Fingerprint]bool{}
	for _, s := range c.members {
		if s.has(p) {
			there = true
			for _, o := range s.all {
				own[o] = true
			}
		}
	}
	if !there {
		return false, false
	}
	crashes := f.crashesOf(p)
	for _, s := range c.members {
		if s.has(p) {
			continue
		}
		if f.wholes[s.Whole].counted() >= crashes {
			return true, true
		}
		for _, o := range s.all {
			if !own[o] && f.crashesOf(o) >= crashes {
				return true, true
			}
		}
	}
	return true, false
}

// removeExplained removes the crashes that a beginning explains.
func (f *families) removeExplained(p Fingerprint) {
	f.crashes = slices.DeleteFunc(f.crashes, func(c scene) bool {
		for _, s := range c.members {
			if s.has(p) {
				return true
			}
		}
		return false
	})
}
