package cataloger

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Kind classifies the requests of a route by whether they may run more than once.
type Kind int

const (
	// Unsafe requests run at most once.
	Unsafe Kind = iota
	// Safe requests may run more than once.
	Safe
	// Streaming requests are answered with a stream of events and run at most once.
	Streaming
)

// Share is the weight of one service in a route's traffic split.
type Share struct {
	Service string
	Weight  int
}

// Route configures the requests of one host and path prefix.
type Route struct {
	Name   string
	Host   string
	Prefix string
	Kind   Kind
	// Timeout is the maximum duration of a request, zero for no limit.
	Timeout time.Duration
	// MaxRuns limits the number of replicas that may have run one request of a Safe route.
	// Attempts in which the request certainly did not run do not count. A request of another
	// kind is not sent again once it may have run.
	MaxRuns int
	Shares  []Share
	// Retain reports whether turns are persisted.
	Retain bool
	// Resumable reports whether a client may resume a stream that broke off, after the last
	// event that it received.
	Resumable bool
	// Public reports whether clients need no key where the configuration names accounts.
	Public bool
	// Priority is the rank of the route's requests, where 0 is the highest. That of an account
	// takes precedence.
	Priority int
}

// Repeatable reports whether a request that may have run on one replica may be retried on
// another.
func (r *Route) Repeatable() bool { return r.Kind == Safe }

// LeadsTo reports whether the route leads requests to a service.
func (r *Route) LeadsTo(service string) bool {
	return slices.ContainsFunc(r.Shares, func(s Share) bool { return s.Service == service && s.Weight > 0 })
}

// Service returns the name of the service for a request, chosen by weight. The same request
// id always gets the same service.
func (r *Route) Service(id string) string {
	total := 0
	for _, s := range r.Shares {
		total += s.Weight
	}
	if total <= 0 {
		return ""
	}
	point := int(xxhash.Sum64String(id) % uint64(total))
	for _, s := range r.Shares {
		if point < s.Weight {
			return s.Service
		}
		point -= s.Weight
	}
	return ""
}
