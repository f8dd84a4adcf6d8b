package ranker

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// Costs are the coefficients of the expected completion time, in milliseconds.
type Costs struct {
	// PrefillPerToken is the time to read one prompt token, and DecodePerToken the
	// time to generate one token.
	PrefillPerToken, DecodePerToken float64
	// PlainRequest is the time of a request to a plain service.
	PlainRequest float64
	// Contention is the time that a model request loses when all slots are busy.
	Contention float64
	// Interference weights the time for which each request that runs at the replica stands
	// still while the replica reads the prompt, relative to the time that the request itself
	// waits for the read. It is above one because a read also evicts parts that other
	// prompts share, and these are read again.
	Interference float64
	// CrossZonePerKB is the penalty for each kilobyte sent to another zone, and
	// CrossZoneLatency the network latency to another zone.
	CrossZonePerKB, CrossZoneLatency float64
}

// DefaultCosts are rough values for the engine of a large model. Only their ratios
// matter, since the same values rank all replicas of a service.
var DefaultCosts = Costs{
	PrefillPerToken: 1.0 / 256, DecodePerToken: 0.95, PlainRequest: 15, Contention: 40, Interference: 6, CrossZonePerKB: 0.6, CrossZoneLatency: 2.8,
}

// preferredView returns the view of the preferred replica of a prompt: the replica to
// which all daemons of a zone send a prompt whose first part no replica is known to
// cache, so that one replica reads the part instead of all. It hashes the first part
// with the IDs of the replicas in the zone, and returns nil without parts or replicas.
func preferredView(views []*View, w Work) *View {
	if len(w.Parts) == 0 {
		return nil
	}
	seed := xxhash.Sum64String(w.Parts[0].ID)
	var best *View
	var maxHash uint64
	for _, v := range views {
		if !v.Local {
			continue
		}
		// The multiplication mixes the bits of the two hashes.
		if h := (seed ^ v.hash()) * 0x9e3779b97f4a7c15; best == nil || h > maxHash {
			best, maxHash = v, h
		}
	}
	return best
}

// expectedTime returns the expected completion time of the work at a replica, in
// milliseconds. The preferred replica is credited with half of the first part if it
// caches none of the prompt, so that the daemons of a zone agree on it.
func (c Costs) expectedTime(v *View, w Work, now time.Duration, preferred bool) float64 {
	busy, slots := v.Busy(now), float64(max(1, v.Slots))
	service := c.PlainRequest
	if w.Model {
		service = float64(w.Output) * c.DecodePerToken
		cached := v.Cached(w.Parts)
		if cached == 0 && preferred {
			cached = w.Parts[0].Tokens / 2
		}
		prefill := float64(max(0, w.Prompt-cached)) * c.PrefillPerToken
		service += prefill * (1 + c.Interference*min(busy, slots))
		service += c.Contention * min(busy, slots) / slots
	}
	service *= v.Slowness(now)
	total := service + c.queueTime(v, service, now)
	total += float64(v.Wait) / float64(time.Millisecond)
	// Breaks ties in favour of the replica with more free slots.
	total += busy / slots
	if !v.Local {
		total += c.CrossZoneLatency + c.CrossZonePerKB*float64(w.Bytes)/1024
	}
	return total
}

// queueTime returns the time, in milliseconds, that a request with the given service time
// waits in the queue of a replica.
func (c Costs) queueTime(v *View, service float64, now time.Duration) float64 {
	slots := float64(max(1, v.Slots))
	return service * max(0, v.Busy(now)+1-slots) / slots
}

// Delay returns the time until a replica begins to run a request: until it may be sent
// because of a limit, and then in the replica's queue.
func (c Costs) Delay(v *View, w Work, now time.Duration) time.Duration {
	service := c.PlainRequest
	if w.Model {
		service = float64(w.Output)*c.DecodePerToken + c.Contention
	}
	return v.Wait + time.Duration(c.queueTime(v, service*v.Slowness(now), now)*float64(time.Millisecond))
}

// Choose returns the index of the view with the lowest expected completion time, or
// -1 if there are no views. It takes avoided views only if there are no others. The
// scan begins at the index that startIndex returns for the number of views; of views
// with equal times the first in the scan wins. Package router ranks the candidates of
// the other kind of daemon, which package runner runs.
func (c Costs) Choose(views []*View, w Work, now time.Duration, startIndex func(n int) int) int {
	best := c.best(views, w, now, startIndex, false)
	if best < 0 {
		best = c.best(views, w, now, startIndex, true)
	}
	return best
}

// best returns the index of the best view among those that are avoided, or among
// those that are not, and -1 if there are none.
func (c Costs) best(views []*View, w Work, now time.Duration, startIndex func(n int) int, avoided bool) int {
	best, minTime := -1, 0.0
	if len(views) == 0 {
		return best
	}
	start, preferred := startIndex(len(views)), preferredView(views, w)
	for k := range views {
		i := (start + k) % len(views)
		if views[i].Avoided(now) != avoided {
			continue
		}
		if t := c.expectedTime(views[i], w, now, views[i] == preferred); best < 0 || t < minTime {
			best, minTime = i, t
		}
	}
	return best
}
