package selector

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"pimentorail.example/pimentorail/internal/isolator"
	"pimentorail.example/pimentorail/internal/tracker"
)

const (
	// usualTrial is the assumed time of a trial, until one has been observed, and the least
	// time after which a suspect is tried that is held back. maxTrial bounds an observed one,
	// so that a slow request does not hold back all later suspects.
	usualTrial = 250 * time.Millisecond
	maxTrial   = 10 * time.Second
	// maxHeld is how long a suspect is held back because replicas are away. Then it is tried
	// even so, one at a time, because it may be harmless.
	maxHeld = 10 * time.Second
	// heldMargin is how long after the time at which it may be tried a held suspect counts as
	// one whose client comes back. Forwarders extend that time by up to a half.
	heldMargin = time.Second
	// maxHeldSuspects bounds the held suspects that are remembered for one service. Further
	// ones are held back too, but not after a time that considers the others.
	maxHeldSuspects = 1024
	// manyReplicas is the size from which on the suspects of an outage need not be alone. In a
	// service of 14 under crashing requests, whose crashes come together by chance, suspects
	// beside each other lowered the share of served requests from 0.88 to 0.84.
	manyReplicas = 20
	// leftPercent is the percentage of a service that is to be left if all trials crash their
	// replicas. With half of it, 14 replicas had 2.8 crashes by each crashing request and not
	// 2.1, and served no more.
	leftPercent = 80
)

// trials decides when and where the suspect requests of one service are tried. It answers
// requests that crash the replicas which run them, in a service that has few replicas: a
// suspect that runs at once on the replicas that are left ends these too, with all requests
// that are there and become suspects themselves.
//
// A trial puts one replica at risk. The number of replicas at risk is bounded such that most of
// the service is left if all of them crash while others are away (maxAtRisk). The replicas at
// risk are the first in an order that is the same in the coordinators of all zones, and
// requests that are not suspect stay away from them while other replicas have free slots. All
// times are offsets on one clock.
type trials struct {
	absences *absences
	// atRisk is the number of suspects in flight by instance, and alone those of them that
	// are to be alone.
	atRisk, alone map[string]int
	// running holds the suspects that are alone in flight, with the times at which these end
	// at the latest.
	running map[isolator.Fingerprint]time.Duration
	held    map[isolator.Fingerprint]held
	// lasts is the observed time of a trial.
	lasts time.Duration
	// suspects is the number of suspects in flight.
	suspects int
}

func newTrials() *trials {
	return &trials{
		absences: newAbsences(), atRisk: map[string]int{}, alone: map[string]int{}, running: map[isolator.Fingerprint]time.Duration{},
		held: map[isolator.Fingerprint]held{}, lasts: usualTrial,
	}
}

// maxAtRisk returns the number of replicas that may be at risk at a time in a service of which
// some replicas are up and some are missing: so many that leftPercent of all are left, or in a
// service of less than five all but one. A service of one replica has no other choice.
func maxAtRisk(up, missing int) int {
	n := up + missing
	left := min(n-1, (leftPercent*n+99)/100)
	return max(0, up-left)
}

// admit returns the replicas at which a suspect may be tried now, of the candidates for it, or
// the time until a trial is possible.
func (t *trials) admit(p Suspicion, usable, candidates []*tracker.Replica, now time.Duration) ([]*tracker.Replica, time.Duration) {
	if p.alone() && now < t.running[p.Fingerprint] {
		return nil, max(usualTrial, t.lasts)
	}
	up := t.absences.countUp(usable)
	if len(candidates) == 0 && (up > 0 || len(t.absences.list) == 0) {
		return nil, 0
	}
	least, there := t.leastSuspects(candidates)
	if p.Crashes == 1 && len(there) > 0 && (least == 0 || t.absences.size >= manyReplicas) && t.absences.inOutage(up) {
		return there, 0
	}
	if len(there) == 0 || least > 0 || !t.mayTry(p, up, now) {
		return nil, t.hold(p, up, now)
	}
	delete(t.held, p.Fingerprint)
	return []*tracker.Replica{slices.MinFunc(there, compareRank)}, 0
}

// leastSuspects returns the replicas that are up and have the fewest suspects, and how many
// these are.
func (t *trials) leastSuspects(candidates []*tracker.Replica) (int, []*tracker.Replica) {
	least := 0
	var there []*tracker.Replica
	for _, r := range candidates {
		n := t.atRisk[r.Instance()]
		if !t.absences.up(r) || len(there) > 0 && n > least {
			continue
		}
		if n < least {
			there = there[:0]
		}
		least, there = n, append(there, r)
	}
	return least, there
}

