package cataloger

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// Kind says what may be repeated on a route.
type Kind int

const (
	// Unsafe requests run at most once.
	Unsafe Kind = iota
	// Safe requests may run more than once.
	Safe
	// Streaming requests answer with a series of events and run at most once.
	Streaming
)

// Share is a weighted service of a route.
type Share struct {
	Service string
	Weight  int
}

// Route says how the requests below one host and path prefix are handled.
type Route struct {
	Name   string
	Host   string
	Prefix string
	Kind   Kind
	// Timeout is the longest time that a request may take, zero for none.
	Timeout time.Duration
	// Attempts bounds the replicas that one request is sent to.
	Attempts int
	Shares   []Share
	// Retain says that turns are kept.
	Retain bool
}

// Repeatable reports whether a request may run on a second replica after it may have run on a first.
func (r *Route) Repeatable() bool { return r.Kind == Safe }

// Service returns the service of a request: the same request id always gets the same one.
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
