package selector

import (
	"slices"
	"time"

	"pimentorail.example/pimentorail/internal/ranker"
	"pimentorail.example/pimentorail/internal/tracker"
)

// keepApart keeps the replicas at which a request may run because of the suspect requests of
// its service. It returns a BusyError if a suspect is held back.
func (s *views) keepApart(q demand, usable []*tracker.Replica, views []*ranker.View, replicas []*tracker.Replica, now time.Duration) ([]*ranker.View, []*tracker.Replica, error) {
	t := s.trials[q.service.Name]
	if q.suspicion.Crashes > 0 {
		t = s.trialsOf(q.service.Name)
	}
	if t == nil {
		return views, replicas, nil
	}
	t.absences.observe(usable, now)
	if len(q.tried) > 0 {
		// A request goes to a replica that is away at its first attempt at most.
		if upViews, up := keep(views, replicas, func(i int) bool { return t.absences.up(replicas[i]) }); len(up) > 0 {
			views, replicas = upViews, up
		}
	}
	if q.suspicion.Crashes == 0 {
		if after, away := t.absences.untilOneIsBack(usable, now); away && len(replicas) == 0 {
			return nil, nil, &BusyError{reason: allAway, after: after}
		}
		return s.leaveToSuspects(t, usable, views, replicas, now)
	}
	kept, after := t.admit(q.suspicion, usable, replicas, now)
	if after > 0 {
		return nil, nil, &BusyError{reason: inTrial, after: after}
	}
	views, replicas = keep(views, replicas, func(i int) bool { return slices.Contains(kept, replicas[i]) })
	return views, replicas, nil
}

// leaveToSuspects keeps the replicas that are not reserved for suspects, if one of them has a
// free slot, and otherwise those without a suspect that is to be alone.
func (s *views) leaveToSuspects(t *trials, usable []*tracker.Replica, views []*ranker.View, replicas []*tracker.Replica, now time.Duration) ([]*ranker.View, []*tracker.Replica, error) {
	reserved := t.reserved(usable, now)
	if len(reserved) == 0 {
		return views, replicas, nil
	}
	free := false
	otherViews, others := keep(views, replicas, func(i int) bool { return !reserved[replicas[i].Instance()] })
	for i, v := range otherViews {
		free = free || t.absences.up(others[i]) && v.Busy(now) < float64(v.Slots)
	}
	if !free {
		otherViews, others = keep(views, replicas, func(i int) bool { return t.alone[replicas[i].Instance()] == 0 })
	}
	if len(others) == 0 {
		return views, replicas, nil
	}
	return otherViews, others, nil
}

// keep returns the replicas for which a condition holds.
func keep(views []*ranker.View, replicas []*tracker.Replica, condition func(i int) bool) ([]*ranker.View, []*tracker.Replica) {
	var keptViews []*ranker.View
	var keptReplicas []*tracker.Replica
	for i := range views {
		if condition(i) {
			keptViews, keptReplicas = append(keptViews, views[i]), append(keptReplicas, replicas[i])
		}
	}
	return keptViews, keptReplicas
}

// trialsOf returns the trials of a service, and creates them on first use.
func (s *views) trialsOf(service string) *trials {
	t := s.trials[service]
	if t == nil {
		t = newTrials()
		t.absences.observe(s.tracker.Usable(service), s.now())
		s.trials[service] = t
	}
	return t
}

// beginSuspect counts a suspect request as in flight at a replica.
func (s *views) beginSuspect(r *tracker.Replica, p Suspicion, until time.Duration) {
	if p.Crashes > 0 {
		s.trialsOf(r.Service).begin(r.Instance(), p, until)
	}
}

// endSuspect counts a request that was sent at a time as ended, if it is suspect, and records
// whether its replica is there.
func (s *views) endSuspect(r *tracker.Replica, p Suspicion, outcome Outcome, sentAt, now time.Duration) {
	t := s.trials[r.Service]
	if p.Crashes > 0 && t != nil {
		t.end(r.Instance(), p, outcome, sentAt, now)
	}
	switch {
	case outcome == Failed && !s.tracker.IsEnding(r):
		s.trialsOf(r.Service).absences.failed(r, now)
	case outcome == Served && t != nil:
		t.absences.served(r, sentAt, now)
	}
}
