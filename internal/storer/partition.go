package storer

import (
	"strings"
	"time"
)

// failedPartition is the state of a partition of the store whose last attempt failed. A
// partition of the store holds the rows with the same middle segment in their keys; it is
// not a partition of programs (package leaser). An outage may affect one partition only,
// while all other keys are served.
type failedPartition struct {
	// firstFailure and lastFailure are the times of the first and the newest of a run
	// of failures.
	firstFailure, lastFailure time.Time
	lastAttempt               time.Time
}

// recordFailure records a failure. Failures that are far apart are not one outage.
func (p *failedPartition) recordFailure(now time.Time, l Limits) {
	if now.Sub(p.lastFailure) > max(l.OutageAfter, 2*l.ProbeInterval) {
		p.firstFailure = now
	}
	p.lastFailure = now
}

// admits reports whether an attempt may be made now, and if so records it.
func (p *failedPartition) admits(now time.Time, l Limits) bool {
	if p.lastFailure.Sub(p.firstFailure) > l.OutageAfter && now.Sub(p.lastAttempt) < l.ProbeInterval {
		return false
	}
	p.lastAttempt = now
	return true
}

// partitionOf returns the partition of the store, the middle segment of a key of the form
// table/partition/name.
func partitionOf(key string) string {
	_, rest, _ := strings.Cut(key, "/")
	name, _, _ := strings.Cut(rest, "/")
	return name
}
