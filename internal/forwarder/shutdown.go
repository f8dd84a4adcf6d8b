package forwarder

import (
	"time"

	"pimentorail.example/pimentorail/pkg/classifier"
)

// stopRetryAfter is the time after which a client that a stopping daemon refused should
// retry. Another daemon takes the request at once.
const stopRetryAfter = 20 * time.Millisecond

// answerMargin is the time from the deadline of a request until its client has the answer,
// on a VM that is short of processor time.
const answerMargin = 300 * time.Millisecond

// shutdown is the schedule of a planned stop.
type shutdown struct {
	// acceptUntil is when the balancer and the clients have had time to leave, and endsAt
	// when requests in progress are cut off.
	acceptUntil, endsAt time.Time
}

// admits reports whether a request that arrives now is taken. After acceptUntil it is taken
// only if it ends in time, whatever the replica does.
func (s *shutdown) admits(now, deadline time.Time) bool {
	return s == nil || now.Before(s.acceptUntil) || !deadline.Add(answerMargin).After(s.endsAt)
}

// Shutdown begins a planned stop: from acceptUntil on, requests that might not be answered
// before endsAt are refused, so that none is cut off that was taken late.
func (f *Forwarder) Shutdown(acceptUntil, endsAt time.Time) {
	f.shutdown.Store(&shutdown{acceptUntil: acceptUntil, endsAt: endsAt})
}

// refuseWhenStopping returns a fault for a request that a planned stop would cut off.
func (f *Forwarder) refuseWhenStopping(j *job) *classifier.Fault {
	s := f.shutdown.Load()
	if s.admits(time.Now(), j.deadline) {
		return nil
	}
	return classifier.New(classifier.Stopping, classifier.RanNo, "the daemon ends in %v, before the deadline of the request in %v",
		time.Until(s.endsAt).Round(time.Millisecond), time.Until(j.deadline).Round(time.Millisecond)).After(stopRetryAfter)
}
