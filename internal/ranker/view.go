package ranker

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// loadDecay is the age at which a load report no longer counts. In a load peak the
	// requests that a report counts stay at the replica for seconds.
	loadDecay = 4 * time.Second
	// slownessDecay is the age at which a reported slowness no longer counts.
	slownessDecay = 600 * time.Millisecond
	// minPenalty is how long a replica is avoided after its first consecutive failure;
	// it doubles with each further failure up to maxPenalty.
	minPenalty = 300 * time.Millisecond
	maxPenalty = 5 * time.Second
	// maxCachedParts bounds the cached parts that are tracked for one replica.
	maxCachedParts = 4096
)

// View is a daemon's estimate of the state of one replica. All times are offsets on
// one monotonic clock.
type View struct {
	ID    string
	Local bool
	Slots int
	// CacheTokens is the capacity of the replica's prompt cache, zero if unknown.
	CacheTokens int
	// Wait is the time until the replica may get another request because of a limit that it
	// named. The owner of the view sets it before each choice.
	Wait time.Duration

	reported            Load
	reportedAt          time.Duration
	hasReport           bool
	ownInFlight         int
	ownInFlightAtReport int

	cachedParts  map[string]cachedPart
	cachedTokens int

	failures   int
	avoidUntil time.Duration

	idHash uint64
}

// hash returns the hash of the replica's ID, which is the same in all daemons.
func (v *View) hash() uint64 {
	if v.idHash == 0 {
		v.idHash = xxhash.Sum64String(v.ID)
	}
	return v.idHash
}

// cachedPart is a part of a prompt that a replica is estimated to cache.
type cachedPart struct {
	tokens int
	used   time.Duration
}

// Begin counts a request that is sent to the replica and records the prompt parts
// that the replica caches because of it.
func (v *View) Begin(w Work, now time.Duration) {
	v.ownInFlight++
	v.recordParts(w.Parts, now)
}

// End counts a request to the replica as ended.
func (v *View) End() { v.ownInFlight-- }

// ReportLoad records a load report of the replica.
func (v *View) ReportLoad(l Load, now time.Duration) {
	v.reported, v.reportedAt, v.hasReport, v.ownInFlightAtReport = l, now, true, v.ownInFlight
	if l.Slots > 0 {
		v.Slots = l.Slots
	}
}

// Succeeded records a complete response and resets the failure penalty.
func (v *View) Succeeded() { v.failures, v.avoidUntil = 0, 0 }

// Failed records a failure of the replica or of the connection to it, and avoids the
// replica for a time that doubles with each consecutive failure.
func (v *View) Failed(now time.Duration) {
	penalty := min(minPenalty<<min(v.failures, 8), maxPenalty)
	v.failures++
	v.avoidUntil = now + penalty
}

// Refused records that the replica had no capacity for a request. It counts all slots
// as busy, with as many requests waiting.
func (v *View) Refused(now time.Duration) {
	v.ReportLoad(Load{Running: v.Slots, Waiting: v.Slots, Slots: v.Slots, Slowness: v.reported.Slowness}, now)
}

// Avoided reports whether the penalty of a recent failure is still in force.
func (v *View) Avoided(now time.Duration) bool { return now < v.avoidUntil }

// OwnInFlight returns the number of this daemon's in-flight requests at the replica.
func (v *View) OwnInFlight() int { return v.ownInFlight }

// Age returns the age of the last load report, and false if there is none.
func (v *View) Age(now time.Duration) (time.Duration, bool) { return now - v.reportedAt, v.hasReport }

// Busy estimates the in-flight requests at the replica: this daemon's own, and those of
// other daemons by the last load report, weighted by its age.
func (v *View) Busy(now time.Duration) float64 {
	if !v.hasReport {
		return float64(v.ownInFlight)
	}
	others := max(0, v.reported.Running+v.reported.Waiting-v.ownInFlightAtReport)
	return float64(v.ownInFlight) + float64(others)*weight(now-v.reportedAt, loadDecay)
}

// Slowness estimates the current service time relative to the usual one, which is 1.
func (v *View) Slowness(now time.Duration) float64 {
	if !v.hasReport || v.reported.Slowness <= 1 {
		return 1
	}
	return 1 + (v.reported.Slowness-1)*weight(now-v.reportedAt, slownessDecay)
}

// weight falls linearly from 1 at age 0 to 0 at the decay time.
func weight(age, decay time.Duration) float64 {
	if age >= decay {
		return 0
	}
	return 1 - float64(age)/float64(decay)
}

// Cached estimates how many tokens of a prompt the replica caches. A part counts only
// if all parts before it are cached too.
func (v *View) Cached(parts []Part) int {
	n := 0
	for _, p := range parts {
		h, ok := v.cachedParts[p.ID]
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

// UnderWay reports whether a replica had an earlier turn of the session to which the last
// part of a prompt belongs.
func UnderWay(views []*View, parts []Part) bool {
	if len(parts) == 0 {
		return false
	}
	last := parts[len(parts)-1].ID
	for _, v := range views {
		if _, ok := v.cachedParts[last]; ok {
			return true
		}
	}
	return false
}

// recordParts adds the parts of a request to the replica's cache and evicts old parts
// over its capacity.
func (v *View) recordParts(parts []Part, now time.Duration) {
	if len(parts) == 0 {
		return
	}
	if v.cachedParts == nil {
		v.cachedParts = map[string]cachedPart{}
	}
	for _, p := range parts {
		old := v.cachedParts[p.ID]
		v.cachedTokens += max(p.Tokens, old.tokens) - old.tokens
		v.cachedParts[p.ID] = cachedPart{tokens: max(p.Tokens, old.tokens), used: now}
	}
	for len(v.cachedParts) > maxCachedParts || v.CacheTokens > 0 && v.cachedTokens > v.CacheTokens && len(v.cachedParts) > len(parts) {
		v.evict()
	}
}

// evict removes the least recently used part.
func (v *View) evict() {
	oldest, lastUsed := "", time.Duration(0)
	for id, h := range v.cachedParts {
		if oldest == "" || h.used < lastUsed {
			oldest, lastUsed = id, h.used
		}
	}
	v.cachedTokens -= v.cachedParts[oldest].tokens
	delete(v.cachedParts, oldest)
}
