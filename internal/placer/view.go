package placer

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// loadMemory is the time in which a told load loses its weight.
	loadMemory = 700 * time.Millisecond
	// slowMemory is the time in which a told slowness loses its weight.
	slowMemory = 600 * time.Millisecond
	// firstPenalty is how long a replica is avoided after its first failure in a row.
	firstPenalty = 300 * time.Millisecond
	maxPenalty   = 5 * time.Second
	// maxParts bounds the parts that are remembered of one replica.
	maxParts = 4096
)

// View is what is believed of one replica; times are on one monotonic scale.
type View struct {
	ID    string
	Local bool
	Slots int
	// CacheTokens is the replica's memory for prompts, zero if unknown.
	CacheTokens int

	told     Load
	toldAt   time.Duration
	known    bool
	mine     int
	mineTold int

	parts  map[string]held
	tokens int

	failures int
	avoid    time.Duration

	hashed uint64
}

// hash returns a number that all daemons have for the replica.
func (v *View) hash() uint64 {
	if v.hashed == 0 {
		v.hashed = xxhash.Sum64String(v.ID)
	}
	return v.hashed
}

// held is a part of a prompt that a replica is believed to hold.
type held struct {
	tokens int
	used   time.Duration
}

// Begin notes a request that is sent.
func (v *View) Begin(w Work, now time.Duration) {
	v.mine++
	v.remember(w.Parts, now)
}

// End notes that a request is over.
func (v *View) End() { v.mine-- }

// Told notes a load report.
func (v *View) Told(l Load, now time.Duration) {
	v.told, v.toldAt, v.known, v.mineTold = l, now, true, v.mine
	if l.Slots > 0 {
		v.Slots = l.Slots
	}
}

// Succeeded notes a whole answer.
func (v *View) Succeeded() { v.failures, v.avoid = 0, 0 }

// Failed notes a request that failed by the replica's or the connection's fault.
func (v *View) Failed(now time.Duration) {
	penalty := min(firstPenalty<<min(v.failures, 8), maxPenalty)
	v.failures++
	v.avoid = now + penalty
}

// Refused notes that the replica had no room.
func (v *View) Refused(now time.Duration) {
	v.Told(Load{Running: v.Slots, Waiting: v.Slots, Slots: v.Slots, Slowness: v.told.Slowness}, now)
}

// Avoided reports whether the replica failed a moment ago.
func (v *View) Avoided(now time.Duration) bool { return now < v.avoid }

// Mine returns the number of our requests there.
func (v *View) Mine() int { return v.mine }

// Age returns how old the load report is, and whether there is one.
func (v *View) Age(now time.Duration) (time.Duration, bool) { return now - v.toldAt, v.known }

// Busy estimates the requests there: ours, and those of others by the last report.
func (v *View) Busy(now time.Duration) float64 {
	if !v.known {
		return float64(v.mine)
	}
	others := max(0, v.told.Running+v.told.Waiting-v.mineTold)
	return float64(v.mine) + float64(others)*weight(now-v.toldAt, loadMemory)
}

// Slowness estimates how long work takes, 1 as usual.
func (v *View) Slowness(now time.Duration) float64 {
	if !v.known || v.told.Slowness <= 1 {
		return 1
	}
	return 1 + (v.told.Slowness-1)*weight(now-v.toldAt, slowMemory)
}

// weight falls from 1 to 0 over the memory.
func weight(age, memory time.Duration) float64 {
	if age >= memory {
		return 0
	}
	return 1 - float64(age)/float64(memory)
}

// Cached returns the tokens of a prompt that the replica is believed to hold:
// a part counts only if all parts before it are held too.
func (v *View) Cached(parts []Part) int {
	n := 0
	for _, p := range parts {
		h, ok := v.parts[p.ID]
		if !ok {
			break
		}
		n += min(h.tokens, p.Tokens)
		if h.tokens < p.Tokens {
			break
		}
	}
	return n
}

// remember notes the parts that a request brings to the replica's memory.
func (v *View) remember(parts []Part, now time.Duration) {
	if len(parts) == 0 {
		return
	}
	if v.parts == nil {
		v.parts = map[string]held{}
	}
	for _, p := range parts {
		old := v.parts[p.ID]
		v.tokens += max(p.Tokens, old.tokens) - old.tokens
		v.parts[p.ID] = held{tokens: max(p.Tokens, old.tokens), used: now}
	}
	for len(v.parts) > maxParts || v.CacheTokens > 0 && v.tokens > v.CacheTokens && len(v.parts) > len(parts) {
		v.evict()
	}
}

// evict forgets the part that was used least recently.
func (v *View) evict() {
	oldest, at := "", time.Duration(0)
	for id, h := range v.parts {
		if oldest == "" || h.used < at {
			oldest, at = id, h.used
		}
	}
	v.tokens -= v.parts[oldest].tokens
	delete(v.parts, oldest)
}
