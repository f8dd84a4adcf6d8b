package placer

import "time"

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
	// Strange is the time lost at a replica that does not remember the object.
	Strange float64
}

// DefaultCosts are rough figures of a large model's engine; only their
// proportions matter, since all replicas of a service are ranked by the same.
var DefaultCosts = Costs{
	Prefill: 1.0 / 256, Token: 0.95, Call: 15, Crowd: 40, Away: 1.2, Hop: 2.8, Strange: 2,
}

// Expected returns the expected time of the work at a replica, in milliseconds.
func (c Costs) Expected(v *View, w Work, now time.Duration) float64 {
	busy, slots := v.Busy(now), float64(max(1, v.Slots))
	service := c.Call
	if w.Model {
		service = float64(w.Output) * c.Token
		service += float64(max(0, w.Prompt-v.Cached(w.Parts))) * c.Prefill
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
	first := tie(len(views))
	for k := range views {
		i := (first + k) % len(views)
		if views[i].Avoided(now) != avoided {
			continue
		}
		if t := c.Expected(views[i], w, now); best < 0 || t < least {
			best, least = i, t
		}
	}
	return best
}
