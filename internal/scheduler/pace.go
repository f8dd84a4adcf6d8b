package scheduler

import "time"

const (
	paceWeight = 0.3
	rateWeight = 0.2
)

// Pace is a replica's speed as seen by our own streams.
type Pace struct {
	gap     float64
	least   float64
	prefill float64
	tokens  float64
	rate    float64
	seen    int
	last    time.Duration
}

// Gap returns the smoothed time between tokens, zero if unknown.
func (p *Pace) Gap() time.Duration { return time.Duration(p.gap) }

// Tokens returns the smoothed service of a call, in tokens.
func (p *Pace) Tokens() float64 { return p.tokens }

// Rate returns the smoothed service rate, in tokens a second, zero if unknown.
func (p *Pace) Rate() float64 {
	if p.seen < minObserved {
		return 0
	}
	return p.rate
}

const (
	minObserved = 8
	minComputed = 64
)

// Prefill returns the smoothed time to compute one prompt token, zero if unknown.
func (p *Pace) Prefill() time.Duration { return time.Duration(p.prefill) }

// ObserveFirst takes the time to the first token of a call and the number of
// prompt tokens that were computed for it.
func (p *Pace) ObserveFirst(d time.Duration, computed int) {
	if p.least == 0 || float64(d) < p.least {
		p.least = float64(d)
	}
	if computed >= minComputed {
		smooth(&p.prefill, (float64(d)-p.least)/float64(computed), rateWeight)
	}
}

// ObserveCall takes a finished call: its service in tokens, its time between
// tokens, and how many calls were in flight with it.
func (p *Pace) ObserveCall(now time.Duration, service float64, gap, took time.Duration, inFlight int) {
	if gap > 0 {
		smooth(&p.gap, float64(gap), paceWeight)
	}
	smooth(&p.tokens, service, rateWeight)
	if took > 0 {
		smooth(&p.rate, service/took.Seconds()*float64(max(1, inFlight)), rateWeight)
	}
	p.seen++
	p.last = now
}

// Stale reports whether the pace is older than age, so that it should be probed again.
func (p *Pace) Stale(now, age time.Duration) bool { return p.seen == 0 || now-p.last > age }

func smooth(v *float64, x, weight float64) {
	if *v == 0 {
		*v = x
		return
	}
	*v += weight * (x - *v)
}
