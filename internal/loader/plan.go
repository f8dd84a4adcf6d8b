package loader

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"
)

// Shape names the programs of one deployment.
type Shape string

const (
	// Thatch programs are those of Saaf thatch orders: short talks with charges and deliveries.
	Thatch Shape = "thatch"
	// Auction programs are those of Dayami Hub: longer prompts with postings and gate passes.
	Auction Shape = "auction"
)

// StepKind is the kind of a program's step.
type StepKind string

// The kinds of steps.
const (
	Ask     StepKind = "ask"
	Lookup  StepKind = "lookup"
	Effect  StepKind = "effect"
	Helper  StepKind = "helper"
	Thought StepKind = "pause"
)

// Step is one step of a program.
type Step struct {
	Kind   StepKind
	Target string
	Text   string
	Tokens int
	Pause  time.Duration
	Steps  []Step
}

// Program is one planned program.
type Program struct {
	ID      string
	Account int
	Arrival time.Duration
	Steps   []Step
	// Long marks a straggler.
	Long bool
}

// PlanOptions describes a run.
type PlanOptions struct {
	Seed     uint64
	Programs int
	Accounts int
	// Span is the time over which programs arrive.
	Span time.Duration
	// Stragglers is the part of programs whose first answer is Longer times as long.
	Stragglers float64
	Longer     int
	// Burst multiplies the arrivals in the middle fifth of the span.
	Burst float64
	// Shapes are dealt out in turn; empty means both.
	Shapes []Shape
}

// Plan returns the programs of a run in order of arrival.
func Plan(o PlanOptions) []Program {
	r := rand.New(rand.NewPCG(o.Seed, 7))
	if len(o.Shapes) == 0 {
		o.Shapes = []Shape{Thatch, Auction}
	}
	programs := make([]Program, o.Programs)
	for i := range programs {
		p := &programs[i]
		p.ID = fmt.Sprintf("p%d-%d", o.Seed, i)
		p.Account = accountOf(r, o.Accounts)
		p.Arrival = arrival(float64(i)/float64(o.Programs), o)
		p.Long = r.Float64() < o.Stragglers
		m := &maker{random: r, shape: o.Shapes[i%len(o.Shapes)], id: p.ID}
		if p.Long {
			m.factor = o.Longer
		}
		p.Steps = m.steps(3+r.IntN(5), true)
	}
	return programs
}

// accountOf draws an account of unequal demand: account n has half the demand of account n/2.
func accountOf(r *rand.Rand, accounts int) int {
	return int(math.Pow(float64(accounts), r.Float64())) - 1
}

// arrival maps the rank of a program to its time; the middle fifth is denser by Burst.
func arrival(rank float64, o PlanOptions) time.Duration {
	burst := max(1, o.Burst)
	total := 0.8 + 0.2*burst
	at := rank * total
	switch {
	case at < 0.4:
	case at < 0.4+0.2*burst:
		at = 0.4 + (at-0.4)/burst
	default:
		at = 0.6 + (at - 0.4 - 0.2*burst)
	}
	return time.Duration(at * float64(o.Span))
}

// longAnswer is the answer that stragglers multiply, in tokens: the middle of ordinary ones.
const longAnswer = 22

// maker makes the steps of one program.
type maker struct {
	random *rand.Rand
	shape  Shape
	id     string
	factor int
	count  int
}

func (m *maker) steps(n int, helpers bool) []Step {
	var steps []Step
	for range n {
		steps = append(steps, m.ask())
		switch d := m.random.Float64(); {
		case d < 0.25:
			steps = append(steps, m.service(Effect, "ledger"))
		case d < 0.5:
			steps = append(steps, m.service(Lookup, "catalog"))
		case d < 0.6 && helpers:
			steps = append(steps, Step{Kind: Helper, Steps: m.steps(2, false)})
		case d < 0.75:
			steps = append(steps, Step{Kind: Thought, Pause: time.Duration(20+m.random.IntN(180)) * time.Millisecond})
		}
	}
	return steps
}

func (m *maker) ask() Step {
	m.count++
	tokens := int(8 * math.Exp(0.8*m.random.NormFloat64()+1))
	tokens = min(400, max(4, tokens))
	if m.count == 1 && m.factor > 0 {
		tokens = longAnswer * m.factor
	}
	words := 20 + m.random.IntN(60)
	if m.shape == Auction {
		words *= 4
	}
	text := fmt.Sprintf("%s question %d of %s tokens=%d %s", m.shape, m.count, m.id, tokens, filler(words))
	return Step{Kind: Ask, Target: "chat", Text: text, Tokens: tokens}
}

func (m *maker) service(k StepKind, target string) Step {
	m.count++
	return Step{Kind: k, Target: target, Text: fmt.Sprintf(`{"program":%q,"step":%d}`, m.id, m.count)}
}

func filler(words int) string {
	text := make([]byte, 0, 5*words)
	for i := range words {
		text = append(text, "bale-"[i%5])
	}
	return string(text)
}
