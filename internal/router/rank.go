package router

import (
	"cmp"
	"slices"
	"time"
)

const (
	defaultGap     = 20 * time.Millisecond
	defaultPrefill = 50 * time.Microsecond
)

// Candidate is a probed replica, with what determines when it would complete a call.
type Candidate struct {
	Replica string
	// Wait is the expected time in the queue.
	Wait time.Duration
	// Gap is the current time between tokens, zero if unknown.
	Gap time.Duration
	// Prefill is the time to compute one prompt token, zero if unknown.
	Prefill time.Duration
	// InFlight is the number of calls in flight; a prefill delays each of them.
	InFlight int
	// Cached is the estimated number of prompt tokens in the replica's cache.
	Cached int
	// Stale is set if Gap is outdated. The median of the candidates is used instead, so
	// that a replica that was slow gets calls again.
	Stale bool
}

// CallSize is the expected size of a call.
type CallSize struct {
	// PromptTokens is the size of the prompt.
	PromptTokens int
	// AnswerTokens is the expected size of the answer.
	AnswerTokens float64
}

// Rank returns all candidates in order of expected completion, the earliest first. The
// caller tries to acquire a slot in this order until one is granted.
func Rank(candidates []Candidate, s CallSize) []Candidate {
	medians := MedianSpeed{
		Gap:     median(candidates, func(c Candidate) time.Duration { return c.Gap }, defaultGap),
		Prefill: median(candidates, func(c Candidate) time.Duration { return c.Prefill }, defaultPrefill),
	}
	ranked := slices.Clone(candidates)
	slices.SortStableFunc(ranked, func(a, b Candidate) int {
		return cmp.Or(
			cmp.Compare(ExpectedTime(a, s, medians), ExpectedTime(b, s, medians)),
			cmp.Compare(a.Replica, b.Replica),
		)
	})
	return ranked
}

// MedianSpeed holds the medians over all candidates, used where a candidate's own value is
// unknown.
type MedianSpeed struct {
	Gap     time.Duration
	Prefill time.Duration
}

// ExpectedTime returns the expected time to completion at a candidate. A prefill delays
// the whole batch, so its time counts once for the call itself and once for each call in
// flight.
func ExpectedTime(c Candidate, s CallSize, medians MedianSpeed) time.Duration {
	gap := c.Gap
	if gap == 0 || c.Stale {
		gap = medians.Gap
	}
	prefill := cmp.Or(c.Prefill, medians.Prefill)
	uncached := max(0, s.PromptTokens-c.Cached)
	return c.Wait + time.Duration(uncached*(1+c.InFlight))*prefill + time.Duration(s.AnswerTokens*float64(gap))
}

// median returns the lower median of the candidates' known values, or a fallback if none
// is known.
func median(candidates []Candidate, value func(Candidate) time.Duration, fallback time.Duration) time.Duration {
	var known []time.Duration
	for _, c := range candidates {
		if v := value(c); v > 0 {
			known = append(known, v)
		}
	}
	if len(known) == 0 {
		return fallback
	}
	slices.Sort(known)
	return known[(len(known)-1)/2]
}
