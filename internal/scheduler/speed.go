package scheduler

import "time"

const (
	// gapSmoothing is the weight of a new value in the moving average of the time between
	// tokens, and defaultSmoothing that in the other averages.
	gapSmoothing     = 0.3
	defaultSmoothing = 0.2
)

// SpeedEstimate holds moving averages of a replica's speed, taken from the calls that
// the scheduler sent to it.
type SpeedEstimate struct {
	// gap is the time between tokens in nanoseconds.
	gap float64
	// minFirst is the shortest time to the first token in nanoseconds.
	minFirst float64
	// prefill is the time to compute one prompt token in nanoseconds.
	prefill float64
	// tokens is the service of a call in tokens.
	tokens float64
	// rate is the service rate of the replica in tokens per second.
	rate         float64
	observed     int
	lastObserved time.Duration
}

// Gap returns the smoothed time between tokens, zero if unknown.
func (e *SpeedEstimate) Gap() time.Duration { return time.Duration(e.gap) }

// Tokens returns the smoothed service of a call in tokens, zero if unknown.
func (e *SpeedEstimate) Tokens() float64 { return e.tokens }

// Rate returns the smoothed service rate of the whole replica in tokens per second, zero
// until enough calls were observed.
func (e *SpeedEstimate) Rate() float64 {
	if e.observed < minCalls {
		return 0
	}
	return e.rate
}

const (
	// minCalls is the number of observed calls from which on Rate is known.
	minCalls = 8
	// minPrefillTokens is the number of computed prompt tokens from which on a call's time
	// to the first token counts for the prefill estimate.
	minPrefillTokens = 64
)

// Prefill returns the smoothed time to compute one prompt token, zero if unknown.
func (e *SpeedEstimate) Prefill() time.Duration { return time.Duration(e.prefill) }

// ObserveFirst records a call's time to the first token and the number of prompt tokens
// that the replica computed for it. Times above the shortest one count as prefill.
func (e *SpeedEstimate) ObserveFirst(d time.Duration, computed int) {
	if e.minFirst == 0 || float64(d) < e.minFirst {
		e.minFirst = float64(d)
	}
	if computed >= minPrefillTokens {
		smooth(&e.prefill, (float64(d)-e.minFirst)/float64(computed), defaultSmoothing)
	}
}

// ObserveCall records a finished call: its service in tokens, its time between tokens,
// its duration, and the number of calls in flight.
func (e *SpeedEstimate) ObserveCall(now time.Duration, service float64, gap, took time.Duration, inFlight int) {
	if gap > 0 {
		smooth(&e.gap, float64(gap), gapSmoothing)
	}
	smooth(&e.tokens, service, defaultSmoothing)
	if took > 0 {
		smooth(&e.rate, service/took.Seconds()*float64(max(1, inFlight)), defaultSmoothing)
	}
	e.observed++
	e.lastObserved = now
}

// Stale reports whether the last observation is older than age, so that the replica needs
// new calls to learn its speed.
func (e *SpeedEstimate) Stale(now, age time.Duration) bool {
	return e.observed == 0 || now-e.lastObserved > age
}

// smooth adds x to an exponential moving average; an average of zero is replaced by x.
func smooth(v *float64, x, weight float64) {
	if *v == 0 {
		*v = x
		return
	}
	*v += weight * (x - *v)
}
