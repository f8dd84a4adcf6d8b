package isolator

import (
	"cmp"
	"slices"
	"time"
)

const (
	// outageSpan is the time within which the crashes of an outage follow each other, and
	// minOutage the number of replicas of a service that it ends at least.
	outageSpan = 500 * time.Millisecond
	minOutage  = 4
	// minBatches is the number of separate batches at which a request must have been that is
	// condemned because of crashes that look like outages. Of requests that take as long as
	// outages are apart some are at three in a row; four leave a margin, and a request that
	// crashes replicas is condemned one crash later than by crashes that look like no outage.
	minBatches = 4
)

// batched numbers the batches of the crashes, and marks those that look like an outage: many
// replicas of a service that end together and had no request in common, nor a beginning with
// which none was served lately. Any other crash is a
// batch of its own.
func batched(crashes []crash) []crash {
	list := slices.Clone(crashes)
	slices.SortFunc(list, func(a, b crash) int {
		return cmp.Or(cmp.Compare(a.service, b.service), a.at.Compare(b.at), cmp.Compare(a.instance, b.instance))
	})
	first := -1 // The first crash of the current outage.
	for n := range list {
		c := &list[n]
		c.batch = n
		if c.outage = inOutage(list, n); !c.outage {
			continue
		}
		if first >= 0 && list[first].service == c.service && c.at.Sub(list[first].at) <= outageSpan {
			c.batch = list[first].batch
		} else {
			first = n
		}
	}
	return list
}

// inOutage reports whether a crash belongs to an outage. The crashes are ordered by service
// and time.
func inOutage(list []crash, n int) bool {
	near := func(k int) bool {
		return list[k].service == list[n].service && list[k].at.Sub(list[n].at).Abs() <= outageSpan
	}
	from, to := n, n+1
	for from > 0 && near(from-1) {
		from--
	}
	for to < len(list) && near(to) {
		to++
	}
	common := 0
	counts := map[Fingerprint]int{}
	for _, c := range list[from:to] {
		there := map[Fingerprint]bool{}
		for f, s := range c.suspects {
			there[f] = true
			for _, p := range s.beginnings() {
				there[p] = true
			}
		}
		for f := range there {
			counts[f]++
			common = max(common, counts[f])
		}
	}
	return to-from >= minOutage && 2*common <= to-from
}

// attendance counts the batches at which a request was.
type attendance struct {
	// single are the crashes that look like no outage, outages the other batches, and explained
	// those of them in which each replica had a request that was at minBatches or more.
	single, outages, explained int
	// last is the number of the last batch counted, from one.
	last int
}

// add counts a crash. Crashes of one batch must follow each other.
func (a *attendance) add(c *crash, explained bool) {
	if a.last == c.batch+1 {
		return
	}
	a.last = c.batch + 1
	if !c.outage {
		a.single++
		return
	}
	a.outages++
	if explained {
		a.explained++
	}
}

// batches returns the number of all batches.
func (a *attendance) batches() int { return a.single + a.outages }

// counted returns the number of batches that count against the request.
func (a *attendance) counted() int { return a.single + a.explained }

// crashes returns the number of crashes for a verdict. A single outage says nothing.
func (a *attendance) crashes() int { return a.single + max(0, a.outages-1) }

// isEnough reports whether the batches condemn the request if no other explains them as well.
// Outages that nothing explains but chance do not, also if there are some others.
func (a *attendance) isEnough() bool {
	return a.single >= maxCrashes || a.counted() >= minBatches && 4*a.explained >= 3*a.outages
}

// isAmbiguous reports whether the request is condemned although another explains the crashes
// as well.
func (a *attendance) isAmbiguous() bool { return a.single >= maxAmbiguous }
