package isolator

import (
	"bytes"
	"time"
)

const (
	// maxCrashes is the number of crashes after which a request is condemned, unless another
	// request explains them as well.
	maxCrashes = 3
	// minExplainedBest is the number of its crashes that no other request may explain as well.
	minExplainedBest = 2
	// maxAmbiguous is the number of crashes after which it is condemned in any case.
	maxAmbiguous = 6
	// outageSpan is the time within which the crashes of an outage follow each other, and
	// minOutage the number of replicas of a service that it ends at least.
	outageSpan = 500 * time.Millisecond
	minOutage  = 4
)

// Verdict is what is known against a request.
type Verdict struct {
	// Crashes is the number of crashes at which it was, or at which several requests with its
	// beginning were, apart from those that a condemned request explains.
	Crashes int
	// Condemned is set if the request is not to be sent to a replica.
	Condemned bool
	// Held is set if the request shares a condemned beginning. It is sent only as a trial, not
	// earlier than after RetryAfter.
	Held       bool
	RetryAfter time.Duration
}

// judgment derives verdicts from crashes.
type judgment struct {
	// crashes are those that are not explained yet, and counts their number by request.
	crashes []crash
	counts  map[Fingerprint]int
}

// judge returns the verdicts on all suspects of the crashes. Requests are condemned one after
// the other, the one with the most crashes first, and the crashes that it explains count
// against no other. The crashes of an outage condemn nobody. Then the common beginnings of
// different requests are judged in the same way; pooled are those that daemons have said to
// have served, and own reports whether this daemon has.
func judge(crashes []crash, pooled map[Fingerprint]bool, own func(Fingerprint) bool) findings {
	j := &judgment{crashes: withoutOutages(crashes)}
	found := findings{wholes: map[Fingerprint]Verdict{}, known: map[Fingerprint]bool{}}
	for {
		j.counts = count(j.crashes)
		guilty, ok := j.pickGuilty()
		if !ok {
			break
		}
		found.wholes[guilty] = Verdict{Crashes: j.counts[guilty], Condemned: true}
		j.removeExplained(guilty)
	}
	for f, n := range j.counts {
		found.wholes[f] = Verdict{Crashes: n}
	}
	f := newFamilies(j.crashes, j.counts)
	f.excuse(func(p Fingerprint) bool { return pooled[p] })
	found.unpooled = f.excuse(own)
	for p := range f.tallies {
		found.known[p] = true
	}
	found.beginnings = f.judge()
	return found
}

// count returns the number of crashes of each suspect.
func count(crashes []crash) map[Fingerprint]int {
	counts := map[Fingerprint]int{}
	for _, c := range crashes {
		for f := range c.suspects {
			counts[f]++
		}
	}
	return counts
}

// pickGuilty returns the request with the most crashes, if they are enough to condemn it. Of
// equal ones it picks the same in all daemons.
func (j *judgment) pickGuilty() (Fingerprint, bool) {
	var best Fingerprint
	found := false
	for f, n := range j.counts {
		if n < maxCrashes || n < maxAmbiguous && j.explainedBest(f) < minExplainedBest {
			continue
		}
		if !found || n > j.counts[best] || n == j.counts[best] && bytes.Compare(f[:], best[:]) < 0 {
			best, found = f, true
		}
	}
	return best, found
}

// explainedBest returns the number of crashes that f explains better than any other request
// there: no other was at as many crashes, so that f is not one that was always beside it.
func (j *judgment) explainedBest(f Fingerprint) int {
	n := 0
	for _, c := range j.crashes {
		if c.suspects[f] != nil && !j.hasRival(c, f) {
			n++
		}
	}
	return n
}

// hasRival reports whether another request of a crash was at as many crashes as f.
func (j *judgment) hasRival(c crash, f Fingerprint) bool {
	for rival := range c.suspects {
		if rival != f && j.counts[rival] >= j.counts[f] {
			return true
		}
	}
	return false
}

// removeExplained removes the crashes that a request explains.
func (j *judgment) removeExplained(f Fingerprint) {
	var left []crash
	for _, c := range j.crashes {
		if c.suspects[f] == nil {
			left = append(left, c)
		}
	}
	j.crashes = left
}

// withoutOutages returns the crashes that do not belong to an outage: many replicas of a
// service that end together and had no request in common.
func withoutOutages(crashes []crash) []crash {
	var left []crash
	for _, c := range crashes {
		var near []crash
		for _, o := range crashes {
			if d := o.at.Sub(c.at); o.service == c.service && d.Abs() <= outageSpan {
				near = append(near, o)
			}
		}
		common := 0
		for _, n := range count(near) {
			common = max(common, n)
		}
		if len(near) < minOutage || 2*common > len(near) {
			left = append(left, c)
		}
	}
	return left
}
