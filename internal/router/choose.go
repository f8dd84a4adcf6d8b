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

// Candidate is a replica's answer to a probe.
type Candidate struct {
	Replica string
	// Wait is the expected time in the queue.
	Wait time.Duration
	// Gap is the current time between tokens, zero if unknown.
	Gap time.Duration
	// Prefill is the time to compute one prompt token, zero if unknown.
	Prefill time.Duration
	// Beside is the number of calls in flight, which a prefill delays too.
	Beside int
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
}

// Choose returns the candidates by expected completion, the best first.
func Choose(candidates []Candidate, p Prompt) []Candidate {
	peers := Peers{
		Gap:     median(candidates, func(c Candidate) time.Duration { return c.Gap }, defaultGap),
		Prefill: median(candidates, func(c Candidate) time.Duration { return c.Prefill }, defaultPrefill),
	}
	ranked := slices.Clone(candidates)
	slices.SortStableFunc(ranked, func(a, b Candidate) int {
		return cmp.Or(
			cmp.Compare(Expected(a, p, peers), Expected(b, p, peers)),
			cmp.Compare(a.Replica, b.Replica),
		)
	})
	return ranked
}

// Peers is the pace of the middle candidate, which stands in for an unknown one.
type Peers struct {
	Gap     time.Duration
	Prefill time.Duration
}

// Expected returns the expected time to completion at a candidate. A prefill
// holds up the whole batch, so its cost counts once for each call beside it.
func Expected(c Candidate, p Prompt, peers Peers) time.Duration {
	gap := c.Gap
	if gap == 0 || c.Stale {
		gap = peers.Gap
	}
	prefill := cmp.Or(c.Prefill, peers.Prefill)
	uncached := max(0, p.Tokens-c.Cached)
	return c.Wait + time.Duration(uncached*(1+c.Beside))*prefill + time.Duration(p.Answer*float64(gap))
}

// median returns the lower median of a known value of the candidates, or a default.
func median(candidates []Candidate, value func(Candidate) time.Duration, otherwise time.Duration) time.Duration {
	var known []time.Duration
	for _, c := range candidates {
		if v := value(c); v > 0 {
			known = append(known, v)
		}
	}
	if len(known) == 0 {
		return otherwise
	}
	slices.Sort(known)
	return known[(len(known)-1)/2]
}
