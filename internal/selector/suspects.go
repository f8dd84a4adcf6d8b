package selector

import (
	"time"

	"pimentorail.example/pimentorail/internal/ranker"
	"pimentorail.example/pimentorail/internal/tracker"
)

// trialRetryAfter is the time after which a client should retry whose request is to be alone
// and can't be now.
const trialRetryAfter = 250 * time.Millisecond

// isTried reports whether an equal request that is to be alone is in flight.
func (s *views) isTried(p Suspicion, now time.Duration) bool {
	return p.alone() && now < s.trials[p.Fingerprint]
}

// noPlaceApart reports whether a request that is to be alone would meet another suspect at
// each replica.
func (s *views) noPlaceApart(replicas []*tracker.Replica) bool {
	for _, r := range replicas {
		if s.tracked[r.Instance()].suspects == 0 {
			return false
		}
	}
	return len(replicas) > 0
}

// apart keeps the replicas that mix the fewest suspect requests. A suspect goes where the
// fewest others are in flight and, with more than one crash, where the fewest requests are.
// All others stay away from a suspect that is to be alone.
func (s *views) apart(views []*ranker.View, replicas []*tracker.Replica, p Suspicion, now time.Duration) ([]*ranker.View, []*tracker.Replica) {
	views, replicas = keepLeast(views, replicas, func(i int) float64 { return float64(s.tracked[replicas[i].Instance()].alone) })
	if p.Crashes > 0 {
		views, replicas = keepLeast(views, replicas, func(i int) float64 { return float64(s.tracked[replicas[i].Instance()].suspects) })
	}
	if p.alone() {
		views, replicas = keepLeast(views, replicas, func(i int) float64 { return views[i].Busy(now) })
	}
	return views, replicas
}

// keepLeast returns the replicas with the least value.
func keepLeast(views []*ranker.View, replicas []*tracker.Replica, value func(i int) float64) ([]*ranker.View, []*tracker.Replica) {
	var keptViews []*ranker.View
	var keptReplicas []*tracker.Replica
	least := 0.0
	for i := range views {
		v := value(i)
		if len(keptViews) > 0 && v > least {
			continue
		}
		if len(keptViews) > 0 && v < least {
			keptViews, keptReplicas = keptViews[:0], keptReplicas[:0]
		}
		least = v
		keptViews, keptReplicas = append(keptViews, views[i]), append(keptReplicas, replicas[i])
	}
	return keptViews, keptReplicas
}

// beginSuspect counts a suspect request as in flight at a replica.
func (s *views) beginSuspect(instance string, p Suspicion, until time.Duration) {
	if p.Crashes == 0 {
		return
	}
	e := s.tracked[instance]
	e.suspects++
	s.suspectsInFlight++
	if p.alone() {
		e.alone++
		s.trials[p.Fingerprint] = until
	}
}

// endSuspect counts a suspect request as ended.
func (s *views) endSuspect(e *tracked, p Suspicion) {
	if p.Crashes == 0 {
		return
	}
	e.suspects--
	s.suspectsInFlight--
	if p.alone() {
		e.alone--
		delete(s.trials, p.Fingerprint)
	}
}
