package forwarder

import (
	"sync"

	"github.com/pkg/errors"

	"pimentorail.example/pimentorail/internal/selector"
)

const (
	// freeResponseBytes is the memory of a response that is not counted, so that ordinary
	// responses take no lock and are served when the memory is used up.
	freeResponseBytes = 16 << 10
	// minOutputBytes is the memory that a turn with a history needs for its output, or it is
	// refused before it runs.
	minOutputBytes = 64 << 10
	// minOutputDivisor limits minOutputBytes to a part of the memory, on a VM with very little.
	minOutputDivisor = 16
)

// errResponseMemory is returned for a response that can't be held.
var errResponseMemory = errors.New("not enough memory for the response")

// responseMemory limits the memory of the responses in progress: heads, bodies and events that
// are not forwarded yet, and the output of turns until it is persisted. A limit of zero is none.
type responseMemory struct {
	limit int64

	mu  sync.Mutex
	all int64
	// ofReplica is what the responses of each instance of a replica hold.
	ofReplica map[string]int64
}

func newResponseMemory(limit int64) *responseMemory {
	return &responseMemory{limit: limit, ofReplica: map[string]int64{}}
}

// used returns the memory in use.
func (m *responseMemory) used() int64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.all
}

// takesOutput reports whether a response of an instance may hold the output of a turn.
func (m *responseMemory) takesOutput(instance string) bool {
	if m.limit == 0 {
		return true
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	return responseShare(m.limit, m.all, m.ofReplica[instance], 0) >= min(minOutputBytes, m.limit/minOutputDivisor)
}

// reserve reserves n bytes for a response of an instance that holds own bytes.
func (m *responseMemory) reserve(instance string, own, n int64) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if share := responseShare(m.limit, m.all, m.ofReplica[instance], own); own+n > share {
		return errors.Wrapf(errResponseMemory, "%d bytes, share %d", own+n, max(0, share))
	}
	m.all += n
	m.ofReplica[instance] += n
	return nil
}

// release returns n bytes.
func (m *responseMemory) release(instance string, n int64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.all -= n
	m.ofReplica[instance] -= n
	if m.ofReplica[instance] == 0 {
		delete(m.ofReplica, instance)
	}
}

// reportMemory logs and counts an attempt that failed because its response could not be held.
func (f *Forwarder) reportMemory(j *job, c *selector.Choice, res result) {
	if !errors.Is(j.cause, errResponseMemory) {
		return
	}
	f.meter.countWithoutMemory()
	f.logger.Event("forwarder", "no memory for response").Str("id", j.request.ID).Str("replica", c.Replica.ID).Str("instance", c.Instance).
		Str("result", res.String()).Int("used", int(f.responses.used())).Int("limit", int(f.responses.limit)).Err(j.cause).End()
}
