package placer

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// Costs are the figures by which times are expected, in milliseconds.
type Costs struct {
	// Prefill is the time to read one prompt token, and Token to generate one.
	Prefill, Token float64
	// Call is the time of a request to a plain service.
	Call float64
	// Crowd is the time that a model request loses when all slots are busy.
	Crowd float64
	// Away is the time that one kilobyte to another zone is worth, and Hop the way there.
	Away, Hop float64
}

// DefaultCosts are rough figures of a large model's engine; only their
// proportions matter, since all replicas of a service are ranked by the same.
var DefaultCosts = Costs{
	Prefill: 1.0 / 256, Token: 0.95, Call: 15, Crowd: 40, Away: 0.6, Hop: 2.8,
}

// home returns the view to which all daemons of a zone bring a prompt whose first
// part none of them is known to hold, so that it is read once and not everywhere.
func home(views []*View, w Work) *View {
	if len(w.Parts) == 0 {
		return nil
	}
	seed := xxhash.Sum64String(w.Parts[0].ID)
	var best *View
	var most uint64
	for _, v := range views {
		if !v.Local {
			continue
		}
		// The multiplication mixes the bits of the two hashes.
		if h := (seed ^ v.hash()) * 0x9e3779b97f4a7c15; best == nil || h > most {
			best, most = v, h
		}
	}
	return best
}

// expected returns the expected time of the work at a replica, in milliseconds.
func (c Costs) expected(v *View, w Work, now time.Duration, home bool) float64 {
	busy, slots := v.Busy(now), float64(max(1, v.Slots))
	service := c.Call
	if w.Model {
		service = float64(w.Output) * c.Token
		cached := v.Cached(w.Parts)
		if cached == 0 && home {
			cached = w.Parts[0].Tokens / 2
		}
		service += float64(max(0, w.Prompt-cached)) * c.Prefill
		service += c.Crowd * min(busy, slots) / slots
	}
	slow := v.Slowness(now)
	total := service * slow
	if over := busy + 1 - slots; over > 0 {
		total += service * slow * over / slots
	}
	// An equal choice goes to the replica with more room.
	total += busy / slots
	if !v.Local {
		total += c.Hop + c.Away*float64(w.Bytes)/1024
	}
	return total
}

// Choose returns the index of the view with the least expected time, or -1.
// Views that failed a moment ago are taken only if there is no other.
func (c Costs) Choose(views []*View, w Work, now time.Duration, tie func(n int) int) int {
	best := c.best(views, w, now, tie, false)
	if best < 0 {
		best = c.best(views, w, now, tie, true)
	}
	return best
}

func (c Costs) best(views []*View, w Work, now time.Duration, tie func(n int) int, avoided bool) int {
	best, least := -1, 0.0
	if len(views) == 0 {
		return best
	}
	first, at := tie(len(views)), home(views, w)
	for k := range views {
		i := (first + k) % len(views)
		if views[i].Avoided(now) != avoided {
			continue
		}
		if t := c.expected(views[i], w, now, views[i] == at); best < 0 || t < least {
			best, least = i, t
		}
	}
	return best
}
