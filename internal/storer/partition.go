package storer

import (
	"strings"
	"time"
)

// partition is a part of the service whose last try failed. The service may be
// away in part only, while all other keys are served.
type partition struct {
	// since and last are the first and the newest failure of a row of failures.
	since, last time.Time
	tried       time.Time
}

// failed notes a failure; failures that are far apart are not one outage.
func (p *partition) failed(now time.Time, l Limits) {
	if now.Sub(p.last) > max(l.Silence, 2*l.Probe) {
		p.since = now
	}
	p.last = now
}

// admits reports whether the partition may be tried now.
func (p *partition) admits(now time.Time, l Limits) bool {
	if p.last.Sub(p.since) > l.Silence && now.Sub(p.tried) < l.Probe {
		return false
	}
	p.tried = now
	return true
}

// part returns the partition of a key, which is table/partition/name.
func part(key string) string {
	_, rest, _ := strings.Cut(key, "/")
	name, _, _ := strings.Cut(rest, "/")
	return name
}
