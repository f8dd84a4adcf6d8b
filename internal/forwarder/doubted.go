package forwarder

import (
	"context"
	"sync"
	"time"
)

const (
	// verifyAfter is how long a seen end may be confirmed or refuted by the registry alone.
	verifyAfter = 700 * time.Millisecond
	// maxDoubted bounds the instances that wait for a question.
	maxDoubted = 10_000
)

// doubted are the instances at which streams began after their end was seen.
type doubted struct {
	mu        sync.Mutex
	instances map[string]bool
}

// add adds an instance.
func (d *doubted) add(instance string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.instances == nil || len(d.instances) >= maxDoubted {
		d.instances = map[string]bool{}
	}
	d.instances[instance] = true
}

// take removes an instance, and reports whether it was there.
func (d *doubted) take(instance string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	found := d.instances[instance]
	delete(d.instances, instance)
	return found
}

// VerifyEnds asks the replicas whose process was seen to end, at which streams began since, and that
// have not been confirmed for a while, which process they are; call it periodically. A connection
// that breaks off is rarely the end of its process, and the replica's next row may look unchanged.
func (f *Forwarder) VerifyEnds(ctx context.Context) {
	c := f.catalog.Current()
	if c == nil {
		return
	}
	for _, r := range f.placements.EndedBefore(time.Now().Add(-verifyAfter)) {
		if s := c.Service(r.Service); s != nil && f.doubted.take(r.Instance()) {
			_, _ = f.newInquiry(r).ask(ctx, f, s) // Without an answer the end stays likely.
		}
	}
}
