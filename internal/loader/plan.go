package loader

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"
)

// Workload names the kind of programs that one deployment runs.
type Workload string

const (
	// Thatch has short prompts. It is modelled on the deployment in
	// examples/saaf-thatch-orders.declarations.json.
	Thatch Workload = "thatch"
	// Auction has prompts with four times as much text. It is modelled on the deployment in
	// examples/dayami-hub.declarations.json.
	Auction Workload = "auction"
)

// StepKind is the kind of a program's step.
type StepKind string

const (
	// Ask is a model call that appends a turn to the program's history.
	Ask StepKind = "ask"
	// Lookup is a service call whose effect is not checked.
	Lookup StepKind = "lookup"
	// Effect is a service call whose side effect is checked after the run.
	Effect StepKind = "effect"
	// SubAgent runs steps in a child program.
	SubAgent StepKind = "helper"
	// Pause waits without a call.
	Pause StepKind = "pause"
)

// Step is one step of a program. Which fields are set depends on Kind.
type Step struct {
	Kind   StepKind
	Target string
	Text   string
	Tokens int
	Pause  time.Duration
	Steps  []Step
}

// Program is a planned program with its arrival time and its steps.
type Program struct {
	ID      string
	Account int
	Arrival time.Duration
	Steps   []Step
	// Straggler marks a program whose first answer is much longer than the others.
	Straggler bool
}

// PlanOptions configures the programs of a run.
type PlanOptions struct {
	Seed     uint64
	Programs int
	Accounts int
	// ArrivalPeriod is the period over which programs arrive.
	ArrivalPeriod time.Duration
	// StragglerFraction is the fraction of programs whose first answer is StragglerFactor
	// times as long as the median answer.
	StragglerFraction float64
	StragglerFactor   int
	// BurstFactor multiplies the arrival rate in the middle fifth of ArrivalPeriod.
	BurstFactor float64
	// Workloads are assigned to the programs in rotation; empty means both.
	Workloads []Workload
}

// Plan returns the programs of a run in order of arrival.
func Plan(o PlanOptions) []Program {
	r := rand.New(rand.NewPCG(o.Seed, 7))
	if len(o.Workloads) == 0 {
		o.Workloads = []Workload{Thatch, Auction}
	}
	programs := make([]Program, o.Programs)
	for i := range programs {
		p := &programs[i]
		p.ID = fmt.Sprintf("p%d-%d", o.Seed, i)
		p.Account = drawAccount(r, o.Accounts)
		p.Arrival = arrivalTime(float64(i)/float64(o.Programs), o)
		p.Straggler = r.Float64() < o.StragglerFraction
		g := &stepGenerator{random: r, workload: o.Workloads[i%len(o.Workloads)], programID: p.ID}
		if p.Straggler {
			g.answerFactor = o.StragglerFactor
		}
		p.Steps = g.steps(3+r.IntN(5), true)
	}
	return programs
}

// drawAccount draws an account with skewed demand: account n, counted from 0, is drawn with
// a probability proportional to ln((n+2)/(n+1)), which is about 1/(n+1).
// The last of several accounts is never drawn.
func drawAccount(r *rand.Rand, accounts int) int {
	return int(math.Pow(float64(accounts), r.Float64())) - 1
}

// arrivalTime maps the rank of a program, from 0 to 1, to its arrival time. The arrival
// rate in the middle fifth of ArrivalPeriod is BurstFactor times that of the rest.
func arrivalTime(rank float64, o PlanOptions) time.Duration {
	burst := max(1, o.BurstFactor)
	total := 0.8 + 0.2*burst
	at := rank * total
	switch {
	case at < 0.4:
	case at < 0.4+0.2*burst:
		at = 0.4 + (at-0.4)/burst
	default:
		at = 0.6 + (at - 0.4 - 0.2*burst)
	}
	return time.Duration(at * float64(o.ArrivalPeriod))
}

// medianAnswerTokens is the median length of an ordinary answer: the median 8e of the draw
// in stepGenerator.ask, rounded. A straggler's first answer is a multiple of it.
const medianAnswerTokens = 22

// stepGenerator generates the steps of one program.
type stepGenerator struct {
	random       *rand.Rand
	workload     Workload
	programID    string
	answerFactor int
	stepCount    int
}

func (g *stepGenerator) steps(n int, subAgents bool) []Step {
	var steps []Step
	for range n {
		steps = append(steps, g.ask())
		switch d := g.random.Float64(); {
		case d < 0.25:
			steps = append(steps, g.serviceCall(Effect, "ledger"))
		case d < 0.5:
			steps = append(steps, g.serviceCall(Lookup, "catalog"))
		case d < 0.6 && subAgents:
			steps = append(steps, Step{Kind: SubAgent, Steps: g.steps(2, false)})
		case d < 0.75:
			steps = append(steps, Step{Kind: Pause, Pause: time.Duration(20+g.random.IntN(180)) * time.Millisecond})
		}
	}
	return steps
}

func (g *stepGenerator) ask() Step {
	g.stepCount++
	tokens := int(8 * math.Exp(0.8*g.random.NormFloat64()+1))
	tokens = min(400, max(4, tokens))
	if g.stepCount == 1 && g.answerFactor > 0 {
		tokens = medianAnswerTokens * g.answerFactor
	}
	words := 20 + g.random.IntN(60)
	if g.workload == Auction {
		words *= 4
	}
	text := fmt.Sprintf("%s question %d of %s tokens=%d %s", g.workload, g.stepCount, g.programID, tokens, filler(words))
	return Step{Kind: Ask, Target: "chat", Text: text, Tokens: tokens}
}

func (g *stepGenerator) serviceCall(k StepKind, target string) Step {
	g.stepCount++
	return Step{Kind: k, Target: target, Text: fmt.Sprintf(`{"program":%q,"step":%d}`, g.programID, g.stepCount)}
}

// filler returns text that makes a prompt longer.
func filler(words int) string {
	text := make([]byte, 0, 5*words)
	for i := range words {
		text = append(text, "bale-"[i%5])
	}
	return string(text)
}