// mayTry reports whether another replica may be at risk for a suspect, with a number of
// replicas that are up. Those that were at fewer crashes go first, because they are more
// likely to be harmless.
func (t *trials) mayTry(p Suspicion, up int, now time.Duration) bool {
	limit := maxAtRisk(up, t.absences.missing(up))
	if h, known := t.held[p.Fingerprint]; known && now-h.since >= maxHeld {
		return len(t.atRisk) < max(1, limit)
	}
	return len(t.atRisk) < limit && !t.lessSuspect(p, now)
}

// lessSuspect reports whether a suspect is held back that was at fewer crashes and is due.
func (t *trials) lessSuspect(p Suspicion, now time.Duration) bool {
	for _, h := range t.held {
		if h.crashes < p.Crashes && now <= h.until {
			return true
		}
	}
	return false
}

// hold remembers a suspect as held back and returns the time until it can be tried: until
// enough replicas are back, and one trial after the other for those that were held before.
func (t *trials) hold(p Suspicion, up int, now time.Duration) time.Duration {
	t.forgetHeld(now)
	after, atATime := t.enoughBack(up, now)
	h, known := t.held[p.Fingerprint]
	before := 0
	for _, o := range t.held {
		if o.crashes < p.Crashes || o.crashes == p.Crashes && (!known || o.since < h.since) {
			before++
		}
	}
	after = max(usualTrial, after+time.Duration(before/atATime)*t.lasts)
	if !known {
		h.since = now
	}
	// A suspect that comes again was told too little, so it is told twice as much.
	after = max(after, now-h.since)
	after = max(usualTrial, min(after, h.since+maxHeld-now))
	h.crashes = p.Crashes
	h.until = now + after + after/2 + heldMargin
	if known || len(t.held) < maxHeldSuspects {
		t.held[p.Fingerprint] = h
	}
	return after
}

// enoughBack returns the time until so many replicas are back that one may be at risk, and how
// many may be then.
func (t *trials) enoughBack(up int, now time.Duration) (time.Duration, int) {
	after, missing, times := time.Duration(0), t.absences.missing(up), t.absences.returnTimes(now)
	for n := range missing + 1 {
		if limit := maxAtRisk(up+n, missing-n); limit > 0 {
			return after, limit
		}
		if n < len(times) {
			after = times[n]
		}
	}
	return after, 1
}

// forgetHeld forgets the held suspects whose clients have given up.
func (t *trials) forgetHeld(now time.Duration) {
	for f, h := range t.held {
		if now > h.until {
			delete(t.held, f)
		}
	}
}

// reserved returns the instances that other requests are to leave to suspects: those at risk,
// and the next ones that suspects which are held back are tried at.
func (t *trials) reserved(usable []*tracker.Replica, now time.Duration) map[string]bool {
	reserved := map[string]bool{}
	for instance := range t.atRisk {
		reserved[instance] = true
	}
	if len(t.held) == 0 {
		return reserved
	}
	t.forgetHeld(now)
	up := t.absences.countUp(usable)
	next := slices.DeleteFunc(slices.Clone(usable), func(r *tracker.Replica) bool { return !t.absences.up(r) || reserved[r.Instance()] })
	slices.SortFunc(next, compareRank)
	n := min(len(t.held), max(0, maxAtRisk(up, t.absences.missing(up))-len(t.atRisk)), len(next))
	for _, r := range next[:n] {
		reserved[r.Instance()] = true
	}
	return reserved
}

// compareRank orders replicas by the hashes of their ids, the same in all daemons.
func compareRank(a, b *tracker.Replica) int {
	x, y := xxhash.Sum64String(a.ID), xxhash.Sum64String(b.ID)
	switch {
	case x < y:
		return -1
	case x > y:
		return 1
	}
	return 0
}

// begin counts a suspect as in flight at an instance, until a time at the latest.
func (t *trials) begin(instance string, p Suspicion, until time.Duration) {
	t.suspects++
	t.atRisk[instance]++
	if p.alone() {
		t.alone[instance]++
		t.running[p.Fingerprint] = until
	}
}

// end counts a suspect as ended, which was sent at a time.
func (t *trials) end(instance string, p Suspicion, outcome Outcome, sentAt, now time.Duration) {
	t.suspects--
	decrement(t.atRisk, instance)
	if outcome == Served {
		t.lasts = average(t.lasts, min(now-sentAt, maxTrial))
	}
	if p.alone() {
		decrement(t.alone, instance)
		delete(t.running, p.Fingerprint)
	}
}

// decrement removes one from a count, and the count if it is zero.
func decrement(counts map[string]int, key string) {
	if counts[key]--; counts[key] <= 0 {
		delete(counts, key)
	}
}

// idle reports whether the trials hold nothing.
func (t *trials) idle() bool { return t.suspects == 0 && len(t.held) == 0 && len(t.absences.list) == 0 }
