package forwarder

import "time"

// Admits reports whether a daemon with a planned stop takes a request.
func Admits(acceptUntil, endsAt, now, deadline time.Time) bool {
	return (&shutdown{acceptUntil: acceptUntil, endsAt: endsAt}).admits(now, deadline)
}

// FreeResponseBytes is the memory of a response that is not counted.
const FreeResponseBytes = freeResponseBytes

// ResponseShare is responseShare.
var ResponseShare = responseShare

// Leases is the memory of responses.
type Leases struct{ memory *responseMemory }

// NewLeases returns Leases with a limit in bytes.
func NewLeases(limit int64) Leases { return Leases{newResponseMemory(limit)} }

// Open returns functions that add bytes to a response of an instance and remove some.
func (l Leases) Open(instance string) (hold func(n int) error, drop func(n int)) {
	r := &responseLease{memory: l.memory, instance: instance}
	return r.hold, r.drop
}

// Used returns the memory in use.
func (l Leases) Used() int64 { return l.memory.used() }

// TakesOutput reports whether a turn with a history may be sent to an instance.
func (l Leases) TakesOutput(instance string) bool { return l.memory.takesOutput(instance) }
