package forwarder

import "sync/atomic"

// MemoryLimit limits the memory of the bodies of requests in progress. The zero value has a
// limit of zero bytes.
type MemoryLimit struct {
	limit int64
	used  atomic.Int64
}

// NewMemoryLimit returns a MemoryLimit with a limit in bytes.
func NewMemoryLimit(limit int64) *MemoryLimit { return &MemoryLimit{limit: limit} }

// Acquire reserves n bytes, or returns false if that would exceed the limit.
func (m *MemoryLimit) Acquire(n int64) bool {
	if m.used.Add(n) > m.limit {
		m.used.Add(-n)
		return false
	}
	return true
}

// Release releases n bytes.
func (m *MemoryLimit) Release(n int64) { m.used.Add(-n) }
