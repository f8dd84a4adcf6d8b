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
	// crashes are those that are not explained yet, and counts their batches by request.
	crashes []crash
	counts  map[Fingerprint]*attendance
	// explained are the outages in which each replica had a request that was at several.
	explained map[int]bool
	// before are the verdicts of the previous judgment.
	before map[Fingerprint]Verdict
}

// judge returns the verdicts on all suspects of the crashes. Requests are condemned one after
// the other, the one with the most crashes first, and the crashes that it explains count
// against no other. Crashes that look like an outage count only if requests that were at many
// separate batches explain all of it. Then the common beginnings of different requests are
// judged in the same way; reported are those with which daemons have reported to have served
// requests, true if one arrived after the first crash, and own returns when a request arrived
// that this daemon served last.
func judge(crashes []crash, reported map[Fingerprint]bool, own func(Fingerprint) time.Time, before map[Fingerprint]Verdict) findings {
	j := newJudgment(crashes)
	j.before = before
	f := newFamilies(j.crashes, j.counts)
	f.excuse(reported, own)
	j.explain(f.explainedOutages())
	found := findings{wholes: map[Fingerprint]Verdict{}, known: map[Fingerprint]bool{}}
	base := map[Fingerprint]int{}
	for {
		guilty, ok := j.pickGuilty()
		if !ok {
			break
		}
		found.wholes[guilty] = Verdict{Crashes: j.counts[guilty].batches(), Condemned: true}
		for _, p := range j.beginningsOf(guilty) {
			base[p] += j.counts[guilty].counted()
		}
		j.removeExplained(guilty)
		j.count()
	}
	for f, a := range j.counts {
		if n := a.crashes(); n > 0 {
			found.wholes[f] = Verdict{Crashes: n}
		}
	}
	f = newFamilies(j.crashes, j.counts)
	f.base = base
	found.unreported, found.unreportedEarlier = f.excuse(reported, own)
	for p := range f.tallies {
		found.known[p] = !f.harmless[p]
	}
	found.beginnings = f.judge(j.explained)
	return found
}

func newJudgment(crashes []crash) *judgment {
	j := &judgment{crashes: batched(crashes), explained: map[int]bool{}}
	j.count()
	return j
}

// explain finds the outages that requests explain; byBeginnings are those that the beginnings of
// requests help to explain.
func (j *judgment) explain(byBeginnings map[int]bool) {
	for _, c := range j.crashes {
		known, seen := j.explained[c.batch]
		j.explained[c.batch] = byBeginnings[c.batch] || (known || !seen) && j.hasRepeater(c)
	}
	j.count()
}

// hasRepeater reports whether a request of a crash was at minBatches or more.
func (j *judgment) hasRepeater(c crash) bool {
	for f := range c.suspects {
		if j.counts[f].batches() >= minBatches {
			return true
		}
	}
	return false
}

// count counts the batches of each suspect.
func (j *judgment) count() {
	j.counts = map[Fingerprint]*attendance{}
	for _, c := range j.crashes {
		for f := range c.suspects {
			a := j.counts[f]
			if a == nil {
				a = &attendance{}
				j.counts[f] = a
			}
			a.add(&c, j.explained[c.batch])
		}
	}
}

// pickGuilty returns the request with the most crashes, if they are enough to condemn it. Of
// equal ones it picks the same in all daemons.
func (j *judgment) pickGuilty() (Fingerprint, bool) {
	var best Fingerprint
	found := false
	for f, a := range j.counts {
		if !j.isStanding(f, a) && (!a.isEnough() || !a.isAmbiguous() && j.explainedBest(f) < minExplainedBest) {
			continue
		}
		if !found || a.counted() > j.counts[best].counted() || a.counted() == j.counts[best].counted() && bytes.Compare(f[:], best[:]) < 0 {
			best, found = f, true
		}
	}
	return best, found
}

// isStanding reports whether a request stays condemned that was condemned because of batches.
// Rows of other requests, which explained these batches, expire earlier than its own.
func (j *judgment) isStanding(f Fingerprint, a *attendance) bool {
	return j.before[f].Condemned && a.single < maxCrashes && a.batches() >= maxCrashes
}

// explainedBest returns the number of batches that f explains better than any other request
// there: no other was at as many crashes, so that f is not one that was always beside it.
func (j *judgment) explainedBest(f Fingerprint) int {
	rivals := map[int]bool{}
	for _, c := range j.crashes {
		if c.suspects[f] != nil && (!c.outage || j.explained[c.batch]) {
			rivals[c.batch] = rivals[c.batch] || j.hasRival(c, f)
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

// hasRival reports whether another request of a crash was at as many crashes as f.
func (j *judgment) hasRival(c crash, f Fingerprint) bool {
	for rival := range c.suspects {
		if rival != f && j.counts[rival].counted() >= j.counts[f].counted() {
			return true
		}
	}
	return false
}

// beginningsOf returns the recorded beginnings of a request.
func (j *judgment) beginningsOf(f Fingerprint) []Fingerprint {
	for _, c := range j.crashes {
		if s := c.suspects[f]; s != nil {
			return s.beginnings()
		}
	}
	return nil
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
