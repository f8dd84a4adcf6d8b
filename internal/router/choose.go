package router

import (
	"cmp"
	"slices"
	"time"
)

const (
	defaultGap     = 20 * time.Millisecond
	defaultPrefill = 50 * time.Microsecond
	slowFactor     = 2.0
)

// Candidate is a replica's answer to a probe.
type Candidate struct {
	Replica string
	// Wait is the expected time in the queue.
	Wait time.Duration
	// Gap is the current time between tokens, zero if unknown.
	Gap time.Duration
	// Cached is the number of prompt tokens that the replica is thought to hold.
	Cached int
	// Stale says that the pace is old and should be probed again.
	Stale bool
}

// Prompt is what a call asks for.
type Prompt struct {
	// Tokens is the size of the prompt.
	Tokens int
	// Answer is the expected size of the answer, in tokens.
	Answer float64
	// Prefill is the time to compute one uncached prompt token, zero for the default.
	Prefill time.Duration
}

// Choose returns the candidates by expected completion, the best first.
func Choose(candidates []Candidate, p Prompt) []Candidate {
	median := medianGap(candidates)
	ranked := slices.Clone(candidates)
	slices.SortStableFunc(ranked, func(a, b Candidate) int {
		return cmp.Or(
			cmp.Compare(Expected(a, p, median), Expected(b, p, median)),
			cmp.Compare(a.Replica, b.Replica),
		)
	})
	return ranked
}

// Expected returns the expected time to completion at a candidate.
func Expected(c Candidate, p Prompt, median time.Duration) time.Duration {
	gap := c.Gap
	if gap == 0 || c.Stale {
		gap = median
	}
	prefill := cmp.Or(p.Prefill, defaultPrefill)
	uncached := max(0, p.Tokens-c.Cached)
	return c.Wait + time.Duration(uncached)*prefill + time.Duration(p.Answer*float64(gap))
}

// Slow reports whether a replica's gap is far above the median of its peers.
func Slow(gap, median time.Duration) bool {
	return gap > 0 && median > 0 && float64(gap) > slowFactor*float64(median)
}

func medianGap(candidates []Candidate) time.Duration {
	var gaps []time.Duration
	for _, c := range candidates {
		if c.Gap > 0 {
			gaps = append(gaps, c.Gap)
		}
	}
	if len(gaps) == 0 {
		return defaultGap
	}
	slices.Sort(gaps)
	return gaps[(len(gaps)-1)/2]
}
