package simulator_test

import (
	"context"
	"encoding/json"
	"fmt"
	"strings"
	"time"

	"pimentorail.example/pimentorail/internal/declarer"
	"pimentorail.example/pimentorail/internal/sequencer"
	"pimentorail.example/pimentorail/pkg/classifier"
)

func declarations() *declarer.Declarations {
	accounts := []declarer.Account{}
	for _, n := range []string{"falaj", "kamalig"} {
		accounts = append(accounts, declarer.Account{
			Name: n, KeyHash: strings.Repeat(fmt.Sprintf("%x", n[0]%16), 64)[:64], Weight: 1, InFlight: 50,
			Targets: []string{"chat", "ledger"}, ProgramBudget: 1_000_000,
		})
	}
	return &declarer.Declarations{
		Accounts: accounts,
		Targets: []declarer.Target{
			{Name: "chat", Kind: declarer.Engine, Window: 8, WindowLimit: 8, Replicas: []declarer.Replica{{Name: "e1", Address: engineEndpoint, Zone: "z"}}},
			{Name: "ledger", Kind: declarer.Service, TimeoutMS: 2000, Window: 64, WindowLimit: 64, Replicas: []declarer.Replica{{Name: "l1", Address: serviceEndpoint, Zone: "z"}}},
		},
		Policy: declarer.Policy{StoreOutage: declarer.ContinueStateless, QueueLimitMS: 20000, NewProgramLimitMS: 20000, MaxTokens: 100, HoldIdleMS: 60000},
	}
}

// checkGuarantees returns the first violated guarantee, or an empty string.
func (dp *deployment) checkGuarantees(clients []*client) string {
	counts := map[string]int{}
	effects := map[string]sideEffect{}
	for _, e := range dp.targets.effects {
		counts[e.body]++
		effects[e.body] = e
	}
	for _, c := range clients {
		if c.conflict != "" {
			return c.conflict
		}
		if s := c.checkCalls(counts, effects); s != "" {
			return fmt.Sprintf("%s: %s", c.name(), s)
		}
		if s := dp.checkHistory(c); s != "" {
			return fmt.Sprintf("%s: %s", c.name(), s)
		}
	}
	return ""
}

// checkCalls checks that each call had its effect at most once, in order, and as its
// result says.
func (c *client) checkCalls(counts map[string]int, effects map[string]sideEffect) string {
	var lastEnd time.Time
	for i, s := range c.steps {
		body := c.body(i + 1)
		if counts[body] > 1 {
			return fmt.Sprintf("call %d had its effect %d times", i+1, counts[body])
		}
		if e, ok := effects[body]; ok {
			if e.begin.Before(lastEnd) {
				return fmt.Sprintf("call %d ran before an earlier one ended", i+1)
			}
			lastEnd = e.end
		}
		if i >= len(c.result) {
			if counts[body] > 0 {
				return fmt.Sprintf("call %d ran, but its client never sent it", i+1)
			}
			continue
		}
		r := c.result[i]
		switch {
		case r.ran == classifier.RanYes && !c.isExpected(i+1, s, r):
			return fmt.Sprintf("call %d returned an unexpected answer %q", i+1, r.text)
		case r.ran == classifier.RanYes && s.Effect && counts[body] != 1:
			return fmt.Sprintf("call %d was reported as run, but did not run", i+1)
		case r.ran == classifier.RanNo && counts[body] != 0:
			return fmt.Sprintf("call %d was reported as not run (%s), but ran", i+1, r.code)
		}
	}
	return ""
}

// checkHistory reads a program from the deployment and compares its history and budget
// with the results that its client got.
func (dp *deployment) checkHistory(c *client) string {
	if !c.created {
		return ""
	}
	v, fault := dp.readProgram(c)
	if fault != nil {
		return "history cannot be read: " + fault.Error()
	}
	var want []string
	for i, r := range c.result {
		if !c.steps[i].Effect && r.ran == classifier.RanYes {
			want = append(want, c.body(i+1), r.text)
		}
	}
	for i, m := range v.Messages {
		var x struct{ Content string }
		_ = json.Unmarshal(m, &x)
		if i < len(want) && x.Content != want[i] {
			return fmt.Sprintf("message %d is %q, want %q", i, x.Content, want[i])
		}
	}
	if len(v.Messages) < len(want) {
		return fmt.Sprintf("the history has %d messages, want %d", len(v.Messages), len(want))
	}
	if v.Spent > v.Budget {
		return fmt.Sprintf("%d tokens spent of a budget of %d", v.Spent, v.Budget)
	}
	if generated := dp.targets.generated[c.name().String()]; generated > v.Budget {
		return fmt.Sprintf("engines generated %d tokens, more than the budget of %d", generated, v.Budget)
	}
	return ""
}

func (dp *deployment) readProgram(c *client) (*sequencer.View, *classifier.Fault) {
	var fault *classifier.Fault
	for range 10 {
		n := c.node()
		if n == nil {
			return nil, classifier.New(classifier.OwnerAway, classifier.RanNo, "no node is reachable")
		}
		v, f := n.conductor.Read(context.Background(), sequencer.ReadRequest{Name: c.name(), History: true})
		if f == nil {
			return v, nil
		}
		fault = f
		time.Sleep(time.Second)
	}
	return nil, fault
}
