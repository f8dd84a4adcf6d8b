package selector

import (
	"slices"
	"time"

	"pimentorail.example/pimentorail/internal/tracker"
)

const (
	// usualReturn is the assumed time from a crash until the replica is back, until such a
	// time has been observed. maxReturn bounds an observed one, so that a slow return does not
	// hold back all later suspects.
	usualReturn = 3 * time.Second
	maxReturn   = 10 * time.Second
	// maxAbsence is how long a replica that failed counts as away, and how long the largest
	// size of a service counts. One that comes back later was probably removed or moved.
	maxAbsence = 30 * time.Second
	// minReturn is the least time after which a client is asked to come back, and
	// maxAwayRetry the longest if all replicas are away. They may be back sooner than usual.
	minReturn    = 250 * time.Millisecond
	maxAwayRetry = 2 * time.Second
	// minOutage replicas, and one of outagePart, that are away within outageSpan have ended in
	// an outage rather than because of their requests.
	minOutage  = 4
	outagePart = 4
	outageSpan = 250 * time.Millisecond
)

// absences knows which replicas of one service are away: an instance of them broke off a
// request or was not reached, has served none since, and no other instance is there. Its size
// is bounded by that of the service.
type absences struct {
	list map[string]absence
	// size is the largest number of replicas that were usable at a time, and sizeAt when they
	// last were.
	size   int
	sizeAt time.Duration
	// returns is the observed time from a failure until the replica is back.
	returns time.Duration
}

func newAbsences() *absences { return &absences{list: map[string]absence{}, returns: usualReturn} }

// failed records that an instance broke off a request or was not reached.
func (a *absences) failed(r *tracker.Replica, now time.Duration) {
	if o, away := a.list[r.ID]; !away || o.instance != r.Instance() {
		a.list[r.ID] = absence{instance: r.Instance(), since: now}
	}
}

// served records that an instance served a request that was sent at a time.
func (a *absences) served(r *tracker.Replica, sentAt, now time.Duration) {
	if o, away := a.list[r.ID]; away && o.instance == r.Instance() && sentAt > o.since {
		a.isBack(r.ID, now)
	}
}

// observe records the size of the service, and ends the absence of replicas that are back as
// another instance or that are away for too long.
func (a *absences) observe(usable []*tracker.Replica, now time.Duration) {
	if len(usable) >= a.size || now-a.sizeAt > maxAbsence {
		a.size, a.sizeAt = len(usable), now
	}
	for _, r := range usable {
		if o, away := a.list[r.ID]; away && o.instance != r.Instance() {
			a.isBack(r.ID, now)
		}
	}
	for id, o := range a.list {
		if now-o.since > maxAbsence {
			delete(a.list, id)
		}
	}
}

// isBack ends the absence of a replica.
func (a *absences) isBack(id string, now time.Duration) {
	a.returns = average(a.returns, min(now-a.list[id].since, maxReturn))
	delete(a.list, id)
}

// average moves an average by a fourth towards a new value.
func average(old, value time.Duration) time.Duration { return (3*old + value) / 4 }

// up reports whether a replica is not away.
func (a *absences) up(r *tracker.Replica) bool {
	o, away := a.list[r.ID]
	return !away || o.instance != r.Instance()
}

// countUp returns the number of replicas that are not away.
func (a *absences) countUp(usable []*tracker.Replica) int {
	n := 0
	for _, r := range usable {
		if a.up(r) {
			n++
		}
	}
	return n
}

// missing returns the number of replicas that the service lacks, with a number of replicas that
// are up. A replica that another with a new id has replaced is not missing.
func (a *absences) missing(up int) int { return min(len(a.list), max(0, a.size-up)) }

// inOutage reports whether so many replicas have ended together that their requests are not
// the cause, with a number of replicas that are up.
func (a *absences) inOutage(up int) bool {
	least := max(minOutage, (up+len(a.list))/outagePart)
	for _, o := range a.list {
		near := 0
		for _, p := range a.list {
			if d := o.since - p.since; d.Abs() <= outageSpan {
				near++
			}
		}
		if near >= least {
			return true
		}
	}
	return false
}

// returnTimes returns the times until the replicas that are away are back, the least first. One
// that is overdue is expected the later, the longer it is.
func (a *absences) returnTimes(now time.Duration) []time.Duration {
	times := make([]time.Duration, 0, len(a.list))
	for _, o := range a.list {
		due := o.since + a.returns - now
		if due < 0 {
			due = min(-due, maxAwayRetry)
		}
		times = append(times, max(due, minReturn))
	}
	slices.Sort(times)
	return times
}

// untilOneIsBack returns the time until a replica is back, if all of a service are away.
func (a *absences) untilOneIsBack(usable []*tracker.Replica, now time.Duration) (time.Duration, bool) {
	if len(a.list) == 0 || a.countUp(usable) > 0 {
		return 0, false
	}
	return min(maxAwayRetry, a.returnTimes(now)[0]), true
}
