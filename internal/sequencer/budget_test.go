package sequencer_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"pimentorail.example/pimentorail/internal/emulator"
	"pimentorail.example/pimentorail/internal/sequencer"
	"pimentorail.example/pimentorail/pkg/classifier"
)

// TestBudgetAgainstOracle finishes, withdraws and abandons model calls across takeovers,
// and checks that the tokens that engines may have used stay within the budget, and that
// no finished call is lost.
func TestBudgetAgainstOracle(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		budget := rapid.IntRange(50, 20_000).Draw(rt, "budget")
		steps := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) [3]int {
			return [3]int{rapid.IntRange(0, 5).Draw(t, "what"), rapid.IntRange(1, 3000).Draw(t, "most"), rapid.IntRange(0, 3000).Draw(t, "used")}
		}), 1, 20).Draw(rt, "steps")
		failure := ""
		synctest.Test(t, func(*testing.T) { failure = runBudgetSteps(budget, steps) })
		if failure != "" {
			rt.Fatal(failure)
		}
	})
}

func runBudgetSteps(budget int, steps [][3]int) string {
	s := emulator.NewStore()
	d := startDaemon(s)
	defer func() { d.close() }()
	if f := d.create(budget); f != nil {
		return f.Error()
	}
	// used bounds what engines may have spent: the whole reservation of an abandoned call,
	// the actual usage of a finished one.
	used, calls, history := 0, 0, 0
	for i, step := range steps {
		b := d.beginModelCall(0, fmt.Sprint(i), fmt.Sprint("question ", i), step[1])
		if b.Fault != nil {
			if b.Fault.Code != classifier.BudgetExhausted {
				return b.Fault.Error()
			}
			continue
		}
		granted := b.Ticket.Reserved
		switch step[0] {
		case 0, 1, 2:
			answer := min(step[2], b.MaxTokens)
			out := completed("answer", history+5, answer)
			if r := d.finish(b.Ticket, out); r.Fault != nil {
				return r.Fault.Error()
			}
			used += 5 + answer
			history += 5 + answer
			calls++
		case 3:
			_ = d.finish(b.Ticket, sequencer.Outcome{Ran: classifier.RanNo})
		case 4:
			used += granted
			time.Sleep(20 * time.Second)
		case 5:
			used += granted
			d.ownership.lost.Store(true)
			d.close()
			d = startDaemon(s)
		}
		if used > budget {
			return fmt.Sprintf("engines may have used %d of a budget of %d tokens", used, budget)
		}
		if v := d.view(); v.Spent > v.Budget || v.Spent < used || v.Calls != calls {
			return fmt.Sprintf("spent %d of budget %d with %d used, %d calls recorded, want %d", v.Spent, v.Budget, used, v.Calls, calls)
		}
	}
	return ""
}
