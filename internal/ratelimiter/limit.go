package ratelimiter

import (
	"fmt"
	"math"
	"time"
)

// maxRate bounds rates and bursts, so that sums and products don't overflow.
const maxRate = 1e9

// Limit is the rate and the burst of an account's token bucket; the zero value is no limit.
type Limit struct{ rate, burst float64 }

// NewLimit returns a limit of rate requests per second and burst requests at once, or no limit if rate is not
// positive. A burst of less than one request counts as one, since no request would run otherwise.
func NewLimit(rate, burst float64) Limit {
	if !(rate > 0) {
		return Limit{}
	}
	if math.IsNaN(burst) {
		burst = 0
	}
	return Limit{rate: min(rate, maxRate), burst: min(max(1, burst), maxRate)}
}

// Rate returns the requests per second.
func (l Limit) Rate() float64 { return l.rate }

// Burst returns the requests that may run at once.
func (l Limit) Burst() float64 { return l.burst }

// IsSet reports whether there is a limit.
func (l Limit) IsSet() bool { return l.rate > 0 }

// Within returns the most requests that the limit lets through in any window of a length.
func (l Limit) Within(window time.Duration) float64 { return l.burst + l.rate*window.Seconds() }

// String returns the limit as rate and burst.
func (l Limit) String() string { return fmt.Sprintf("%.4g/s+%.4g", l.rate, l.burst) }
