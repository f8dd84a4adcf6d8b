package forwarder

import "sync/atomic"

// Room bounds the memory of the bodies of requests under way. Its zero value has no room.
type Room struct {
	most int64
	used atomic.Int64
}

// NewRoom returns a room of that many bytes.
func NewRoom(most int64) *Room { return &Room{most: most} }

// Take takes bytes, or returns false if there is not enough room.
func (r *Room) Take(n int64) bool {
	if r.used.Add(n) > r.most {
		r.used.Add(-n)
		return false
	}
	return true
}

// Give returns bytes.
func (r *Room) Give(n int64) { r.used.Add(-n) }
