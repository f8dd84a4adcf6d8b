package forwarder

import "sync/atomic"

// Room limits the memory of the bodies of requests in progress. The zero value has a limit
// of zero bytes.
type Room struct {
	limit int64
	used  atomic.Int64
}

// NewRoom returns a Room with a limit in bytes.
func NewRoom(limit int64) *Room { return &Room{limit: limit} }

// Take reserves n bytes, or returns false if that would exceed the limit.
func (r *Room) Take(n int64) bool {
	if r.used.Add(n) > r.limit {
		r.used.Add(-n)
		return false
	}
	return true
}

// Give releases n bytes.
func (r *Room) Give(n int64) { r.used.Add(-n) }
